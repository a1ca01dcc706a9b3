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

constexpr millis kWork(200);
constexpr millis kObjective(600);
constexpr millis kGrayAnswer(5);
constexpr int kSlots = 3;

/// How the requests of one route ended.
struct tally {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;

  [[nodiscard]] double served() const {
    return static_cast<double>(in_time + late) / asked;
  }
};

/// A service of which some instances serve in order and the gray ones fail at
/// once, as one node sees it.
class short_service {
 public:
  short_service(int sound, int gray) : board_("a", 1) {
    board_.SetInstances(Entries(sound + gray, "ledger"), now_);
    for (int i = 0; i < sound; ++i) {
      free_at_[KeyOf("ledger-" + std::to_string(i))] =
          std::vector<millis>(kSlots, now_);
    }
  }

  void Pass(millis span) {
    now_ = now_ + span;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto next = events_.extract(events_.begin());
      next.mapped()();
    }
  }

  void Ask(const choice_request& call, tally& result) {
    ++result.asked;
    const instance_choice choice = board_.Choose(call, now_);
    if (choice.instance.id.empty()) {
      ++result.refused;
      return;
    }
    board_.Begin(choice.key);
    const auto found = free_at_.find(choice.key);
    if (found == free_at_.end()) {
      events_.emplace(now_ + kGrayAnswer, [this, choice] {
        board_.End(choice.key, attempt_outcome::kFailed, kGrayAnswer, now_);
      });
      return;
    }
    millis& slot =
        *std::min_element(found->second.begin(), found->second.end());
    slot = std::max(slot, now_) + kWork;
    const millis taken = slot - now_;
    events_.emplace(slot, [this, choice, taken] {
      const auto work = static_cast<double>(taken.count()) / choice.work_rounds;
      board_.End(choice.key, attempt_outcome::kOk,
                 millis(static_cast<int64_t>(work)), now_);
    });
    ++(taken <= kObjective ? result.in_time : result.late);
  }

 private:
  millis now_{100'000};
  instance_selector board_;
  std::map<instance_key, std::vector<millis>> free_at_;
  std::multimap<millis, std::function<void()>> events_;
};

choice_request Booking() {
  choice_request call = Call("ledger");
  call.time_left = millis(6'000);
  return call;
}

// Of a route that was added lately: little time, no urgency.
choice_request Lookup() {
  choice_request call = Call("ledger", true, 2);
  call.time_left = millis(900);
  return call;
}

TEST_CASE("more users than instances can serve: most are served in time") {
  short_service service(4, 0);
  tally bookings;
  // Four instances serve 60 a second; 90 come.
  for (int i = 0; i < 900; ++i) {
    service.Ask(Booking(), bookings);
    service.Pass(millis(11));
  }
  CHECK(bookings.refused > 0);
  CHECK(bookings.served() > 0.6);
  CHECK(bookings.in_time > bookings.late);
}

// Found on two hunted days of Tamega: requests with time for one round of work
// only were sent to gray instances, all others waited at the sound ones.
TEST_CASE(
    "most instances gray and more users than the others serve: a route with "
    "little time is not left to the gray ones") {
  short_service service(4, 8);
  tally bookings;
  tally lookups;
  for (int i = 0; i < 900; ++i) {
    service.Ask(Booking(), bookings);
    service.Pass(millis(11));
    if (i % 10 == 0) {
      service.Ask(Lookup(), lookups);
    }
  }
  CHECK(lookups.served() > bookings.served() / 4);
}

}  // namespace
}  // namespace peridotarch
