#ifndef STANDIN_LOAD_MIX_H_
#define STANDIN_LOAD_MIX_H_

#include <string>
#include <vector>

#include "core/random.h"

namespace peridotarch::standin {

/// One kind of request and its share of the load.
struct load_route {
  std::string method;
  std::string path;  ///< `{n}` becomes a number.
  double weight = 1;
  bool keyed = false;       ///< Carries an idempotency key.
  bool idempotent = false;  ///< May be sent again without a key.
  size_t body_bytes = 0;
  size_t answer_bytes = 0;
  std::string team;
};

/// The kinds of requests of a run.
class load_mix {
 public:
  /// Reads `{"routes": [...]}` from a file; throws settings_error.
  explicit load_mix(const std::string& file);

  /// Chooses a route by weight.
  [[nodiscard]] const load_route& Choose(random_bits& random) const;

 private:
  std::vector<load_route> routes_;
  double total_ = 0;
};

}  // namespace peridotarch::standin

#endif  // STANDIN_LOAD_MIX_H_
