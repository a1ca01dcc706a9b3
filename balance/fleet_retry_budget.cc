#include "balance/fleet_retry_budget.h"

#include <algorithm>

#include "core/narrow.h"

namespace peridotarch {

namespace {

// Nodes report their usage after every failure. The rest of the budget is kept
// for retries that the reports miss: those that two nodes take at the same
// moment, and those that a process took before it ended.
constexpr double kUsableShare = 0.92;
// Share of the budget kept for more urgent requests, per priority step beyond
// priority 1.
constexpr double kPriorityShare = 0.25;
constexpr int kMaxPrioritySteps = 2;
constexpr millis kUsageLifetime(2'500);
// A peer that has been silent for this long gets no share of the slack.
constexpr millis kPeerLifetime(30'000);

void DropBefore(std::deque<millis>& times, millis start) {
  while (!times.empty() && times.front() < start) {
    times.pop_front();
  }
}

uint16_t CappedCount(const std::deque<millis>& times) {
  return static_cast<uint16_t>(std::min<size_t>(times.size(), UINT16_MAX));
}

}  // namespace

fleet_retry_budget::own_usage& fleet_retry_budget::Own(uint32_t service,
                                                       millis now) {
  own_usage& own = own_[service];
  DropBefore(own.requests, now - limits_.window);
  DropBefore(own.retries, now - limits_.window);
  return own;
}

void fleet_retry_budget::NoteRequest(std::string_view service, millis now) {
  Own(KeyOf(service), now).requests.push_back(now);
}

// A node that hears only some of its peers uses only its share and theirs of
// the slack, since the other nodes may be using their shares.
retry_budget_state fleet_retry_budget::StateFor(std::string_view service,
                                                int priority, millis now) {
  const uint32_t key = KeyOf(service);
  const own_usage& own = Own(key, now);
  size_t requests = own.requests.size();
  size_t retries = own.retries.size();
  retry_budget_state state{0, 0, 1, 1};
  for (const auto& [name, peer] : peers_) {
    state.nodes_known += now - peer.heard_at < kPeerLifetime ? 1 : 0;
    if (now - peer.heard_at >= kUsageLifetime) {
      continue;
    }
    ++state.nodes_heard;
    for (const retry_usage& usage : peer.usage) {
      if (usage.service == key) {
        requests += usage.requests;
        retries += usage.retries;
      }
    }
  }
  const double slack = limits_.slack * state.nodes_heard / state.nodes_known;
  const int steps = std::clamp(priority - 1, 0, kMaxPrioritySteps);
  const double share = kUsableShare - kPriorityShare * steps;
  state.used = Clamped<int>(retries);
  state.allowed = Clamped<int>(
      share * (limits_.ratio * static_cast<double>(requests) + slack));
  return state;
}

bool fleet_retry_budget::TakeRetry(std::string_view service, int priority,
                                   millis now) {
  const retry_budget_state state = StateFor(service, priority, now);
  if (state.used >= state.allowed) {
    return false;
  }
  Own(KeyOf(service), now).retries.push_back(now);
  return true;
}

void fleet_retry_budget::Apply(const std::string& peer,
                               std::span<const retry_usage> usage, millis now) {
  peer_usage& known = peers_[peer];
  known.heard_at = now;
  known.usage.assign(usage.begin(), usage.end());
}

std::vector<retry_usage> fleet_retry_budget::Usage(millis now) {
  std::vector<retry_usage> usage;
  for (const auto& [service, unused] : own_) {
    const own_usage& own = Own(service, now);
    if (!own.requests.empty() || !own.retries.empty()) {
      usage.push_back(
          {service, CappedCount(own.requests), CappedCount(own.retries)});
    }
  }
  return usage;
}

}  // namespace peridotarch
