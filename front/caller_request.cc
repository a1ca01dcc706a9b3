#include "front/caller_request.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "balance/answer_classification.h"
#include "balance/request_deadlines.h"
#include "core/invariant.h"
#include "front/retry_choice.h"
#include "platform/call_wire.h"
#include "platform/to_chrono.h"
#include "proxy/message.h"

namespace peridotarch {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr millis kLeastTime(10);  // below it no instance can answer
constexpr int kMaxTries = 4;      // with those that could not be reached
// An instance may have forgotten a connection without a word. What cannot be
// repeated goes only on one that was in use a moment ago.
constexpr millis kMaxIdleIdempotent(7'000);
constexpr millis kMaxIdle(3'000);
constexpr millis kRetryNoInstance(800);  // an entry is renewed every 1.5 s
constexpr millis kRetryUnconfigured(500);

/// One attempt at one instance.
struct attempt_record {
  instance_choice choice;
  millis time_left;  ///< When it was chosen.
  exchange_result result;
  answer_classification ruling;
  millis latency;
};

// Behind others an answer takes their time, too.
millis WorkOf(const attempt_record& attempt) {
  return millis(
      static_cast<int64_t>(static_cast<double>(attempt.latency.count()) /
                           attempt.choice.work_rounds));
}

class call_run {
 public:
  call_run(front_node& here, http_request request, caller_request& call)
      : here_(here),
        request_(std::move(request)),
        call_(call),
        begun_(boot_clock::Now()) {}

  awaitable<http_response> Run();

 private:
  std::optional<reason> Prepare();
  awaitable<void> Try(attempt_record& attempt);
  void Judge(attempt_record& attempt);
  [[nodiscard]] retry_choice MayRepeat(const attempt_record& attempt);
  http_response Deliver(attempt_record& attempt);
  http_response Refuse(reason why, millis retry_after);
  http_response Fail(const attempt_record& attempt);
  [[nodiscard]] reason WhyFailed(const attempt_record& attempt) const;
  [[nodiscard]] choice_request Wanted(millis now) const;
  choice_request Elsewhere(instance_key key, millis now);
  void NoteSlow(instance_key key, exchange_control& attempt);
  [[nodiscard]] millis Spread(millis span);
  void LogAttempt(const attempt_record& attempt, retry_choice repeat);
  void LogBudget();
  void LogAnswer(reason why, int status, millis retry_after);

  front_node& here_;
  const http_request request_;
  caller_request& call_;
  const millis begun_;
  caller_terms terms_;
  std::shared_ptr<const route_index> routes_;
  const host_route* route_ = nullptr;
  std::string service_;
  millis until_;              ///< The instance stops work.
  millis answer_by_;          ///< The caller has its answer.
  bool retry_taken_ = false;  ///< From the budget, before the attempt ended.
  std::vector<instance_key> tried_;
  std::vector<instance_key> excluded_;  ///< Those and one more.
  int sent_ = 0;          ///< Instances that a byte may have reached.
  int may_have_run_ = 0;  ///< Attempts that may have run.
};

std::optional<reason> call_run::Prepare() {
  terms_ = ReadTerms(request_);
  routes_ = here_.routes.Load();
  if (!routes_) {
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
  service_ = PickService(*route_, here_.random.Unit());
  call_.idempotent = route_->idempotent;
  request_deadlines times =
      DeadlinesFor(begun_, route_->timeout, terms_.time_left);
  if (here_.draining) {
    const millis wanted =
        std::min(times.work_until - begun_,
                 std::max(route_->latency_objective, kLeastTime));
    times = CapDeadlines(here_.stops_at, times);
    // Less time than a good answer takes: another node serves it better.
    if (times.work_until - begun_ < wanted) {
      return reason::kShuttingDown;
    }
  }
  until_ = times.work_until;
  answer_by_ = times.answer_by;
  here_.retries.NoteRequest(service_, begun_);
  return std::nullopt;
}

choice_request call_run::Wanted(millis now) const {
  choice_request wanted;
  wanted.service = service_;
  wanted.first = tried_.empty();
  wanted.is_retryable = route_->idempotent && route_->max_attempts > 1;
  wanted.priority = route_->priority;
  wanted.time_left = until_ - now;
  wanted.objective = route_->latency_objective;
  wanted.tried = tried_;
  return wanted;
}

// What would be wanted if the attempt at `key` ended now.
choice_request call_run::Elsewhere(instance_key key, millis now) {
  excluded_ = tried_;
  excluded_.push_back(key);
  choice_request wanted = Wanted(now);
  wanted.tried = excluded_;
  return wanted;
}

// Spreads the returns of callers that are refused at the same moment.
millis call_run::Spread(millis span) {
  constexpr double kLeast = 0.5;
  return millis(static_cast<int64_t>(static_cast<double>(span.count()) *
                                     (kLeast + here_.random.Unit())));
}

awaitable<void> call_run::Try(attempt_record& attempt) {
  const millis start = boot_clock::Now();
  const instance_key key = attempt.choice.key;
  exchange_params order;
  order.instance = attempt.choice.instance;
  order.request = ToInstanceRequest(request_, order.instance, until_ - start);
  order.id = terms_.id;
  order.time_left = answer_by_ - start;
  order.max_idle = route_->idempotent ? kMaxIdleIdempotent : kMaxIdle;
  here_.Verify(!order.instance.draining, invariant::kLeaving, terms_.id);
  const auto handle = std::make_shared<exchange_control>();
  call_.exchange = handle;
  here_.selector.Begin(key);
  here_.on_load_change(load_change::kSlotTaken);
  asio::steady_timer slow(here_.context, ToChrono(attempt.choice.slow_after));
  slow.async_wait([this, key, handle](const error_code& failure) {
    if (!failure) {
      NoteSlow(key, *handle);
    }
  });
  attempt.result = co_await here_.pool.Exchange(std::move(order), *handle);
  const bool was_slow = slow.cancel() == 0;
  call_.exchange = nullptr;
  attempt.latency = boot_clock::Now() - start;
  Judge(attempt);
  if (was_slow && attempt.ruling.outcome == attempt_outcome::kOk) {
    attempt.ruling.outcome = attempt_outcome::kUnknown;
  }
  const attempt_outcome outcome = attempt.ruling.outcome;
  here_.selector.End(key, outcome, WorkOf(attempt), boot_clock::Now());
  here_.LogHealthChanges();
  const bool well =
      outcome == attempt_outcome::kOk || outcome == attempt_outcome::kUnknown;
  here_.on_load_change(well ? load_change::kSlotFreed : load_change::kUrgent);
}

// An instance that has gone silent may never answer: an idempotent request
// goes to another one while there is time.
void call_run::NoteSlow(instance_key key, exchange_control& attempt) {
  const millis now = boot_clock::Now();
  here_.selector.NoteEarlyOutcome(key, attempt_outcome::kSlow, now);
  here_.LogHealthChanges();
  here_.on_load_change(load_change::kUrgent);
  const bool may = route_->idempotent && sent_ + 1 < route_->max_attempts &&
                   until_ - now > kLeastTime &&
                   here_.selector.Choose(Elsewhere(key, now), now).basis ==
                       choice_basis::kRegular;
  if (may && here_.retries.TakeRetry(service_, route_->priority, now)) {
    retry_taken_ = true;
    attempt.Cancel();
  }
}

void call_run::Judge(attempt_record& attempt) {
  const attempt_summary& end = attempt.result.end;
  answer_classification& ruling = attempt.ruling;
  if (end.ended == attempt_end_cause::kAnswered) {
    ruling = ClassifyAnswer(ReadFacts(attempt.result.answer));
  } else {
    ruling.run_verdict = JudgeAttempt(end);
    ruling.outcome = OutcomeWithoutAnswer(end, attempt.result.reused);
  }
  if (end.written != write_progress::kNothing) {
    ++sent_;
  }
  if (ruling.run_verdict != verdict::kNotRun) {
    ++may_have_run_;
  }
}

retry_choice call_run::MayRepeat(const attempt_record& attempt) {
  const bool answered = attempt.ruling.is_deliverable &&
                        (attempt.ruling.outcome == attempt_outcome::kOk ||
                         attempt.ruling.outcome == attempt_outcome::kUnknown);
  if (answered) {
    return retry_choice::kAnswered;
  }
  if (!route_->idempotent && may_have_run_ > 0) {
    return retry_choice::kMayHaveRun;
  }
  if (call_.caller_left) {
    return retry_choice::kCallerLeft;
  }
  const millis now = boot_clock::Now();
  if (until_ - now <= kLeastTime) {
    return retry_choice::kNoTime;
  }
  if (sent_ >= route_->max_attempts || tried_.size() >= kMaxTries) {
    return retry_choice::kAttemptsUsed;
  }
  // What never left this node is no repeat for the service.
  const bool granted = std::exchange(retry_taken_, false) ||
                       attempt.result.end.written == write_progress::kNothing ||
                       here_.retries.TakeRetry(service_, route_->priority, now);
  return granted ? retry_choice::kRetry : retry_choice::kBudgetUsed;
}

reason call_run::WhyFailed(const attempt_record& attempt) const {
  if (attempt.result.end.ended != attempt_end_cause::kAnswered) {
    return ReasonOf(attempt.result.end);
  }
  return attempt.ruling.run_verdict == verdict::kNotRun
             ? reason::kUpstreamShed
             : reason::kUpstreamMalformed;
}

void call_run::LogAttempt(const attempt_record& attempt, retry_choice repeat) {
  const bool answered =
      attempt.result.end.ended == attempt_end_cause::kAnswered;
  here_.log.Write(
      "attempt", {{"request", terms_.id},
                  {"route", route_->name},
                  {"service", service_},
                  {"config", routes_->config().version},
                  {"instance", attempt.choice.instance.id},
                  {"basis", ToName(attempt.choice.basis)},
                  {"in_flight_there", attempt.choice.in_flight},
                  {"expected_ms", attempt.choice.expected.count()},
                  {"time_left_ms", attempt.time_left.count()},
                  {"ended", ToName(attempt.result.end.ended)},
                  {"kept_connection", attempt.result.reused},
                  {"status", answered ? attempt.result.answer.result_int() : 0},
                  {"outcome", ToName(attempt.ruling.outcome)},
                  {"verdict", ToName(attempt.ruling.run_verdict)},
                  {"repeat", ToName(repeat)},
                  {"ms", attempt.latency.count()}});
  if (repeat == retry_choice::kBudgetUsed) {
    LogBudget();
  }
}

void call_run::LogBudget() {
  const retry_budget_state standing =
      here_.retries.StateFor(service_, route_->priority, boot_clock::Now());
  here_.log.Write("retry_denied", {{"request", terms_.id},
                                   {"service", service_},
                                   {"priority", route_->priority},
                                   {"used", standing.used},
                                   {"allowed", standing.allowed},
                                   {"nodes_heard", standing.heard},
                                   {"nodes_known", standing.known}});
}

void call_run::LogAnswer(reason why, int status, millis retry_after) {
  const millis taken = boot_clock::Now() - begun_;
  here_.CountAnswer(why, taken);
  if (why == reason::kAnswered) {
    return;
  }
  here_.log.Write("answer", {{"request", terms_.id},
                             {"service", service_},
                             {"reason", ToName(why)},
                             {"status", status},
                             {"may_have_run", may_have_run_ > 0},
                             {"sent", sent_},
                             {"caller_left", call_.caller_left},
                             {"retry_after_ms", retry_after.count()},
                             {"instances", here_.selector.size()},
                             {"suspects", here_.selector.suspects()},
                             {"nodes", here_.nodes},
                             {"ms", taken.count()}});
}

http_response call_run::Deliver(attempt_record& attempt) {
  http_response answer = ToCallerAnswer(std::move(attempt.result.answer));
  const bool head = request_.method() == boost::beast::http::verb::head;
  here_.Verify(IsWhole(answer, head), invariant::kWholeAnswer, terms_.id);
  LogAnswer(reason::kAnswered, static_cast<int>(answer.result_int()),
            millis(0));
  return answer;
}

http_response call_run::Refuse(reason why, millis retry_after) {
  const reply_rule rule = ReplyFor(why);
  here_.Verify(rule.run_verdict != verdict::kNotRun || may_have_run_ == 0,
               invariant::kNotRun, terms_.id);
  LogAnswer(why, rule.status, retry_after);
  return OwnAnswer(rule.status, terms_.id, std::string(ToName(why)),
                   retry_after);
}

http_response call_run::Fail(const attempt_record& attempt) {
  const reason why = WhyFailed(attempt);
  if (may_have_run_ == 0) {
    return Refuse(why, Spread(kRetryUnconfigured));
  }
  // An earlier attempt may have run even if the last one did not.
  const bool promises = ReplyFor(why).run_verdict == verdict::kNotRun;
  return Refuse(promises ? reason::kUpstreamReset : why, millis(0));
}

awaitable<http_response> call_run::Run() {
  if (const auto refused = Prepare()) {
    const bool elsewhere =
        *refused == reason::kNotConfigured || *refused == reason::kShuttingDown;
    co_return Refuse(*refused,
                     elsewhere ? Spread(kRetryUnconfigured) : millis(0));
  }
  attempt_record attempt;
  for (;;) {
    const millis now = boot_clock::Now();
    attempt_record next;
    next.time_left = until_ - now;
    next.choice = here_.selector.Choose(Wanted(now), now);
    if (next.choice.basis == choice_basis::kNoInstance ||
        next.choice.basis == choice_basis::kOverload) {
      if (!tried_.empty()) {
        break;
      }
      const bool none = next.choice.basis == choice_basis::kNoInstance;
      co_return Refuse(
          none ? reason::kNoCapacity : reason::kOverloaded,
          Spread(none ? kRetryNoInstance : next.choice.retry_after));
    }
    attempt = std::move(next);
    co_await Try(attempt);
    tried_.push_back(attempt.choice.key);
    const retry_choice repeat = MayRepeat(attempt);
    LogAttempt(attempt, repeat);
    if (repeat != retry_choice::kRetry) {
      break;
    }
  }
  here_.Verify(route_->idempotent || may_have_run_ <= 1, invariant::kAtMostOnce,
               terms_.id);
  co_return attempt.ruling.is_deliverable ? Deliver(attempt) : Fail(attempt);
}

}  // namespace

void caller_request::OnCallerLeft() {
  caller_left = true;
  if (exchange && (idempotent || !exchange->HasStartedSending())) {
    exchange->Cancel();
  }
}

awaitable<http_response> ServeRequest(front_node& here, http_request request,
                                      caller_request& call) {
  call_run run(here, std::move(request), call);
  co_return co_await run.Run();
}

}  // namespace peridotarch
