#include "proxy/peer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "core/error.h"
#include "core/invariant.h"
#include "inner/headers.h"
#include "proxy/message.h"

namespace peridotarch {

namespace asio = boost::asio;

namespace {

constexpr millis kOpenTimeout(300);
constexpr millis kAnswerMargin(500);  // beyond the call's own deadline
constexpr size_t kMaxIdle = 256;

}  // namespace

struct peer::link {
  link(asio::io_context& context, const endpoint& inner,
       const std::string& fleet_key)
      : on(asio::make_strand(context)), client(on, inner, fleet_key) {}

  strand on;
  inner_client client;
};

namespace {

// Runs on the link's own strand, since the stream's timers do.
template <typename Link>
awaitable<call_result> Exchange(std::shared_ptr<Link> used, forwarded_call call,
                                block_request request,
                                std::shared_ptr<memory_reservation> memory) {
  try {
    co_await used->client.Open(kOpenTimeout);
  } catch (const platform_error&) {
    co_return Refusal(reason::kOwnerUnreachable);
  }
  try {
    const std::string text = Encode(call);
    const millis timeout = call.left + kAnswerMargin;
    http_response answer = co_await used->client.Forward(std::move(request),
                                                         text, timeout, memory);
    if (answer.count(kInnerAnswerHeader) != 0) {
      const bool own = answer[kInnerAnswerHeader] == call.id;
      Check(own, invariant::kWholeAnswer);
      if (!own) {
        co_return Refusal(reason::kOwnerLost);
      }
      answer.erase(kInnerAnswerHeader);
    }
    if (!memory->Complete()) {
      co_return Refusal(reason::kOwnerLost);
    }
    call_result result = FromReply(std::move(answer));
    result.answer_memory = std::move(memory);
    co_return result;
  } catch (const platform_error&) {
    co_return Refusal(reason::kOwnerLost);
  }
}

template <typename Link>
awaitable<std::string> CallOn(std::shared_ptr<Link> used, std::string json,
                              millis timeout) {
  co_return co_await used->client.CallRpc(json, timeout);
}

}  // namespace

peer::peer(asio::io_context& context, std::string id, endpoint inner,
           std::string fleet_key, std::shared_ptr<memory_budget> memory)
    : context_(context),
      id_(std::move(id)),
      inner_(std::move(inner)),
      fleet_key_(std::move(fleet_key)),
      memory_(std::move(memory)) {}

peer::~peer() = default;

awaitable<call_result> peer::Forward(forwarded_call call,
                                     block_request request) {
  auto used = Take();
  auto exchange =
      Exchange(used, std::move(call), std::move(request), ReserveAnswer(used));
  call_result result = co_await asio::co_spawn(used->on, std::move(exchange),
                                               asio::use_awaitable);
  // The function that ends a dropped answer may still be on its way to the
  // link.
  if (result.why != reason::kOwnerLost) {
    PutBack(std::move(used));
  }
  co_return result;
}

awaitable<std::string> peer::CallRpc(std::string json, millis timeout) {
  auto used = Take();
  auto call = CallOn(used, std::move(json), timeout);
  std::string answer =
      co_await asio::co_spawn(used->on, std::move(call), asio::use_awaitable);
  PutBack(std::move(used));
  co_return answer;
}

// Ending the call ends the read of an answer that is dropped.
std::shared_ptr<memory_reservation> peer::ReserveAnswer(
    const std::shared_ptr<link>& used) const {
  auto end = [weak = std::weak_ptr(used)] {
    if (const auto alive = weak.lock()) {
      asio::post(alive->on, [alive] { alive->client.Cancel(); });
    }
  };
  return std::make_shared<memory_reservation>(
      memory_, memory_kind::kAnswer, std::move(end), boot_clock::Now());
}

std::shared_ptr<peer::link> peer::Take() {
  {
    const std::lock_guard lock(mutex_);
    if (!idle_.empty()) {
      auto taken = std::move(idle_.back());
      idle_.pop_back();
      return taken;
    }
  }
  return std::make_shared<link>(context_, inner_, fleet_key_);
}

// A link whose exchange failed has closed its connection and opens another.
void peer::PutBack(std::shared_ptr<link> used) {
  const std::lock_guard lock(mutex_);
  if (idle_.size() < kMaxIdle) {
    idle_.push_back(std::move(used));
  }
}

}  // namespace peridotarch
