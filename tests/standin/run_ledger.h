#ifndef STANDIN_RUN_LEDGER_H_
#define STANDIN_RUN_LEDGER_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/millis.h"

namespace peridotarch::standin {

/// One piece of work that an upstream started.
struct run_record {
  std::string instance;
  uint64_t incarnation = 0;
  std::string attempt;
  std::string key;
  std::string tag;
  std::string method;
  std::string path;
  millis started;
  millis ended;
  std::string outcome = "running";
};

/// The work of all instances of a process, in the order of its starts.
class run_ledger {
 public:
  /// Adds a run and returns its number.
  size_t Start(run_record run);

  void Finish(size_t number, millis now, std::string outcome);

  /// Returns up to `max` runs from number `from`, and the next number.
  [[nodiscard]] nlohmann::json Page(size_t from, size_t max) const;

 private:
  std::vector<run_record> runs_;
};

}  // namespace peridotarch::standin

#endif  // STANDIN_RUN_LEDGER_H_
