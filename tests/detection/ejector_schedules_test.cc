#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "detection/ejector.h"

namespace peridotarch {
namespace {

// Several processes that each believe to own a shard, one log and random
// faults: outages, lost answers, records that arrive late, crashes, pauses,
// clocks that differ, departures and arrivals.
class fleet {
 public:
  explicit fleet(uint64_t seed) : random_(seed) {
    slots_ = 1 + static_cast<int>(random_.Below(4));
    shards_ = 1 + static_cast<int>(random_.Below(3));
    const auto instances = 3 + random_.Below(12);
    for (uint64_t i = 0; i < instances; ++i) {
      live_.insert("i" + std::to_string(i));
    }
    floor_ = static_cast<int>(
        random_.Below(live_.size() * static_cast<uint64_t>(slots_) + 1));
    for (size_t i = 0; i < kOwners; ++i) {
      Start(i);
    }
  }

  void Step() {
    const auto who = random_.Below(kOwners);
    owner& acting = owners_[who];
    switch (random_.Below(14)) {
      case 0:
        log_away_ = !log_away_;
        break;
      case 1:
        wall_ += millis(static_cast<int64_t>(random_.Below(3'600'000)));
        break;
      case 2:
        if (random_.Below(4) == 0) {
          Start(who);
        }
        break;
      case 3:
        Depart();
        break;
      case 4:
        if (live_.size() < 16) {
          live_.insert("n" + std::to_string(next_instance_++));
          ViewsLearn();
        }
        break;
      case 5:
        acting.paused = !acting.paused;
        break;
      case 6:
      case 7:
      case 8:
        Want(acting);
        break;
      default:
        Act(acting);
        break;
    }
    wall_ += millis(50);
    CheckFloor();
  }

  // Once faults end, every process comes to the same chain and what is still
  // wanted and fits is out.
  void Converge() {
    log_away_ = false;
    for (owner& each : owners_) {
      each.paused = false;
      each.loses_answers = false;
    }
    for (int round = 0; round < 8; ++round) {
      wall_ += millis(1'500);
      for (owner& each : owners_) {
        Read(each, log_.size());
        Act(each);
        CheckFloor();
      }
    }
    for (owner& each : owners_) {
      Read(each, log_.size());
    }
    for (owner& each : owners_) {
      REQUIRE(each.work->chain().head_digest() ==
              owners_[0].work->chain().head_digest());
    }
  }

  [[nodiscard]] int most_out() const { return most_out_; }

 private:
  static constexpr size_t kOwners = 4;

  struct owner {
    std::unique_ptr<ejector> work;
    std::vector<wanted_ejection> wanted;
    size_t read = 0;
    int64_t skew = 0;  ///< Of its clock, in milliseconds.
    bool paused = false;
    bool loses_answers = false;
    std::set<std::string> view;
  };
  struct stored {
    std::string bytes;
    millis appended_at;
  };

  void Start(size_t who) {
    owner& started = owners_[who];
    started = owner();
    started.work =
        std::make_unique<ejector>("s", "n" + std::to_string(who) + "/" +
                                           std::to_string(++processes_) + "/0");
    started.skew = static_cast<int64_t>(random_.Below(10'000)) - 5'000;
    started.loses_answers = random_.Below(3) == 0;
    started.view = live_;
  }

  // Departures take capacity, so they are learnt at once here: the promise is
  // about what ejections do to the capacity that is known.
  void Depart() {
    if (live_.size() < 2) {
      return;
    }
    auto gone = live_.begin();
    std::advance(gone, static_cast<long>(random_.Below(live_.size())));
    live_.erase(gone);
    for (owner& each : owners_) {
      std::erase_if(each.view,
                    [&](const auto& id) { return !live_.contains(id); });
      SetWanted(each);
    }
  }

  // Arrivals are learnt by some and not yet by others.
  void ViewsLearn() {
    for (owner& each : owners_) {
      if (random_.Below(2) == 0) {
        each.view = live_;
      }
    }
  }

  void Want(owner& acting) {
    acting.wanted.clear();
    for (const std::string& id : acting.view) {
      if (random_.Below(3) == 0) {
        acting.wanted.push_back({id, 1, wall_, "sick"});
      }
    }
    SetWanted(acting);
  }

  void SetWanted(owner& acting) {
    std::erase_if(acting.wanted, [&](const auto& each) {
      return !acting.view.contains(each.instance);
    });
    capacity_view view;
    view.capacity_instances.assign(acting.view.begin(), acting.view.end());
    view.floor = floor_;
    view.slots = slots_;
    view.shards = shards_;
    acting.work->SetWanted(acting.wanted, view);
  }

  void Act(owner& acting) {
    if (acting.paused) {
      return;
    }
    acting.work->SetLogAway(log_away_);
    if (!log_away_) {
      // A stale replica answers with a part of the log.
      const size_t until =
          random_.Below(4) == 0
              ? acting.read + random_.Below(log_.size() - acting.read + 1)
              : log_.size();
      Read(acting, until);
    }
    SetWanted(acting);
    const auto bytes = acting.work->Propose(wall_ + millis(acting.skew));
    if (!bytes) {
      return;
    }
    const bool arrives = !log_away_ && random_.Below(5) != 0;
    if (arrives) {
      log_.push_back({*bytes, wall_});
      if (random_.Below(6) == 0) {
        log_.push_back({*bytes, wall_});
      }
    } else if (random_.Below(2) == 0) {
      in_flight_.push_back(*bytes);
    }
    if (!in_flight_.empty() && random_.Below(3) == 0) {
      log_.push_back({in_flight_.front(), wall_});
      in_flight_.pop_front();
    }
  }

  void Read(owner& reading, size_t until) {
    while (reading.read < until) {
      const stored& record = log_[reading.read++];
      reading.work->OnEjectionRecord(record.bytes, record.appended_at);
    }
  }

  // What any process keeps out counts as out, also for those that nobody else
  // takes for an owner.
  void CheckFloor() {
    std::set<std::string> out;
    for (const owner& each : owners_) {
      for (const std::string& id :
           each.work->Granted(wall_ + millis(each.skew))) {
        if (live_.contains(id)) {
          out.insert(id);
        }
      }
    }
    const int healthy = static_cast<int>(live_.size() - out.size()) * slots_;
    if (!out.empty() && healthy < floor_) {
      FAIL("floor broken: " << healthy << " below " << floor_);
    }
    most_out_ = std::max(most_out_, static_cast<int>(out.size()));
  }

  random_bits random_;
  std::set<std::string> live_;
  std::array<owner, kOwners> owners_;
  std::vector<stored> log_;
  std::deque<std::string> in_flight_;
  millis wall_{1'700'000'000'000};
  bool log_away_ = false;
  int floor_ = 0;
  int slots_ = 1;
  int shards_ = 1;
  int processes_ = 0;
  int next_instance_ = 0;
  int most_out_ = 0;
};

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int kSchedules = 500;
#else
constexpr int kSchedules = 10'000;
#endif

TEST_CASE("no interleaving of owners and faults breaks the floor") {
  int with_ejections = 0;
  const uint64_t first = Catch::rngSeed();
  std::cout << "ejector schedules: first seed " << first << "\n";
  for (int i = 0; i < kSchedules; ++i) {
    const uint64_t seed = first + static_cast<uint64_t>(i);
    CAPTURE(seed);
    fleet all(seed);
    for (int step = 0; step < 50; ++step) {
      all.Step();
    }
    all.Converge();
    with_ejections += all.most_out() > 0 ? 1 : 0;
  }
  REQUIRE(with_ejections > kSchedules / 4);
}

}  // namespace
}  // namespace peridotarch
