#ifndef STANDIN_UPSTREAM_INSTANCE_H_
#define STANDIN_UPSTREAM_INSTANCE_H_

#include <list>
#include <map>
#include <memory>
#include <string>

#include "core/random.h"
#include "standin/http_server.h"
#include "standin/run_ledger.h"
#include "standin/upstream_faults.h"

namespace peridotarch::standin {

/// What an instance is like.
struct instance_settings {
  std::string service;
  std::string id;
  std::string zone;
  std::string address;
  uint16_t port = 0;
  int slots = 1;
  int queue = 2;  ///< Requests that wait beyond the slots.
  size_t connection_limit = 330;
  double service_ms = 5;  ///< Mean time that work takes.
  millis cold;            ///< Time after a start in which work is slow.
  uint64_t seed = 1;
};

/// What an instance has counted.
struct instance_stats {
  uint64_t shed = 0;
  uint64_t late = 0;       ///< Not started because of the deadline.
  uint64_t cancelled = 0;  ///< Cancelled before the start.
  uint64_t probes = 0;
  uint64_t runs = 0;
};

/// One instance of a service: its listener, slots and faults. Runs on one
/// thread.
class upstream_instance {
 public:
  upstream_instance(asio::io_context& context, run_ledger& ledger,
                    instance_settings settings);

  /// Listens on the port of its settings.
  void Open();

  [[nodiscard]] bool Deaf() const { return faults_.cut == "in"; }
  asio::awaitable<answer> Handle(const request& message);

  /// Announces that it leaves and stops listening after `linger`.
  asio::awaitable<void> Drain(millis linger);

  /// Drops every connection and all work, and is back after `down` as a new
  /// incarnation that starts cold.
  asio::awaitable<void> Crash(millis down);

  /// Changes the faults; the fields that are absent stay as they are.
  void SetFaults(const nlohmann::json& change);

  /// Returns its counts and state.
  [[nodiscard]] nlohmann::json Stats() const;

  /// Returns its entry for the list of hosts.
  [[nodiscard]] nlohmann::json HostEntry() const;

  [[nodiscard]] const instance_settings& settings() const { return settings_; }

 private:
  enum class attempt_state { kQueued, kCancelled, kRunning, kFinished };

  /// A request that waits for a slot.
  struct waiter {
    explicit waiter(asio::io_context& context) : timer(context) {}
    asio::steady_timer timer;
    bool granted = false;
  };

  asio::awaitable<answer> Probe();
  asio::awaitable<answer> Work(const request& message);
  asio::awaitable<bool> TakeSlot(std::string attempt, millis deadline);
  void ReleaseSlot();
  answer Finish(const request& message, size_t run, std::string* outcome);
  answer Cancel(const std::string& attempt);
  [[nodiscard]] answer Load() const;
  [[nodiscard]] answer NotStarted(const std::string& reason) const;
  [[nodiscard]] bool FaultsOn() const;
  [[nodiscard]] bool Cold() const;
  millis ServiceTime();

  asio::io_context& context_;
  run_ledger& ledger_;
  const instance_settings settings_;
  http_server<upstream_instance> server_;
  upstream_faults faults_;
  instance_stats stats_;
  random_bits random_;
  std::map<std::string, attempt_state> attempts_;
  std::list<std::shared_ptr<waiter>> waiting_;
  int busy_ = 0;
  uint64_t incarnation_ = 1;
  uint64_t answers_ = 0;
  millis started_;
  millis drained_;  ///< Zero while it does not leave.
};

}  // namespace peridotarch::standin

#endif  // STANDIN_UPSTREAM_INSTANCE_H_
