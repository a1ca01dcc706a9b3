#include "proxy/owner_shard.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "config/snapshot.h"
#include "core/hash.h"
#include "core/invariant.h"
#include "inner/headers.h"
#include "proxy/claim_log.h"
#include "proxy/node.h"
#include "proxy/spawn.h"
#include "proxy/upstream_link.h"
#include "request/attempt.h"
#include "request/request_key.h"
#include "request/request_verdict.h"
#include "request/retry.h"
#include "request/shard_map.h"

namespace peridotarch {

namespace asio = boost::asio;

namespace {

constexpr millis kTick(20);
constexpr millis kCancelTimeout(100);
constexpr millis kProbeTimeout(500);
// A run that the owner gave up keeps its slot for this long, unless the
// instance said that it ended.
constexpr millis kDetachedRun(1000);

}  // namespace

owner_shard::owner_shard(node& parent, std::string service, int index)
    : node_(parent),
      strand_(asio::make_strand(parent.context)),
      service_(std::move(service)),
      index_(index),
      judge_(parent, service_, index, [this](std::string instance) {
        SpawnLogged(strand_, "probe", [self = shared_from_this(), instance] {
          return self->Probe(instance);
        });
      }) {}

owner_shard::~owner_shard() = default;

void owner_shard::Start() {
  SetHosts(node_.hosts.Load(), node_.config.Load());
  SpawnLoop(strand_, "shard_ticks",
            [self = shared_from_this()] { return self->TickRegularly(); });
}

awaitable<call_result> owner_shard::Run(forwarded_call call,
                                        block_request request) {
  auto here = RunHere(std::move(call), std::move(request));
  co_return co_await asio::co_spawn(strand_, std::move(here),
                                    asio::use_awaitable);
}

void owner_shard::SetHosts(std::shared_ptr<const host_list> hosts,
                           std::shared_ptr<const config_snapshot> config) {
  if (!hosts || !config) {
    return;
  }
  asio::post(strand_, [self = shared_from_this(), hosts = std::move(hosts),
                       config = std::move(config)] {
    self->ApplyHosts(*hosts, *config);
  });
}

void owner_shard::SetOwned(bool owned) {
  asio::post(strand_, [self = shared_from_this(), owned] {
    self->judge_.SetOwned(owned);
    self->ApplyInstances();
  });
}

void owner_shard::OnLeaving(leaving_note note) {
  asio::post(strand_, [self = shared_from_this(), note = std::move(note)] {
    self->judge_.OnLeaving(note);
    self->TickJudge();
  });
}

void owner_shard::OnOpinion(opinion_note opinion) {
  asio::post(strand_,
             [self = shared_from_this(), opinion = std::move(opinion)] {
               self->judge_.OnOpinion(opinion);
             });
}

awaitable<call_result> owner_shard::RunHere(forwarded_call call,
                                            block_request request) {
  run now;
  now.deadline = steady_clock::Now() + call.left;
  now.call = std::move(call);
  now.request = std::move(request);
  budget_.NoteRequest();
  if (!now.call.key.empty()) {
    co_return co_await RunKeyed(now);
  }
  co_return co_await RunAttempts(now, 0);
}

// The key is won in the log before a slot is asked for, so that no slot waits
// for the log.
awaitable<call_result> owner_shard::RunKeyed(run& now) {
  const auto key = ParseRequestKey(service_, now.call.key);
  if (!key) {
    co_return Refusal(reason::kKeyMalformed);
  }
  if (!claims_) {
    claims_ = node_.owners.Claims(service_);
  }
  const millis left = now.deadline - steady_clock::Now();
  const claim_outcome claim = co_await claims_->Claim(*key, left);
  if (!claim.won) {
    call_result refused = Refusal(claim.why);
    refused.run_verdict =
        RequestVerdict(refused.run_verdict, key_ownership::kUnknown);
    refused.key_status = claim.status;
    co_return refused;
  }
  call_result result = co_await RunAttempts(now, claim.submission);
  switch (result.run_verdict) {
    case verdict::kNotRun:
      claims_->Release(claim.submission);
      break;
    case verdict::kRan:
      claims_->Complete(claim.submission,
                        static_cast<int>(result.answer.result_int()));
      break;
    case verdict::kMayHaveRun:
      claims_->MarkUnknown(claim.submission);
      break;
  }
  co_return result;
}

awaitable<call_result> owner_shard::RunAttempts(run& now, uint64_t submission) {
  for (;;) {
    const ticket id = next_ticket_++;
    const shard_action slot = co_await WaitForSlot(id, now);
    if (slot.kind == shard_action::action::kRefuse) {
      // After an attempt, its own reason says more than the lack of a slot.
      const reason why = now.attempts == 0 ? slot.why : now.latest;
      call_result refused = Refusal(why, slot.retry_after);
      refused.run_verdict = now.attempts_said;
      co_return refused;
    }
    bool holds = true;
    if (submission != 0) {
      holds = co_await claims_->Holds(submission);
    }
    if (!holds) {
      scheduler_.Release(id, steady_clock::Now());
      Pump();
      call_result lost = Refusal(reason::kKeyOutcomeUnknown);
      lost.run_verdict = CombineVerdicts(now.attempts_said, lost.run_verdict);
      co_return lost;
    }
    if (now.deadline <= steady_clock::Now()) {
      scheduler_.Release(id, steady_clock::Now());
      Pump();
      call_result late = Refusal(reason::kDeadlineExpired);
      late.run_verdict = now.attempts_said;
      co_return late;
    }
    if (!node_.memory->HasRoomForAnswer(
            node_.sizes.Expected(Hash64(now.call.route)))) {
      scheduler_.Release(id, steady_clock::Now());
      Pump();
      call_result refused =
          Refusal(now.attempts == 0 ? reason::kMemoryShort : now.latest);
      refused.run_verdict = now.attempts_said;
      co_return refused;
    }
    attempt_result attempt = co_await Attempt(now, slot.instance, id);
    const verdict run_verdict = JudgeAttempt(attempt.end);
    now.attempts_said = CombineVerdicts(now.attempts_said, run_verdict);
    now.latest = ReasonOf(attempt.end);
    now.failed_at = slot.instance;
    if (run_verdict == verdict::kMayHaveRun &&
        attempt.end.cancel != cancel_answer::kFinished) {
      scheduler_.ReleaseAt(id, steady_clock::Now() + kDetachedRun);
    } else {
      scheduler_.Release(id, steady_clock::Now());
    }
    if (attempt.end.shed) {
      ++now.sheds;
      scheduler_.NoteShed(slot.instance, steady_clock::Now());
    }
    TickJudge();
    Pump();
    if (now.latest == reason::kAnswered) {
      call_result answered;
      answered.run_verdict = verdict::kRan;
      answered.answer = std::move(attempt.answer);
      answered.answer_memory = std::move(attempt.answer_memory);
      co_return answered;
    }
    if (!MayRetry(now)) {
      call_result failed = Refusal(now.latest);
      failed.run_verdict = now.attempts_said;
      co_return failed;
    }
    node_.measures.retries.Add();
  }
}

awaitable<shard_action> owner_shard::WaitForSlot(ticket id, const run& now) {
  call_info info;
  info.deadline = now.deadline;
  info.zone = now.call.zone;
  info.idempotent = now.call.idempotent;
  info.excluded_instance = now.failed_at;
  wait_cell<shard_action> cell(strand_);
  waiting_.insert_or_assign(id, cell);
  scheduler_.Admit(id, info, steady_clock::Now());
  Pump();
  co_return co_await cell.Wait();
}

awaitable<attempt_result> owner_shard::Attempt(run& now,
                                               const std::string& instance,
                                               ticket ticket_id) {
  ++now.attempts;
  node_.measures.attempts.Add();
  const auto known = links_.find(instance);
  if (known == links_.end()) {
    // The list dropped the instance since the slot was granted.
    attempt_result gone;
    gone.end.ended = attempt_end_cause::kRefused;
    co_return gone;
  }
  const auto link = known->second;
  const millis left = now.deadline - steady_clock::Now();
  // The owner is part of the name: a second owner counts from one again.
  const std::string id = now.call.id + "." + node_.settings.node + "." +
                         std::to_string(now.attempts);
  now.request.set(kAttemptHeader, id);
  now.request.set(kDeadlineHeader, std::to_string(left.count()));
  judge_.OnStart(instance, ticket_id, now.call);
  const auto begun = std::chrono::steady_clock::now();
  const uint64_t route = Hash64(now.call.route);
  attempt_result result = co_await link->Send(
      now.request, std::max(left, millis(1)), node_.sizes.Expected(route));
  const auto spent = std::chrono::steady_clock::now() - begun;
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(spent).count();
  if (result.end.ended == attempt_end_cause::kAnswered) {
    node_.measures.upstream_time.Record(static_cast<uint64_t>(micros));
    node_.sizes.Note(route, result.answer.body().size());
  }
  judge_.OnEnd(instance, ticket_id, now.call, result, micros);
  if (result.end.ended == attempt_end_cause::kTimeout) {
    co_await CancelLate(*link, id, result);
  }
  co_return result;
}

// An acknowledged cancellation before the start turns a timeout into not_run.
awaitable<void> owner_shard::CancelLate(upstream_link& link,
                                        const std::string& attempt,
                                        attempt_result& result) {
  if (result.end.written == write_progress::kNothing) {
    co_return;
  }
  result.end.cancel = co_await link.Cancel(attempt, kCancelTimeout);
}

awaitable<void> owner_shard::Probe(std::string instance) {
  const auto link = links_.find(instance);
  if (link == links_.end()) {
    co_return;
  }
  const auto kept = link->second;
  const bool answered = co_await kept->Probe(kProbeTimeout);
  judge_.OnProbe(instance, answered);
}

bool owner_shard::MayRetry(const run& now) {
  retry_context known;
  known.attempts = now.attempts_said;
  known.idempotent = now.call.idempotent;
  known.retries_made = now.attempts - 1;
  known.retries_allowed = now.call.retries;
  known.time_left = now.deadline - steady_clock::Now();
  known.shed_everywhere = now.sheds >= static_cast<int>(links_.size());
  return DecideRetry(known, budget_) == retry_decision::kRetry;
}

void owner_shard::Pump() {
  for (const shard_action& action : scheduler_.Tick(steady_clock::Now())) {
    const auto waiter = waiting_.find(action.id);
    if (waiter == waiting_.end()) {
      continue;
    }
    waiter->second.Set(action);
    waiting_.erase(waiter);
  }
}

awaitable<void> owner_shard::TickRegularly() {
  for (;;) {
    co_await Sleep(strand_, kTick);
    TickJudge();
    Pump();
    judge_.Publish(scheduler_);
  }
}

void owner_shard::TickJudge() {
  if (judge_.Tick()) {
    ApplyInstances();
  }
  doubts_.store(judge_.DoubtsItself());
}

void owner_shard::ApplyHosts(const host_list& hosts,
                             const config_snapshot& config) {
  judge_.SetHosts(hosts, config);
  const auto& routes = config.rule_set.routes;
  const bool keyed =
      std::any_of(routes.begin(), routes.end(), [&](const route_rule& route) {
        return route.service == service_ && !route.idempotent;
      });
  if (keyed && !claims_) {
    // Read ahead, so that no request waits for the whole stream.
    claims_ = node_.owners.Claims(service_);
  }
  for (const auto& [id, entry] : judge_.entries()) {
    auto& link = links_[id];
    if (!link || link->where().incarnation != entry.incarnation ||
        link->where().port != entry.port ||
        link->where().address != entry.address) {
      link = std::make_shared<upstream_link>(strand_, entry, node_.memory);
    }
  }
  std::erase_if(links_, [&](const auto& link) {
    return !judge_.entries().contains(link.first);
  });
  ApplyInstances();
}

void owner_shard::ApplyInstances() {
  const std::vector<instance_view> views = judge_.Views();
  scheduler_.SetInstances(views, steady_clock::Now());
  Pump();
}

}  // namespace peridotarch
