#include "standin/load_generator.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/verdict.h"
#include "inner/headers.h"
#include "platform/final_status.h"
#include "standin/caller_answer.h"

namespace peridotarch::standin {
namespace {

using nlohmann::json;

constexpr millis kTargetsInterval{200};
constexpr int kMaxRepeats = 2;
constexpr int64_t kLongestRepeatDelayMs = 400;

std::string MakeBody(const std::string& family, size_t bytes) {
  const std::string unit = BodyHash("body " + family) + ".";
  std::string text;
  while (text.size() < bytes) {
    text += unit;
  }
  text.resize(bytes);
  return text;
}

void SetField(request& message, std::string_view name,
              const std::string& value) {
  if (!value.empty()) {
    message.set(beast::string_view(name.data(), name.size()), value);
  }
}

}  // namespace

load_generator::load_generator(asio::io_context& context, const load_mix& mix,
                               load_settings settings)
    : context_(context),
      mix_(mix),
      settings_(std::move(settings)),
      client_(context, settings_.timeout),
      random_(settings_.seed) {
  if (!settings_.log_file.empty()) {
    log_.open(settings_.log_file);
  }
}

asio::awaitable<void> load_generator::WatchTargets() {
  while (!finished_) {
    std::ifstream stream(settings_.targets_file);
    const json list = json::parse(stream, nullptr, false);
    if (list.is_array() && !list.empty()) {
      client_.SetTargets(list.get<std::vector<std::string>>());
    }
    co_await Sleep(kTargetsInterval);
  }
}

// Intended times are drawn ahead of any answer: a slow fleet meets the same
// load and its delay is charged to it.
asio::awaitable<void> load_generator::Run() {
  asio::co_spawn(context_, WatchTargets(), asio::detached);
  asio::steady_timer timer(context_);
  const instant begin = std::chrono::steady_clock::now();
  const instant end =
      begin +
      std::chrono::microseconds(static_cast<int64_t>(settings_.seconds * 1e6));
  instant intended = begin;
  while (!stopping_ && issued_ < settings_.count) {
    const double gap = -std::log(1 - random_.Unit()) / settings_.rate;
    intended += std::chrono::microseconds(static_cast<int64_t>(gap * 1e6));
    if (intended >= end) {
      break;
    }
    timer.expires_at(intended);
    boost::system::error_code ignored;
    co_await timer.async_wait(Into(ignored));
    ++issued_;
    job first = NextJob(intended);
    PlanRepeats(first);
    Launch(std::move(first));
  }
  while (under_way_ + planned_ + queued_.size() > 0) {
    co_await Sleep(millis(10));
  }
  finished_ = true;
}

load_generator::job load_generator::NextJob(instant intended) {
  const load_route& route = mix_.Choose(random_);
  job next;
  load_record& record = next.record;
  record.tag = settings_.name + "-" + std::to_string(issued_);
  record.family = record.tag;
  record.method = route.method;
  record.path = route.path;
  const size_t number = record.path.find("{n}");
  if (number != std::string::npos) {
    record.path.replace(number, 3, std::to_string(random_.Below(1000)));
  }
  record.team = route.team;
  record.idempotent = route.idempotent;
  record.intended = wall_clock::Now();
  if (route.keyed) {
    record.key = std::to_string(record.intended.count()) + "-" + record.tag;
  }
  next.body_bytes = route.body_bytes;
  next.answer_bytes = route.answer_bytes;
  next.target = random_.Below(1 << 20);
  next.intended = intended;
  return next;
}

// A caller that gets no answer in time sends the request again, to another
// proxy, under the same key.
void load_generator::PlanRepeats(const job& first) {
  if (first.record.key.empty() || random_.Unit() >= settings_.repeat) {
    return;
  }
  const auto repeats = 1 + random_.Below(kMaxRepeats);
  for (uint64_t number = 1; number <= repeats; ++number) {
    job repeat = first;
    repeat.record.tag = first.record.family + ".r" + std::to_string(number);
    repeat.target = first.target + number;
    const bool at_once = random_.Below(3) == 0;
    repeat.intended += std::chrono::milliseconds(
        at_once ? 0 : random_.Below(kLongestRepeatDelayMs));
    ++planned_;
    asio::co_spawn(context_, LaunchAt(std::move(repeat)), asio::detached);
  }
}

asio::awaitable<void> load_generator::LaunchAt(job repeat) {
  asio::steady_timer timer(context_);
  timer.expires_at(repeat.intended);
  boost::system::error_code ignored;
  co_await timer.async_wait(Into(ignored));
  --planned_;
  repeat.record.intended = wall_clock::Now();
  Launch(std::move(repeat));
}

void load_generator::Launch(job next) {
  if (under_way_ >= settings_.connections) {
    queued_.push_back(std::move(next));
    return;
  }
  ++under_way_;
  asio::co_spawn(context_, Perform(std::move(next)), asio::detached);
}

asio::awaitable<void> load_generator::Perform(job next) {
  load_record& record = next.record;
  request message(http::string_to_verb(record.method), record.path, 11);
  message.body() = MakeBody(record.family, next.body_bytes);
  SetField(message, kTagHeader, record.tag);
  SetField(message, kAnswerBytesHeader, std::to_string(next.answer_bytes));
  SetField(message, kKeyHeader, record.key);
  SetField(message, kTeamHeader, record.team);
  const std::string body = message.body();
  const response reply =
      co_await client_.Send(std::move(message), next.target, record);
  record.done = wall_clock::Now();
  record.latency_us = std::chrono::duration_cast<std::chrono::microseconds>(
                          std::chrono::steady_clock::now() - next.intended)
                          .count();
  if (record.result == load_result::kWhole) {
    Judge(next, reply, body);
  }
  Complete(next);
}

void load_generator::Judge(job& done, const response& reply,
                           const std::string& body) {
  load_record& record = done.record;
  const auto owns = [&](const std::string& tag) {
    return IsOwnAnswer(reply.body(), tag, record.path, body, done.answer_bytes);
  };
  if (!IsFinalStatus(record.status)) {
    record.result = load_result::kWrong;
    return;
  }
  if (owns(record.tag)) {
    return;
  }
  // Under one key an earlier send's answer is this request's answer too.
  if (!record.key.empty()) {
    for (const char* send : {"", ".r1", ".r2", ".s1"}) {
      if (owns(record.family + send)) {
        record.result = load_result::kReplayed;
        return;
      }
    }
  }
  const bool unknown = record.verdict == ToName(verdict::kNotRun) ||
                       record.verdict == ToName(verdict::kMayHaveRun);
  const bool by_proxy =
      record.status >= 400 && (unknown || !record.reason.empty());
  record.result = by_proxy ? load_result::kRefused : load_result::kWrong;
}

// An idle connection may be closed just as a request goes out on it; a caller
// sends such a request once more if that is safe.
void load_generator::Resend(const job& closed) {
  job again = closed;
  const load_record old = closed.record;
  again.record = load_record{};
  again.record.tag = old.family + ".s1";
  again.record.family = old.family;
  again.record.key = old.key;
  again.record.method = old.method;
  again.record.path = old.path;
  again.record.team = old.team;
  again.record.idempotent = old.idempotent;
  again.record.intended = old.intended;
  again.resend = true;
  ++again.target;
  Launch(std::move(again));
}

void load_generator::Complete(const job& done) {
  --under_way_;
  const load_record& record = done.record;
  summary_.Add(record);
  if (log_.is_open()) {
    log_ << ToJson(record).dump() << '\n';
  }
  const bool safe = record.idempotent || !record.key.empty();
  const bool first = record.tag == record.family;
  if (record.result == load_result::kClosed && record.reused && first && safe) {
    Resend(done);
  }
  if (!queued_.empty() && under_way_ < settings_.connections) {
    job next = std::move(queued_.front());
    queued_.pop_front();
    Launch(std::move(next));
  }
}

}  // namespace peridotarch::standin
