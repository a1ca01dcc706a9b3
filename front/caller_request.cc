#include "front/caller_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "balance/request_deadlines.h"
#include "core/invariant.h"
#include "core/task_failure.h"
#include "front/attempt_record.h"
#include "front/record_wait.h"
#include "front/retry_choice.h"
#include "front/team_access.h"
#include "platform/call_wire.h"
#include "proxy/guarded_timer.h"
#include "proxy/message.h"

namespace peridotarch {

namespace {

// Includes attempts at instances that could not be reached.
constexpr int kMaxAttempts = 4;
// An instance may have dropped an idle connection without closing it. A request
// that cannot be retried goes only on a connection that was in use recently.
constexpr millis kMaxIdleTimeIdempotent(7'000);
constexpr millis kMaxIdleTime(3'000);
constexpr millis kOtherNodeRetryAfter(500);
constexpr millis kMemoryRetryAfter(500);

class request_handler {
 public:
  request_handler(front_node& node, block_request request,
                  caller_request& state)
      : node_(node),
        request_(std::move(request)),
        state_(state),
        started_at_(state.arrived_at),
        waited_(boot_clock::Now() - state.arrived_at),
        team_(node) {}

  awaitable<http_response> Run();
  /// Returns the answer if an exception has left Run().
  http_response AnswerException();

 private:
  std::optional<reason> Prepare();
  awaitable<void> RunAttempt(attempt_record& attempt);
  void CountAttempt(const attempt_record& attempt);
  /// Takes a retry from the fleet's budget, unless it is used up.
  bool TakeRetry(millis now);
  [[nodiscard]] retry_choice DecideRetry(const attempt_record& attempt);
  http_response Deliver(attempt_record& attempt);
  http_response Refuse(reason why, millis delay);
  http_response Fail(const attempt_record& attempt);
  [[nodiscard]] choice_request MakeChoiceRequest(millis now) const;
  choice_request MakeChoiceRequestWithout(instance_key key, millis now);
  void OnSlowAttempt(instance_key key, exchange_control& control);
  [[nodiscard]] millis MaxIdleTime() const {
    return route_->idempotent ? kMaxIdleTimeIdempotent : kMaxIdleTime;
  }
  void LogAttempt(const attempt_record& attempt, retry_choice retry);
  void LogAnswer(reason why, int status, millis retry_after);

  front_node& node_;
  const block_request request_;
  caller_request& state_;
  const millis started_at_;
  const millis waited_;  ///< For earlier requests on the connection.
  caller_terms terms_;
  std::shared_ptr<const route_index> routes_;
  const host_route* route_ = nullptr;
  team_access team_;
  std::string service_;
  millis work_deadline_;    ///< When the instance stops work.
  millis answer_deadline_;  ///< When the answer is sent at the latest.
  /// The budget granted the retry before the attempt ended.
  bool retry_taken_early_ = false;
  instance_key attempted_ = 0;  ///< Of the latest attempt.
  std::vector<instance_key> tried_;
  std::vector<instance_key> excluded_;  ///< `tried_` and the slow instance.
  int instances_sent_to_ = 0;  ///< Instances that may have received a byte.
  int possible_runs_ = 0;      ///< Attempts that may have run.
};

std::optional<reason> request_handler::Prepare() {
  terms_ = ReadTerms(request_);
  routes_ = node_.routes.Load();
  if (!node_.IsConfigConfirmed()) {
    return reason::kNotConfigured;
  }
  if (terms_.id.empty()) {
    return reason::kBadRequest;
  }
  route_ = routes_->Find(request_[boost::beast::http::field::host],
                         request_.target());
  if (route_ == nullptr) {
    return reason::kNoRoute;
  }
  if (const auto refused = team_.Identify(routes_, *route_, terms_.key)) {
    return refused;
  }
  service_ = PickService(*route_, node_.random.Unit());
  state_.idempotent = route_->idempotent;
  std::optional<request_deadlines> deadlines =
      DeadlinesFor(started_at_, route_->timeout, terms_.time_left);
  if (node_.draining) {
    deadlines = AdmitAtShutdown(node_.shutdown, *deadlines,
                                route_->latency_objective, boot_clock::Now());
  }
  if (!deadlines) {
    return reason::kShuttingDown;
  }
  work_deadline_ = deadlines->work_until;
  answer_deadline_ = deadlines->answer_by;
  node_.retries.NoteRequest(service_, started_at_);
  return team_.Charge();
}

choice_request request_handler::MakeChoiceRequest(millis now) const {
  choice_request request;
  request.service = service_;
  request.is_first_attempt = tried_.empty();
  request.is_retryable = route_->idempotent && route_->max_attempts > 1;
  request.priority = team_.priority();
  request.admission = routes_->config().admission;
  request.time_left = work_deadline_ - now;
  request.objective = route_->latency_objective;
  request.route = KeyOf(route_->name);
  request.max_idle_time = MaxIdleTime();
  request.tried = tried_;
  return request;
}

// Returns the request for a choice as if the attempt at `key` had failed now.
choice_request request_handler::MakeChoiceRequestWithout(instance_key key,
                                                         millis now) {
  excluded_ = tried_;
  excluded_.push_back(key);
  choice_request request = MakeChoiceRequest(now);
  request.tried = excluded_;
  return request;
}

awaitable<void> request_handler::RunAttempt(attempt_record& attempt) {
  const millis attempt_started_at = boot_clock::Now();
  const instance_key key = attempt.choice.key;
  exchange_params params;
  params.instance = attempt.choice.instance;
  params.request = ToInstanceRequest(request_, params.instance, team_.Name());
  params.work_until = work_deadline_;
  params.id = terms_.id;
  params.time_left = answer_deadline_ - attempt_started_at;
  params.max_idle_time = MaxIdleTime();
  params.expected_bytes = node_.sizes.Expected(KeyOf(route_->name));
  node_.Verify(!params.instance.draining, invariant::kLeaving, terms_.id);
  const auto control = std::make_shared<exchange_control>();
  node_.selector.Begin(key);
  attempted_ = key;
  state_.exchange = control;
  const bool is_trial = attempt.choice.basis == choice_basis::kTrial;
  node_.on_load_change(
      is_trial ? load_change::kTrialBegun : load_change::kSlotTaken, key);
  guarded_timer slow_timer(node_.context.get_executor());
  slow_timer.Start(attempt.choice.slow_after,
                   [this, key, control] { OnSlowAttempt(key, *control); });
  attempt.result = co_await node_.pool.Exchange(std::move(params), *control);
  const bool was_slow = !slow_timer.Stop();
  attempt.latency = boot_clock::Now() - attempt_started_at;
  attempt.classification = Classify(attempt.result);
  CountAttempt(attempt);
  state_.exchange = nullptr;
  if (was_slow && attempt.classification.outcome == attempt_outcome::kOk) {
    attempt.classification.outcome = attempt_outcome::kUnknown;
  }
  const attempt_outcome outcome = HealthOutcome(attempt);
  const millis now = boot_clock::Now();
  const load_change change = node_.selector.End(
      key, outcome, InstanceWorkTime(attempt), now, KeyOf(route_->name));
  if (attempt.result.idle_connections > 0) {
    node_.selector.NoteIdleConnections(key, attempt.result.idle_connections,
                                       now);
  }
  node_.PublishChange(change, key);
}

// The instance of a slow attempt may never answer, so an idempotent request
// goes to another instance while there is time.
void request_handler::OnSlowAttempt(instance_key key,
                                    exchange_control& control) {
  const millis now = boot_clock::Now();
  node_.PublishChange(
      node_.selector.NoteEarlyOutcome(key, attempt_outcome::kSlow, now), key);
  const bool can_retry =
      route_->idempotent && instances_sent_to_ + 1 < route_->max_attempts &&
      work_deadline_ - now > kMinAttemptTime &&
      node_.selector.Choose(MakeChoiceRequestWithout(key, now), now).basis ==
          choice_basis::kRegular;
  if (can_retry && TakeRetry(now)) {
    retry_taken_early_ = true;
    control.Cancel();
  }
}

void request_handler::CountAttempt(const attempt_record& attempt) {
  if (attempt.result.summary.written != write_progress::kNothing) {
    ++instances_sent_to_;
  }
  if (attempt.classification.run_verdict != verdict::kNotRun) {
    ++possible_runs_;
  }
}

bool request_handler::TakeRetry(millis now) {
  if (!node_.retries.TakeRetry(service_, team_.priority(), now)) {
    return false;
  }
  node_.on_load_change(load_change::kRetryTaken, 0);
  return true;
}

retry_choice request_handler::DecideRetry(const attempt_record& attempt) {
  const bool answered =
      attempt.classification.is_deliverable &&
      (attempt.classification.outcome == attempt_outcome::kOk ||
       attempt.classification.outcome == attempt_outcome::kUnknown);
  if (answered) {
    return retry_choice::kAnswered;
  }
  if (!route_->idempotent && possible_runs_ > 0) {
    return retry_choice::kMayHaveRun;
  }
  if (state_.caller_left) {
    return retry_choice::kCallerLeft;
  }
  const millis now = boot_clock::Now();
  if (work_deadline_ - now <= kMinAttemptTime) {
    return retry_choice::kNoTime;
  }
  if (instances_sent_to_ >= route_->max_attempts ||
      tried_.size() >= kMaxAttempts) {
    return retry_choice::kAttemptsUsed;
  }
  // If nothing was written, the service receives the request only once, so
  // this is no retry for the budget.
  const bool is_allowed =
      std::exchange(retry_taken_early_, false) ||
      attempt.result.summary.written == write_progress::kNothing ||
      TakeRetry(now);
  return is_allowed ? retry_choice::kRetry : retry_choice::kBudgetUsed;
}

void request_handler::LogAttempt(const attempt_record& attempt,
                                 retry_choice retry) {
  const bool answered =
      attempt.result.summary.ended == attempt_end_cause::kAnswered;
  node_.log.Write(
      "attempt", {{"request", terms_.id},
                  {"route", route_->name},
                  {"service", service_},
                  {"config", routes_->config().version.value()},
                  {"instance", attempt.choice.instance.id},
                  {"instance_zone", attempt.choice.instance.zone},
                  {"basis", ToName(attempt.choice.basis)},
                  {"in_flight_there", attempt.choice.in_flight},
                  {"expected_ms", attempt.choice.expected.count()},
                  {"time_left_ms", attempt.time_left.count()},
                  {"queued_behind", state_.queued_behind},
                  {"waited_ms", waited_.count()},
                  {"ended", ToName(attempt.result.summary.ended)},
                  {"kept_connection", attempt.result.reused},
                  {"status", answered ? attempt.result.answer.result_int() : 0},
                  {"outcome", ToName(attempt.classification.outcome)},
                  {"verdict", ToName(attempt.classification.run_verdict)},
                  {"repeat", ToName(retry)},
                  {"ms", attempt.latency.count()}});
  if (retry == retry_choice::kBudgetUsed) {
    node_.LogRetryDenied(terms_.id, service_, team_.priority());
  }
}

void request_handler::LogAnswer(reason why, int status, millis retry_after) {
  const millis taken = boot_clock::Now() - started_at_;
  node_.CountAnswer(why, taken);
  if (why == reason::kAnswered) {
    return;
  }
  node_.log.Write("answer", {{"request", terms_.id},
                             {"service", service_},
                             {"reason", ToName(why)},
                             {"status", status},
                             {"may_have_run", possible_runs_ > 0},
                             {"sent", instances_sent_to_},
                             {"caller_left", state_.caller_left},
                             {"queued_behind", state_.queued_behind},
                             {"waited_ms", waited_.count()},
                             {"retry_after_ms", retry_after.count()},
                             {"instances", node_.selector.size()},
                             {"suspects", node_.selector.suspects()},
                             {"nodes", node_.live_nodes},
                             {"ms", taken.count()}});
}

http_response request_handler::Deliver(attempt_record& attempt) {
  http_response answer = ToCallerAnswer(std::move(attempt.result.answer));
  node_.sizes.Note(KeyOf(route_->name), answer.body().size());
  state_.answer_memory = std::move(attempt.result.reservation);
  const bool head = request_.method() == boost::beast::http::verb::head;
  node_.Verify(IsWhole(answer, head), invariant::kWholeAnswer, terms_.id);
  LogAnswer(reason::kAnswered, static_cast<int>(answer.result_int()),
            millis(0));
  return answer;
}

http_response request_handler::Refuse(reason why, millis delay) {
  const reply_rule rule = ReplyFor(why);
  const millis retry_after =
      why == reason::kTeamLimit
          ? node_.DelayAfterLimit(delay)
          : node_.RetryAfter(service_, delay,
                             work_deadline_ - boot_clock::Now());
  if (possible_runs_ == 0) {
    team_.Refund();
  }
  node_.Verify(rule.run_verdict != verdict::kNotRun || possible_runs_ == 0,
               invariant::kNotRun, terms_.id);
  LogAnswer(why, rule.status, retry_after);
  return OwnAnswer(rule.status, terms_.id, std::string(ToName(why)),
                   retry_after);
}

http_response request_handler::Fail(const attempt_record& attempt) {
  const reason why = FailureReason(attempt, node_.draining);
  if (possible_runs_ == 0) {
    return Refuse(why, RetryAfterFailure(attempt, why));
  }
  // An earlier attempt may have run even if the last one did not, so the
  // answer must not state that the request did not run.
  const bool promises_not_run = ReplyFor(why).run_verdict == verdict::kNotRun;
  return Refuse(promises_not_run ? reason::kUpstreamReset : why, millis(0));
}

awaitable<http_response> request_handler::Run() {
  co_await WaitForRecords(node_, state_);
  if (const auto refused = Prepare()) {
    const bool other_node_can_serve = *refused == reason::kNotConfigured ||
                                      *refused == reason::kConfigOutdated ||
                                      *refused == reason::kShuttingDown;
    co_return Refuse(*refused, other_node_can_serve ? kOtherNodeRetryAfter
                                                    : team_.retry_after());
  }
  attempt_record attempt;
  for (;;) {
    // An instance aborts an answer that stays unread, so a request is not sent
    // unless its answer can be read at once.
    if (!node_.HasRoomForAnswerOf(route_->name)) {
      node_.OnAnswerRefused(route_->name);
      if (!tried_.empty()) {
        break;
      }
      co_return Refuse(reason::kMemoryShort, kMemoryRetryAfter);
    }
    const millis now = boot_clock::Now();
    attempt_record next;
    next.time_left = work_deadline_ - now;
    next.choice = node_.selector.Choose(MakeChoiceRequest(now), now);
    if (next.choice.basis == choice_basis::kNoInstance ||
        next.choice.basis == choice_basis::kOverload) {
      if (!tried_.empty()) {
        break;
      }
      const bool no_instance = next.choice.basis == choice_basis::kNoInstance;
      co_return Refuse(no_instance ? reason::kNoCapacity : reason::kOverloaded,
                       next.choice.retry_after);
    }
    attempt = std::move(next);
    co_await RunAttempt(attempt);
    tried_.push_back(attempt.choice.key);
    const retry_choice retry = DecideRetry(attempt);
    LogAttempt(attempt, retry);
    if (retry != retry_choice::kRetry) {
      break;
    }
  }
  node_.Verify(route_->idempotent || possible_runs_ <= 1,
               invariant::kAtMostOnce, terms_.id);
  co_return attempt.classification.is_deliverable ? Deliver(attempt)
                                                  : Fail(attempt);
}

http_response request_handler::AnswerException() {
  if (state_.exchange) {
    possible_runs_ += state_.exchange->HasStartedSending() ? 1 : 0;
    state_.exchange = nullptr;
    node_.selector.End(attempted_, attempt_outcome::kUnknown, millis(0),
                       boot_clock::Now(), KeyOf(route_->name));
  }
  return possible_runs_ > 0
             ? Refuse(reason::kInternalError, millis(0))
             : Refuse(reason::kInternalNotRun, kOtherNodeRetryAfter);
}

}  // namespace

void caller_request::OnCallerLeft() {
  caller_left = true;
  if (exchange && (idempotent || !exchange->HasStartedSending())) {
    exchange->Cancel();
  }
}

awaitable<http_response> ServeRequest(front_node& node, block_request request,
                                      caller_request& state) {
  request_handler handler(node, std::move(request), state);
  try {
    co_return co_await handler.Run();
  } catch (...) {
    ReportTaskFailure("request", std::current_exception());
    co_return handler.AnswerException();
  }
}

}  // namespace peridotarch
