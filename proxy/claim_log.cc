#include "proxy/claim_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "core/error.h"
#include "proxy/spawn.h"

namespace peridotarch {

namespace asio = boost::asio;

namespace {

constexpr int kPageRecords = 512;
constexpr millis kReadWait(500);
constexpr millis kRetryPause(200);
constexpr millis kTick(10);

}  // namespace

claim_log::claim_log(asio::io_context& context, const endpoint& log,
                     const std::string& service, uint64_t writer)
    : strand_(asio::make_strand(context)),
      log_(strand_, log),
      stream_("claims." + service),
      claimer_(writer, key_window()) {}

void claim_log::Start() {
  const auto self = shared_from_this();
  SpawnLoop(strand_, "claim_reads", [self] { return self->ReadStream(); });
  SpawnLoop(strand_, "claim_ticks", [self] { return self->TickRegularly(); });
}

awaitable<claim_outcome> claim_log::Claim(request_key key, millis left) {
  auto here = ClaimHere(key, left);
  co_return co_await asio::co_spawn(strand_, std::move(here),
                                    asio::use_awaitable);
}

awaitable<bool> claim_log::Holds(uint64_t submission) {
  auto here = HoldsHere(submission);
  co_return co_await asio::co_spawn(strand_, std::move(here),
                                    asio::use_awaitable);
}

void claim_log::Complete(uint64_t submission, int status) {
  asio::post(strand_, [self = shared_from_this(), submission, status] {
    self->claimer_.Complete(submission, status);
    self->Pump();
  });
}

void claim_log::Release(uint64_t submission) {
  asio::post(strand_, [self = shared_from_this(), submission] {
    self->claimer_.Release(submission, steady_clock::Now());
    self->Pump();
  });
}

void claim_log::MarkUnknown(uint64_t submission) {
  asio::post(strand_, [self = shared_from_this(), submission] {
    self->claimer_.MarkUnknown(submission);
    self->Pump();
  });
}

awaitable<claim_outcome> claim_log::ClaimHere(request_key key, millis left) {
  const millis now = steady_clock::Now();
  const uint64_t submission =
      claimer_.Submit(key, now + left, now, wall_clock::Now());
  wait_cell<claim_outcome> cell(strand_);
  waiting_.insert_or_assign(submission, cell);
  Pump();
  co_return co_await cell.Wait();
}

awaitable<bool> claim_log::HoldsHere(uint64_t submission) {
  co_return claimer_.Holds(submission);
}

awaitable<void> claim_log::ReadStream() {
  for (;;) {
    bool failed = false;
    try {
      const log_page page = co_await log_.Read(stream_, claimer_.position(),
                                               kPageRecords, kReadWait);
      claimer_.Read(page, steady_clock::Now(), wall_clock::Now());
    } catch (const platform_error&) {
      failed = true;
    }
    Pump();
    if (failed) {
      co_await Sleep(strand_, kRetryPause);
    }
  }
}

awaitable<void> claim_log::TickRegularly() {
  for (;;) {
    co_await Sleep(strand_, kTick);
    Pump();
  }
}

awaitable<void> claim_log::Append(std::string record) {
  try {
    co_await log_.Append(stream_, record);
  } catch (const platform_error&) {
    // The claimer finds out by reading whether the record took effect.
  }
  claimer_.OnAppendEnded();
  Pump();
}

void claim_log::Pump() {
  claimer_actions step = claimer_.Tick(steady_clock::Now(), wall_clock::Now());
  for (const claim_outcome& outcome : step.outcomes) {
    const auto waiter = waiting_.find(outcome.submission);
    if (waiter != waiting_.end()) {
      waiter->second.Set(outcome);
      waiting_.erase(waiter);
    }
  }
  if (step.append) {
    SpawnLogged(strand_, "claim_append",
                [self = shared_from_this(), record = std::move(*step.append)] {
                  return self->Append(record);
                });
  }
}

}  // namespace peridotarch
