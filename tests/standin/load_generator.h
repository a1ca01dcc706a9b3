#ifndef STANDIN_LOAD_GENERATOR_H_
#define STANDIN_LOAD_GENERATOR_H_

#include <chrono>
#include <deque>
#include <fstream>
#include <string>

#include "core/random.h"
#include "standin/load_client.h"
#include "standin/load_mix.h"
#include "standin/load_summary.h"

namespace peridotarch::standin {

/// Bounds and chances of a run.
struct load_settings {
  std::string name = "load";  ///< Prefix of the tags.
  std::string targets_file;   ///< JSON array of ADDRESS:PORT, read repeatedly.
  std::string log_file;
  double rate = 100;  ///< First sends per second.
  uint64_t count = 1000;
  double seconds = 60;
  size_t connections = 200;  ///< Sends under way at once.
  double repeat = 0;         ///< Share of keyed requests that are sent again.
  millis timeout = millis(10'000);
  uint64_t seed = 1;
};

/// Sends requests at intended times that do not depend on the answers.
class load_generator {
 public:
  load_generator(asio::io_context& context, const load_mix& mix,
                 load_settings settings);

  /// Sends until the count or the time is used up, and waits for all answers.
  asio::awaitable<void> Run();

  /// Sends nothing new.
  void Stop() { stopping_ = true; }

  [[nodiscard]] const load_summary& summary() const { return summary_; }

 private:
  using instant = std::chrono::steady_clock::time_point;

  /// One send that is due.
  struct job {
    load_record record;
    size_t body_bytes = 0;
    size_t answer_bytes = 0;
    size_t target = 0;
    instant intended;
    bool resend = false;
  };

  job NextJob(instant intended);
  void Launch(job next);
  void PlanRepeats(const job& first);
  asio::awaitable<void> LaunchAt(job repeat);
  asio::awaitable<void> Perform(job next);
  void Judge(job& done, const response& reply, const std::string& body);
  void Resend(const job& closed);
  void Complete(const job& done);
  asio::awaitable<void> WatchTargets();

  asio::io_context& context_;
  const load_mix& mix_;
  const load_settings settings_;
  load_client client_;
  load_summary summary_;
  random_bits random_;
  std::ofstream log_;
  std::deque<job> queued_;
  size_t under_way_ = 0;
  size_t planned_ = 0;  ///< Repeats whose time has not come.
  uint64_t issued_ = 0;
  bool stopping_ = false;
  bool finished_ = false;
};

}  // namespace peridotarch::standin

#endif  // STANDIN_LOAD_GENERATOR_H_
