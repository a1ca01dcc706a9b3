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

/// What the owner knows about a submission when it arrives.
struct call_params {
  bool idempotent = false;
  bool keyed = false;  ///< Has a key, which matters only if not idempotent.
  int retries = 0;     ///< Retries allowed by the route's rule.
  millis deadline;
};

/// The state of a submission.
enum class call_state { kNew, kClaiming, kQueued, kAttempting, kDone };

template <>
struct names_of<call_state> {
  static constexpr std::array<std::string_view, 5> kTable = {
      "new", "claiming", "queued", "attempting", "done"};
};

/// An action that the owner takes for a submission. Actions are taken in order.
struct call_action {
  enum class action {
    kClaim,             ///< Submit the key to the claimer.
    kAdmit,             ///< Ask the shard for a slot, but not at `instance`.
    kAttempt,           ///< Connect to `instance` and write; its slot is held.
    kFreeSlot,          ///< Free the slot.
    kFreeSlotLater,     ///< Free the slot at the time `at`.
    kLeaveQueue,        ///< Leave the shard's queue.
    kReply,             ///< Answer the caller.
    kComplete,          ///< Tell the claimer the status, after the reply.
    kReleaseClaim,      ///< Release the claim, after the reply.
    kMarkClaimUnknown,  ///< Keep the claim; the outcome is unknown.
  };
  action kind = action::kReply;
  std::string instance;
  millis at;
  reason why = reason::kAnswered;              ///< For kReply.
  verdict run_verdict = verdict::kMayHaveRun;  ///< For kReply.
  int status = 0;                              ///< For kReply and kComplete.
  millis retry_after;                          ///< For kReply.
};

/// One submission of a request at the owner of its shard, from the claim and
/// the slot through the attempts to the reply.
class owner_call {
 public:
  explicit owner_call(const call_params& params) : params_(params) {}

  /// Starts the submission.
  std::vector<call_action> Start();

  /// Handles the claimer's answer.
  std::vector<call_action> OnClaimAnswered(const claim_outcome& outcome);

  /// Handles the grant of a slot at an instance.
  std::vector<call_action> OnGranted(const std::string& instance, millis now);

  /// Handles a refusal by the shard.
  std::vector<call_action> OnRefused(reason why, millis retry_after);

  /// Handles the end of the attempt; `status` is the HTTP status of a whole
  /// answer.
  std::vector<call_action> OnAttemptEnded(const attempt_summary& attempt,
                                          int status, millis now,
                                          retry_budget& budget);

  /// Handles the departure of the caller. An attempt in flight goes on until it
  /// ends, and the owner sends a cancellation to shorten it.
  std::vector<call_action> OnCallerLeft();

  [[nodiscard]] call_state state() const { return state_; }

 private:
  using action = call_action::action;

  [[nodiscard]] bool NeedsClaim() const {
    return params_.keyed && !params_.idempotent;
  }
  [[nodiscard]] key_ownership KeyOwnership() const;
  [[nodiscard]] bool MayAttempt() const;
  void AddAction(action kind);
  void Reply(reason why, verdict run_verdict, int status, millis retry_after);
  void Finish(reason why, int status, millis retry_after);
  void EndClaim(int status);
  void FreeSlot(const attempt_summary& attempt);
  [[nodiscard]] retry_context RetryContext(millis now) const;
  std::vector<call_action> TakeActions();

  const call_params params_;
  call_state state_ = call_state::kNew;
  bool holds_claim_ = false;
  bool caller_left_ = false;
  bool has_unshed_attempt_ = false;  ///< An attempt ended without being shed.
  int retries_made_ = 0;
  verdict attempts_verdict_ = verdict::kNotRun;  ///< On all attempts so far.
  std::string latest_instance_;  ///< Instance of the latest attempt.
  millis slot_granted_at_;       ///< When the latest attempt got its slot.
  std::vector<call_action> actions_;
};

}  // namespace peridotarch

#endif  // REQUEST_OWNER_CALL_H_
