#ifndef REQUEST_OWNER_CALL_H_
#define REQUEST_OWNER_CALL_H_

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "core/millis.h"
#include "core/names.h"
#include "core/verdict.h"
#include "request/attempt.h"
#include "request/claimer.h"
#include "request/reason.h"
#include "request/request_verdict.h"
#include "request/retry.h"

namespace peridotarch {

class retry_budget;

/// What the owner knows of a submission when it comes.
struct call_params {
  bool idempotent = false;
  bool keyed = false;  ///< Carries a key; only used when not idempotent.
  int retries = 0;     ///< Of the route's rule.
  millis deadline;
};

/// Where a submission stands.
enum class call_state { kNew, kClaiming, kQueued, kAttempting, kDone };

template <>
struct names_of<call_state> {
  static constexpr std::array<std::string_view, 5> kTable = {
      "new", "claiming", "queued", "attempting", "done"};
};

/// What the shell does next for a submission, in order.
struct call_action {
  enum class action {
    kClaim,             ///< Submit the key to the claimer.
    kAdmit,             ///< Ask the shard for a slot, not at `instance`.
    kAttempt,           ///< Connect to `instance` and write; the slot is held.
    kFreeSlot,          ///< The slot is free.
    kFreeSlotLater,     ///< The slot is free from `at` on.
    kLeaveQueue,        ///< Leave the shard's queue.
    kReply,             ///< Answer the caller.
    kComplete,          ///< Tell the claimer the status, after the reply.
    kReleaseClaim,      ///< Give the claim back, after the reply.
    kMarkClaimUnknown,  ///< The claim stays; the outcome is unknown.
  };
  action kind = action::kReply;
  std::string instance;
  millis at;
  reason why = reason::kAnswered;              ///< Of kReply.
  verdict run_verdict = verdict::kMayHaveRun;  ///< Of kReply.
  int status = 0;                              ///< Of kReply and kComplete.
  millis retry_after;                          ///< Of kReply.
};

/// One submission of a request at the owner of its shard: claim, slot,
/// attempts, reply.
class owner_call {
 public:
  explicit owner_call(const call_params& plan) : plan_(plan) {}

  /// Starts the submission.
  std::vector<call_action> Start();

  /// The claimer answered.
  std::vector<call_action> OnClaimAnswered(const claim_outcome& outcome);

  /// The shard granted a slot at an instance.
  std::vector<call_action> OnGranted(const std::string& instance, millis now);

  /// The shard refused.
  std::vector<call_action> OnRefused(reason why, millis retry_after);

  /// The attempt ended; `status` is that of a whole answer.
  std::vector<call_action> OnAttemptEnded(const attempt_summary& end,
                                          int status, millis now,
                                          retry_budget& budget);

  /// The caller left. An attempt in flight goes on to its end, which the shell
  /// hastens by a cancellation.
  std::vector<call_action> OnCallerLeft();

  [[nodiscard]] call_state step() const { return step_; }

 private:
  using action = call_action::action;

  [[nodiscard]] bool NeedsClaim() const {
    return plan_.keyed && !plan_.idempotent;
  }
  [[nodiscard]] key_ownership Knowledge() const;
  [[nodiscard]] bool MayAttempt() const;
  void Add(action kind);
  void Reply(reason why, verdict run_verdict, int status, millis retry_after);
  void Finish(reason why, int status, millis retry_after);
  void EndClaim(int status);
  void FreeSlot(const attempt_summary& end);
  [[nodiscard]] retry_context Case(millis now) const;
  std::vector<call_action> Take();

  const call_params plan_;
  call_state step_ = call_state::kNew;
  bool claimed_ = false;
  bool caller_left_ = false;
  bool any_not_shed_ = false;  ///< An attempt ended otherwise than shed.
  int retries_made_ = 0;
  verdict attempts_ = verdict::kNotRun;  ///< Of all attempts so far.
  std::string instance_;                 ///< Of the latest attempt.
  millis started_;                       ///< The latest attempt's grant.
  std::vector<call_action> actions_;
};

}  // namespace peridotarch

#endif  // REQUEST_OWNER_CALL_H_
