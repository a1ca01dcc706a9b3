#ifndef PROXY_SHARD_JUDGE_H_
#define PROXY_SHARD_JUDGE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "detection/outlier_detector.h"
#include "inner/report.h"
#include "platform/host.h"
#include "request/instance_view.h"
#include "request/shard.h"

namespace peridotarch {

struct attempt_result;
struct config_snapshot;
struct forwarded_call;
struct node;

/// Connects the judgement of one shard with its scheduler, the log and the
/// peers. Runs on the shard's strand but for Status.
class shard_judge {
 public:
  /// `probe` sends a probe to an instance; its end goes to OnProbe.
  shard_judge(node& parent, std::string service, int index,
              std::function<void(std::string)> probe);

  /// Takes in the platform's list and the rules in force.
  void SetHosts(const host_list& hosts, const config_snapshot& config);

  /// Says whether this node owns the shard; if not, it has no ejections.
  void SetOwned(bool owned);

  void OnStart(const std::string& instance, ticket attempt,
               const forwarded_call& call);
  void OnEnd(const std::string& instance, ticket attempt,
             const forwarded_call& call, const attempt_result& result,
             int64_t latency_us);
  void OnProbe(const std::string& instance, bool answered);
  void OnLeaving(const leaving_note& note);
  void OnOpinion(const opinion_note& opinion);

  /// Advances time; returns true when the instances changed for the scheduler.
  bool Tick();

  /// Returns the instances as the scheduler needs them.
  [[nodiscard]] std::vector<instance_view> Views() const;

  /// Returns the entries of this shard's instances in the platform's list.
  [[nodiscard]] const std::map<std::string, host>& entries() const {
    return entries_;
  }

  /// Most instances fail from here.
  [[nodiscard]] bool DoubtsItself() const { return judge_->DoubtsItself(); }

  /// Publishes what Status returns, with the slots in use of each instance.
  void Publish(const shard& scheduler);

  /// Returns what was published last; safe on any thread.
  [[nodiscard]] shard_status Status() const;

 private:
  void StartJudge();
  void Do(detector_actions actions);
  void Do(state_change action);
  void Do(ledger_append action);
  void Do(opinion_request action);
  void Do(probe_request action);
  void Do(leaving_announcement action);
  void Do(unreachable_here action);
  void Do(timeline_entry action);
  void ReadLedger();

  node& node_;
  const std::string service_;
  const int index_;
  const std::function<void(std::string)> probe_;
  std::optional<outlier_detector> judge_;
  uint64_t next_record_ = 0;
  bool log_away_ = true;
  bool owned_ = false;
  bool changed_ = true;
  int slots_ = 1;
  int floor_ = 0;
  int shards_ = 1;
  std::vector<host> hosts_;  ///< Of the whole service.
  std::vector<std::string> own_;
  std::map<std::string, host> entries_;
  std::map<std::string, instance_rule::action> by_hand_;
  std::map<std::string, millis> cold_since_;
  std::optional<service_rule> rule_;
  mutable std::mutex status_mutex_;
  shard_status status_;
};

}  // namespace peridotarch

#endif  // PROXY_SHARD_JUDGE_H_
