#include "proxy/entry.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "config/snapshot.h"
#include "core/hash.h"
#include "inner/forwarded_call.h"
#include "inner/headers.h"
#include "proxy/message.h"
#include "proxy/node.h"
#include "proxy/owner_shard.h"
#include "proxy/peer.h"
#include "request/request_key.h"
#include "request/request_verdict.h"
#include "request/shard_map.h"

namespace peridotarch {

namespace {

// Owners that one request may be offered to.
constexpr int kMaxOffers = 3;

// Reasons on which another shard of the service may still take a request.
bool IsFull(reason why) {
  return why == reason::kQueueFull || why == reason::kOverloaded ||
         why == reason::kNoCapacity;
}

// The less loaded of two shards picked by the request's id.
int PickShard(const std::vector<shard_route>& shards, uint64_t random) {
  const size_t count = shards.size();
  const size_t first = random % count;
  const size_t second = (first + 1 + (random >> 32) % (count - 1)) % count;
  const int first_load = shards[first].load->load(std::memory_order_relaxed);
  const int second_load = shards[second].load->load(std::memory_order_relaxed);
  return static_cast<int>(second_load < first_load ? second : first);
}

int ChooseShard(const std::vector<shard_route>& shards,
                const forwarded_call& call) {
  const int count = static_cast<int>(shards.size());
  if (count == 1) {
    return 0;
  }
  if (!call.key.empty()) {
    return ShardOfKey(call.key, count);
  }
  return PickShard(shards, Hash64(call.id));
}

// Refuses before any owner has looked at the key: another submission of it may
// have run.
call_result RefuseHere(reason why, bool keyed) {
  call_result refused = Refusal(why);
  const auto known = keyed ? key_ownership::kUnknown : key_ownership::kNoKey;
  refused.run_verdict = RequestVerdict(refused.run_verdict, known);
  return refused;
}

// Returns after which time a team that is above its limit may try again.
std::optional<millis> ChargeTeam(node& here, const block_request& request) {
  const auto teams = here.teams.Load();
  const auto bucket = teams->find(std::string(request[kTeamHeader]));
  const millis now = steady_clock::Now();
  if (bucket == teams->end() || bucket->second->Charge(now)) {
    return std::nullopt;
  }
  return bucket->second->RetryAfter(now);
}

awaitable<call_result> Offer(node& here, const std::shared_ptr<peer>& owner,
                             forwarded_call call, block_request request) {
  if (owner) {
    co_return co_await owner->Forward(std::move(call), std::move(request));
  }
  const auto shard = here.owners.Get(call.service, call.shard);
  co_return co_await shard->Run(std::move(call), std::move(request));
}

// Offers the request to owners while it is certain that none has run it, or
// while running it again does no harm.
awaitable<call_result> OfferToOwners(node& here, const route_rule& route,
                                     forwarded_call call,
                                     block_request request) {
  const millis deadline = steady_clock::Now() + route.timeout;
  verdict run_verdict = verdict::kNotRun;
  const bool keyed = !call.key.empty();
  call_result result = Refusal(reason::kOwnerUnreachable);
  bool use_second = false;
  for (int offer = 0; offer < kMaxOffers; ++offer) {
    const auto fleet = here.fleet.Load();
    const auto shards = fleet->services.find(call.service);
    if (shards == fleet->services.end() || shards->second.empty()) {
      co_return RefuseHere(reason::kNoCapacity, keyed);
    }
    const int count = static_cast<int>(shards->second.size());
    call.shard = std::min(call.shard, count - 1);
    const shard_route& to = shards->second[static_cast<size_t>(call.shard)];
    if (!to.has_owner || (use_second && !to.has_second)) {
      break;
    }
    call.left = deadline - steady_clock::Now();
    if (call.left <= millis(0)) {
      result = Refusal(reason::kDeadlineExpired);
      break;
    }
    result =
        co_await Offer(here, use_second ? to.second : to.owner, call, request);
    run_verdict = CombineVerdicts(run_verdict, result.run_verdict);
    if (result.why == reason::kOwnerUnreachable ||
        (result.why == reason::kOwnerLost && call.idempotent)) {
      use_second = !use_second;
      continue;
    }
    if (result.run_verdict == verdict::kNotRun && IsFull(result.why) &&
        count > 1 && call.key.empty()) {
      call.shard = (call.shard + 1) % count;
      use_second = false;
      continue;
    }
    break;
  }
  if (result.why != reason::kAnswered) {
    result.run_verdict = run_verdict;
  }
  if (result.why == reason::kOwnerUnreachable ||
      result.why == reason::kDeadlineExpired) {
    const auto known = keyed ? key_ownership::kUnknown : key_ownership::kNoKey;
    result.run_verdict = RequestVerdict(result.run_verdict, known);
  }
  co_return result;
}

}  // namespace

awaitable<call_result> RunRequest(node& here, block_request request) {
  // One snapshot serves the whole request, whatever is published meanwhile.
  const auto config = here.config.Load();
  const bool keyed = !request[kKeyHeader].empty();
  if (!config) {
    co_return RefuseHere(reason::kNotConfigured, keyed);
  }
  if (here.isolated.load(std::memory_order_relaxed)) {
    co_return RefuseHere(reason::kIsolated, keyed);
  }
  const route_rule* route =
      config->routes.Match(request.method_string(), request.target());
  if (route == nullptr) {
    co_return RefuseHere(reason::kNoRoute, keyed);
  }
  if (const auto wait = ChargeTeam(here, request)) {
    co_return Refusal(reason::kTeamLimit, *wait);
  }
  forwarded_call call;
  call.service = route->service;
  call.idempotent = route->idempotent;
  call.retries = route->retries;
  call.zone = here.settings.zone;
  call.id = NextRequestId(here);
  call.route = route->method + " " + route->pattern;
  if (!route->idempotent) {
    call.key = std::string(request[kKeyHeader]);
    if (!call.key.empty() && !ParseRequestKey(call.service, call.key)) {
      co_return Refusal(reason::kKeyMalformed);
    }
  }
  const auto fleet = here.fleet.Load();
  const auto shards = fleet->services.find(call.service);
  if (shards != fleet->services.end() && !shards->second.empty()) {
    call.shard = ChooseShard(shards->second, call);
  }
  if (!here.memory->HasRoomForAnswer(here.sizes.Expected(Hash64(call.route)))) {
    co_return RefuseHere(reason::kMemoryShort, keyed);
  }
  StripForForwarding(request);
  co_return co_await OfferToOwners(here, *route, std::move(call),
                                   std::move(request));
}

}  // namespace peridotarch
