#include "standin/upstream_instance.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "inner/headers.h"
#include "standin/caller_answer.h"

namespace peridotarch::standin {
namespace {

using nlohmann::json;

constexpr millis kProbeTime{25};
constexpr millis kHangHold{10'000};
constexpr millis kNoDeadline{3'600'000};
constexpr double kColdFactor = 4;

std::string Field(const request& message, std::string_view name) {
  const auto found = message.find(beast::string_view(name.data(), name.size()));
  return found == message.end() ? "" : std::string(found->value());
}

millis Deadline(const request& message) {
  const std::string text = Field(message, kDeadlineHeader);
  return text.empty() ? kNoDeadline : millis(std::stoll(text));
}

}  // namespace

upstream_instance::upstream_instance(asio::io_context& context,
                                     run_ledger& ledger,
                                     instance_settings settings)
    : context_(context),
      ledger_(ledger),
      settings_(std::move(settings)),
      server_(context, *this),
      random_(settings_.seed) {
  server_.SetConnectionLimit(settings_.connection_limit);
}

void upstream_instance::Open() {
  server_.Open(settings_.address, settings_.port);
  started_ = wall_clock::Now();
}

asio::awaitable<answer> upstream_instance::Handle(const request& message) {
  const std::string path(message.target());
  const std::string cancel = "/_cancel/";
  answer reply;
  if (path == "/_health") {
    reply = co_await Probe();
  } else if (path == "/_load") {
    reply = Load();
  } else if (path.starts_with(cancel)) {
    reply = Cancel(path.substr(cancel.size()));
  } else {
    reply = co_await Work(message);
  }
  if (drained_ > millis(0)) {
    reply.headers.emplace_back(kDrainingHeader, "1");
    reply.close = !server_.open();
  }
  if (faults_.cut == "out") {
    reply.end = ending::kHang;
  }
  co_return reply;
}

asio::awaitable<answer> upstream_instance::Probe() {
  ++stats_.probes;
  co_await Sleep(kProbeTime);
  bool healthy = drained_ == millis(0);
  if (FaultsOn() && !faults_.health.empty()) {
    healthy = faults_.health == "ok";
  }
  co_return answer{healthy ? 200u : 503u, json{{"healthy", healthy}}.dump()};
}

answer upstream_instance::Load() const {
  int busy = busy_;
  if (FaultsOn() && !faults_.load.empty()) {
    busy = faults_.load == "full" ? settings_.slots : 0;
  }
  const json body = {{"slots", settings_.slots},
                     {"busy", busy},
                     {"draining", drained_ > millis(0)}};
  return answer{200, body.dump()};
}

answer upstream_instance::Cancel(const std::string& attempt) {
  const auto found = attempts_.find(attempt);
  std::string state = "unknown";
  if (found != attempts_.end()) {
    if (found->second == attempt_state::kQueued) {
      found->second = attempt_state::kCancelled;
      ++stats_.cancelled;
    }
    switch (found->second) {
      case attempt_state::kQueued:
      case attempt_state::kCancelled:
        state = "not_started";
        break;
      case attempt_state::kRunning:
        state = "running";
        break;
      case attempt_state::kFinished:
        state = "finished";
        break;
    }
  }
  return answer{200, json{{"state", state}}.dump()};
}

answer upstream_instance::NotStarted(const std::string& reason) const {
  answer reply{503, json{{"not_started", reason}}.dump()};
  reply.headers.emplace_back(kNotStartedHeader, "1");
  return reply;
}

// A waiter counts as not started until it has its slot; cancellation and the
// deadline both end it before.
asio::awaitable<bool> upstream_instance::TakeSlot(std::string attempt,
                                                  millis deadline) {
  if (busy_ < settings_.slots) {
    ++busy_;
    co_return true;
  }
  const auto self = std::make_shared<waiter>(context_);
  waiting_.push_back(self);
  attempts_[attempt] = attempt_state::kQueued;
  self->timer.expires_after(std::chrono::milliseconds(deadline.count()));
  boost::system::error_code ignored;
  co_await self->timer.async_wait(Into(ignored));
  waiting_.remove(self);
  if (!self->granted) {
    co_return false;
  }
  if (attempts_[attempt] == attempt_state::kCancelled) {
    ReleaseSlot();
    co_return false;
  }
  co_return true;
}

// The slot passes to the oldest waiter without becoming free in between.
void upstream_instance::ReleaseSlot() {
  for (const auto& next : waiting_) {
    if (!next->granted) {
      next->granted = true;
      next->timer.cancel();
      return;
    }
  }
  --busy_;
}

asio::awaitable<answer> upstream_instance::Work(const request& message) {
  const std::string attempt = Field(message, kAttemptHeader);
  const millis deadline = Deadline(message);
  const millis arrived = steady_clock::Now();
  const uint64_t incarnation = incarnation_;
  if (deadline <= millis(0)) {
    ++stats_.late;
    co_return NotStarted("deadline");
  }
  if (busy_ >= settings_.slots &&
      static_cast<int>(waiting_.size()) >= settings_.queue) {
    ++stats_.shed;
    co_return NotStarted("shed");
  }
  if (!co_await TakeSlot(attempt, deadline)) {
    ++stats_.late;
    co_return NotStarted("deadline");
  }
  if (incarnation != incarnation_) {
    co_return answer{.end = ending::kClosed};
  }
  if (steady_clock::Now() - arrived >= deadline) {
    ++stats_.late;
    ReleaseSlot();
    co_return NotStarted("deadline");
  }
  attempts_[attempt] = attempt_state::kRunning;
  ++stats_.runs;
  run_record record;
  record.instance = settings_.id;
  record.incarnation = incarnation_;
  record.attempt = attempt;
  record.key = Field(message, kKeyHeader);
  record.tag = Field(message, kTagHeader);
  record.method = std::string(message.method_string());
  record.path = std::string(message.target());
  record.started = wall_clock::Now();
  const size_t run = ledger_.Start(std::move(record));
  co_await Sleep(ServiceTime());
  if (incarnation != incarnation_) {
    co_return answer{.end = ending::kClosed};
  }
  std::string outcome;
  answer reply = Finish(message, run, &outcome);
  if (reply.end == ending::kHang) {
    co_await Sleep(kHangHold);
  }
  if (incarnation != incarnation_) {
    co_return answer{.end = ending::kClosed};
  }
  attempts_[attempt] = attempt_state::kFinished;
  ledger_.Finish(run, wall_clock::Now(), outcome);
  ReleaseSlot();
  co_return reply;
}

answer upstream_instance::Finish(const request& message, size_t run,
                                 std::string* outcome) {
  const std::string path(message.target());
  const bool faulty = FaultsOn();
  caller_answer own;
  own.tag = Field(message, kTagHeader);
  own.path = path;
  own.instance = settings_.id;
  own.body_bytes = message.body().size();
  own.body_hash = BodyHash(message.body());
  const std::string padding = Field(message, kAnswerBytesHeader);
  own.padding = padding.empty() ? 0 : std::stoull(padding);
  const bool path_fails =
      !faults_.fail_path.empty() && path.starts_with(faults_.fail_path);
  own.failed = faulty && (path_fails || random_.Unit() < faults_.fail);
  answer reply{own.failed ? 500u : 200u, ToText(own)};
  reply.chunked = ++answers_ % 2 == 0;
  *outcome = own.failed ? "failed" : "answered";
  if (!faulty) {
    return reply;
  }
  if (random_.Unit() < faults_.truncate) {
    reply.end = ending::kTruncated;
    *outcome = "truncated";
  } else if (random_.Unit() < faults_.reset) {
    reply.end = ending::kReset;
    *outcome = "reset";
  } else if (random_.Unit() < faults_.hang) {
    reply.end = ending::kHang;
    ledger_.Finish(run, millis(0), "hanging");
    *outcome = "hung";
  }
  return reply;
}

bool upstream_instance::FaultsOn() const {
  if (faults_.flap == millis(0)) {
    return true;
  }
  return (wall_clock::Now().count() / faults_.flap.count()) % 2 == 0;
}

bool upstream_instance::Cold() const {
  return wall_clock::Now() - started_ < settings_.cold;
}

// Exponential round the mean, bounded, so that a slot is never held for long
// without a fault.
millis upstream_instance::ServiceTime() {
  const double spread = std::min(4.0, -std::log(1 - random_.Unit()));
  double span = settings_.service_ms * (0.5 + 0.5 * spread);
  span *= FaultsOn() ? faults_.slow : 1;
  span *= Cold() ? kColdFactor : 1;
  return millis(std::llround(span));
}

asio::awaitable<void> upstream_instance::Drain(millis linger) {
  const uint64_t incarnation = incarnation_;
  drained_ = wall_clock::Now();
  co_await Sleep(linger);
  while (incarnation == incarnation_ && busy_ > 0) {
    co_await Sleep(millis(20));
  }
  if (incarnation == incarnation_) {
    server_.Close();
    server_.CloseIdle();
  }
}

asio::awaitable<void> upstream_instance::Crash(millis down) {
  const uint64_t incarnation = ++incarnation_;
  server_.Close();
  server_.ResetConnections();
  attempts_.clear();
  for (const auto& next : waiting_) {
    next->timer.cancel();
  }
  waiting_.clear();
  busy_ = 0;
  co_await Sleep(down);
  if (incarnation != incarnation_) {
    co_return;
  }
  drained_ = millis(0);
  Open();
}

void upstream_instance::SetFaults(const json& change) {
  Update(faults_, change);
}

json upstream_instance::Stats() const {
  return {{"service", settings_.service},
          {"id", settings_.id},
          {"incarnation", incarnation_},
          {"busy", busy_},
          {"connections", server_.connections()},
          {"over_limit", server_.over_limit()},
          {"drained", drained_.count()},
          {"started", started_.count()},
          {"shed", stats_.shed},
          {"late", stats_.late},
          {"cancelled", stats_.cancelled},
          {"probes", stats_.probes},
          {"runs", stats_.runs}};
}

json upstream_instance::HostEntry() const {
  return {{"service", settings_.service},
          {"id", settings_.id},
          {"address", settings_.address},
          {"port", settings_.port},
          {"zone", settings_.zone},
          {"incarnation", incarnation_},
          {"state", drained_ > millis(0) ? "leaving" : "live"}};
}

}  // namespace peridotarch::standin
