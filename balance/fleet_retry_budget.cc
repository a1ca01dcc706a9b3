#include "balance/fleet_retry_budget.h"

#include <algorithm>

namespace peridotarch {

namespace {

// Usage is told with every failure; what two nodes take at the same moment and
// what a process took before it ended is not known.
constexpr double kUsableShare = 0.92;
// Kept for more urgent requests, for each step of priority from the second.
constexpr double kPriorityShare = 0.25;
constexpr int kMaxSteps = 2;
constexpr millis kFresh(2'500);
// A peer that has been silent for this long no longer has a claim.
constexpr millis kForgotten(30'000);

void DropBefore(std::deque<millis>& times, millis oldest) {
  while (!times.empty() && times.front() < oldest) {
    times.pop_front();
  }
}

uint16_t Count(const std::deque<millis>& times) {
  return static_cast<uint16_t>(std::min<size_t>(times.size(), UINT16_MAX));
}

}  // namespace

fleet_retry_budget::own_usage& fleet_retry_budget::Own(uint32_t service,
                                                       millis now) {
  own_usage& own = own_[service];
  DropBefore(own.requests, now - bound_.window);
  DropBefore(own.retries, now - bound_.window);
  return own;
}

void fleet_retry_budget::NoteRequest(std::string_view service, millis now) {
  Own(KeyOf(service), now).requests.push_back(now);
}

// A node that hears only some of its peers uses only their part of the slack:
// the others may be using theirs.
retry_budget_state fleet_retry_budget::StateFor(std::string_view service,
                                                int priority, millis now) {
  const uint32_t key = KeyOf(service);
  const own_usage& own = Own(key, now);
  size_t requests = own.requests.size();
  size_t retries = own.retries.size();
  retry_budget_state standing{0, 0, 1, 1};
  for (const auto& [name, peer] : peers_) {
    standing.known += now - peer.heard < kForgotten ? 1 : 0;
    if (now - peer.heard >= kFresh) {
      continue;
    }
    ++standing.heard;
    for (const retry_usage& usage : peer.usage) {
      if (usage.service == key) {
        requests += usage.requests;
        retries += usage.retries;
      }
    }
  }
  const double slack = bound_.slack * standing.heard / standing.known;
  const int steps = std::clamp(priority - 1, 0, kMaxSteps);
  const double share = kUsableShare - kPriorityShare * steps;
  standing.used = static_cast<int>(retries);
  standing.allowed = static_cast<int>(
      share * (bound_.ratio * static_cast<double>(requests) + slack));
  return standing;
}

bool fleet_retry_budget::TakeRetry(std::string_view service, int priority,
                                   millis now) {
  const retry_budget_state standing = StateFor(service, priority, now);
  if (standing.used >= standing.allowed) {
    return false;
  }
  Own(KeyOf(service), now).retries.push_back(now);
  return true;
}

void fleet_retry_budget::Apply(const std::string& peer,
                               std::span<const retry_usage> usage, millis now) {
  peer_usage& known = peers_[peer];
  known.heard = now;
  known.usage.assign(usage.begin(), usage.end());
}

std::vector<retry_usage> fleet_retry_budget::Usage(millis now) {
  std::vector<retry_usage> usage;
  for (const auto& [service, unused] : own_) {
    const own_usage& own = Own(service, now);
    if (!own.requests.empty() || !own.retries.empty()) {
      usage.push_back({service, Count(own.requests), Count(own.retries)});
    }
  }
  return usage;
}

}  // namespace peridotarch
