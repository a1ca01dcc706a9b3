#ifndef TESTS_REQUEST_WORLD_RUN_H_
#define TESTS_REQUEST_WORLD_RUN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "core/millis.h"
#include "core/random.h"
#include "request/claimer.h"
#include "request/owner_call.h"
#include "request/request_verdict.h"
#include "request/retry_budget.h"
#include "request/shard.h"
#include "tests/request/fake_log.h"
#include "tests/request/world.h"

namespace peridotarch {

/// A few nodes, instances, callers and a log in virtual time, with faults at
/// the steps of a request. The seed determines the schedule.
class world {
 public:
  world(uint64_t seed, std::vector<planned_fault> faults,
        caller_options options);

  /// Runs the schedule to its end.
  world_result Run();

 private:
  static constexpr size_t kNodes = 3;
  static constexpr size_t kInstances = 3;
  static constexpr int kSlots = 2;
  static constexpr int64_t kEpoch = 1'800'000'000'000;
  // Time after the last submission for which nodes keep running.
  static constexpr millis kRunOnTime{3'000};
  static constexpr millis kReadInterval{5};
  static constexpr millis kIdleReadInterval{50};
  static constexpr millis kPumpInterval{10};
  static constexpr millis kRestartTime{200};
  static constexpr int kMaxSubmissions = 4;

  struct submission;
  struct attempt;
  using sub_ptr = std::shared_ptr<submission>;
  using attempt_ptr = std::shared_ptr<attempt>;
  using call = std::function<void()>;

  struct scheduled {
    millis at;
    uint64_t order = 0;
    call run;
    bool operator<(const scheduled& other) const {
      return at > other.at || (at == other.at && order > other.order);
    }
  };

  struct request {
    bool idempotent = false;
    bool keyed = true;
    request_key key;
    millis timeout;
    int sent_count = 0;
    bool is_settled = false;  ///< The caller has its answer or has given up.
    struct run {
      size_t submission = 0;
      millis at;
    };
    std::vector<run> runs;
  };

  struct submission {
    size_t id = 0;
    size_t request = 0;
    size_t entry = 0;
    size_t owner = 0;
    bool is_repeat = false;
    std::optional<owner_call> call;
    uint64_t claim = 0;
    ticket slot = 0;
    attempt_ptr current;
    uint64_t owner_incarnation = 0;
    millis owner_at;           ///< When the submission reached its owner.
    bool has_replied = false;  ///< The entry node has replied.
    bool caller_has_reply = false;
    bool caller_left = false;
    std::optional<fault> upstream_fault;
    struct reply_record {
      millis at;
      verdict run_verdict = verdict::kMayHaveRun;
      reason why = reason::kAnswered;
    };
    std::optional<reply_record> reply_at_owner;
    std::optional<reply_record> reply_heard;
  };

  struct attempt {
    sub_ptr sub;
    size_t node = 0;
    uint64_t incarnation = 0;
    size_t instance = 0;
    attempt_summary end;
    millis deadline;
    bool is_over = false;    ///< The attempt has ended at the node.
    bool cancelled = false;  ///< The instance will not start it.
    bool started = false;
    bool finished = false;
  };

  struct node {
    uint64_t incarnation = 0;
    bool up = true;
    millis paused_until;
    millis cut_out_until;
    millis cut_in_until;
    millis clock_skew;
    size_t owner_view = 0;  ///< Index of the shard's owner in this node's view.
    std::unique_ptr<claimer> claims;
    std::unique_ptr<shard> slots;
    retry_budget budget{100, 100};
    std::map<uint64_t, sub_ptr> by_claim;
    std::map<ticket, sub_ptr> by_slot;
    ticket next_ticket = 0;
    bool reading = false;
    millis next_read;
  };

  struct instance {
    bool draining = false;
    int busy = 0;
    bool known_draining = false;
  };

  millis RandomDelay(int64_t min_ms, int64_t max_ms);
  void Schedule(millis when, call run);
  void ScheduleAtNode(size_t node, millis when, call run);
  bool IsCut(size_t node, bool outgoing);
  void RunStep(const sub_ptr& sub, size_t node, path_step step, call run);
  void InjectFault(fault kind, const sub_ptr& sub, size_t node);
  void Crash(size_t node);
  void SetInstances(size_t node);

  void Send(size_t request, size_t entry, bool is_repeat);
  void Accept(const sub_ptr& sub);
  void Forward(const sub_ptr& sub);
  void Receive(const sub_ptr& sub);
  void Perform(const sub_ptr& sub, const std::vector<call_action>& actions);
  void PerformOne(const sub_ptr& sub, const call_action& next);
  void PumpRegularly(size_t node);
  void Pump(size_t node);
  void Append(size_t node, const std::string& record);
  void ReadLog(size_t node);
  void Connect(const sub_ptr& sub, const std::string& instance);
  void Write(const attempt_ptr& att);
  void Arrive(const attempt_ptr& att);
  void Start(const attempt_ptr& att, instance& at);
  void Answer(const attempt_ptr& att, bool shed);
  void Timeout(const attempt_ptr& att);
  void Cancel(const attempt_ptr& att);
  void EndAttempt(const attempt_ptr& att, attempt_end_cause ended);
  void Reply(const sub_ptr& sub, reason why, verdict run_verdict);
  void AnswerCaller(const sub_ptr& sub, reason why, verdict run_verdict);
  void RetryLater(size_t request);
  void CheckReplies();

  random_bits random_;
  std::vector<planned_fault> faults_;
  const caller_options options_;
  millis now_{1'000};
  uint64_t order_ = 0;
  std::priority_queue<scheduled> events_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::vector<std::unique_ptr<instance>> instances_;
  std::vector<request> requests_;
  std::vector<sub_ptr> submissions_;
  fake_log log_;
  millis log_away_until_;
  millis last_sent_;
  bool crashed_ = false;
  world_result result_;
};

}  // namespace peridotarch

#endif  // TESTS_REQUEST_WORLD_RUN_H_
