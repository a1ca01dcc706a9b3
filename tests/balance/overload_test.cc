#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "selector_fixture.h"

namespace peridotarch {
namespace {

constexpr millis kWorkTime(200);
constexpr millis kObjective(600);
constexpr millis kGrayLatency(5);
constexpr int kSlots = 3;

/// How the requests of one route ended.
struct tally {
  int sent = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;

  [[nodiscard]] double served() const {
    return static_cast<double>(in_time + late) / sent;
  }
};

/// Simulates a service as one node sees it: healthy instances serve requests in
/// order, gray ones fail immediately.
class overloaded_service {
 public:
  overloaded_service(int healthy, int gray) : selector_("a", 1) {
    selector_.SetInstances(MakeEntries(healthy + gray, "ledger"), now_);
    for (int i = 0; i < healthy; ++i) {
      free_at_[KeyOf("ledger-" + std::to_string(i))] =
          std::vector<millis>(kSlots, now_);
    }
  }

  void Advance(millis span) {
    now_ = now_ + span;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto next = events_.extract(events_.begin());
      next.mapped()();
    }
  }

  void Send(const choice_request& request, tally& result) {
    ++result.sent;
    const instance_choice choice = selector_.Choose(request, now_);
    if (choice.instance.id.empty()) {
      ++result.refused;
      return;
    }
    selector_.Begin(choice.key);
    const auto found = free_at_.find(choice.key);
    if (found == free_at_.end()) {
      events_.emplace(now_ + kGrayLatency, [this, choice] {
        selector_.End(choice.key, attempt_outcome::kFailed, kGrayLatency, now_);
      });
      return;
    }
    millis& slot =
        *std::min_element(found->second.begin(), found->second.end());
    slot = std::max(slot, now_) + kWorkTime;
    const millis latency = slot - now_;
    events_.emplace(slot, [this, choice, latency] {
      const auto work =
          static_cast<double>(latency.count()) / choice.work_rounds;
      selector_.End(choice.key, attempt_outcome::kOk,
                    millis(static_cast<int64_t>(work)), now_);
    });
    ++(latency <= kObjective ? result.in_time : result.late);
  }

 private:
  millis now_{100'000};
  instance_selector selector_;
  std::map<instance_key, std::vector<millis>> free_at_;
  std::multimap<millis, std::function<void()>> events_;
};

choice_request MakeBooking() {
  choice_request request = MakeRequest("ledger");
  request.time_left = millis(6'000);
  return request;
}

// A request of a new route with a short timeout and a low priority.
choice_request MakeLookup() {
  choice_request request = MakeRequest("ledger", true, 2);
  request.time_left = millis(900);
  return request;
}

TEST_CASE("more users than the instances can serve: most are served in time") {
  overloaded_service service(4, 0);
  tally bookings;
  // Four instances serve 60 requests a second, and 90 arrive.
  for (int i = 0; i < 900; ++i) {
    service.Send(MakeBooking(), bookings);
    service.Advance(millis(11));
  }
  CHECK(bookings.refused > 0);
  CHECK(bookings.served() > 0.6);
  CHECK(bookings.in_time > bookings.late);
}

// Guards against this fault: requests with time for only one round of work were
// sent to gray instances, while all other requests waited at the healthy ones.
TEST_CASE(
    "most instances gray and more users than the others can serve: requests "
    "with a short timeout do not all go to gray ones") {
  overloaded_service service(4, 8);
  tally bookings;
  tally lookups;
  for (int i = 0; i < 900; ++i) {
    service.Send(MakeBooking(), bookings);
    service.Advance(millis(11));
    if (i % 10 == 0) {
      service.Send(MakeLookup(), lookups);
    }
  }
  CHECK(lookups.served() > bookings.served() / 4);
}

}  // namespace
}  // namespace peridotarch
