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

// Several processes that all believe that they own a shard, one log, and
// random faults: log outages, lost answers, late records, crashes, pauses,
// clock skew, and instances that leave and join.
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
    const auto index = random_.Below(kOwners);
    owner& acting = owners_[index];
    switch (random_.Below(14)) {
      case 0:
        log_away_ = !log_away_;
        break;
      case 1:
        wall_ += millis(static_cast<int64_t>(random_.Below(3'600'000)));
        break;
      case 2:
        if (random_.Below(4) == 0) {
          Start(index);
        }
        break;
      case 3:
        RemoveInstance();
        break;
      case 4:
        if (live_.size() < 16) {
          live_.insert("n" + std::to_string(next_instance_++));
          UpdateSomeViews();
        }
        break;
      case 5:
        acting.paused = !acting.paused;
        break;
      case 6:
      case 7:
      case 8:
        DrawWanted(acting);
        break;
      default:
        Act(acting);
        break;
    }
    wall_ += millis(50);
    CheckFloor();
  }

  // Ends all faults and requires that every process then has the same
  // chain.
  void Converge() {
    log_away_ = false;
    for (owner& healed : owners_) {
      healed.paused = false;
      healed.loses_answers = false;
    }
    for (int round = 0; round < 8; ++round) {
      wall_ += millis(1'500);
      for (owner& process : owners_) {
        Read(process, log_.size());
        Act(process);
        CheckFloor();
      }
    }
    for (owner& process : owners_) {
      Read(process, log_.size());
    }
    for (owner& process : owners_) {
      REQUIRE(process.rights->ejection_ledger().head_digest() ==
              owners_[0].rights->ejection_ledger().head_digest());
    }
  }

  [[nodiscard]] int max_ejected() const { return max_ejected_; }

 private:
  static constexpr size_t kOwners = 4;

  struct owner {
    std::unique_ptr<ejector> rights;
    std::vector<wanted_ejection> wanted;
    size_t read = 0;
    int64_t clock_skew = 0;  ///< In milliseconds.
    bool paused = false;
    bool loses_answers = false;
    std::set<std::string> view;
  };
  struct stored {
    std::string bytes;
    millis appended_at;
  };

  void Start(size_t index) {
    owner& started = owners_[index];
    started = owner();
    started.rights =
        std::make_unique<ejector>("s", "n" + std::to_string(index) + "/" +
                                           std::to_string(++processes_) + "/0");
    started.clock_skew = static_cast<int64_t>(random_.Below(10'000)) - 5'000;
    started.loses_answers = random_.Below(3) == 0;
    started.view = live_;
  }

  // Every process learns of a departure at once, because ejections keep the
  // floor only with regard to the capacity that is known.
  void RemoveInstance() {
    if (live_.size() < 2) {
      return;
    }
    auto gone = live_.begin();
    std::advance(gone, static_cast<long>(random_.Below(live_.size())));
    live_.erase(gone);
    for (owner& process : owners_) {
      std::erase_if(process.view,
                    [&](const auto& id) { return !live_.contains(id); });
      SetWanted(process);
    }
  }

  // Only some of the processes learn of an arrival at once.
  void UpdateSomeViews() {
    for (owner& process : owners_) {
      if (random_.Below(2) == 0) {
        process.view = live_;
      }
    }
  }

  void DrawWanted(owner& acting) {
    acting.wanted.clear();
    for (const std::string& id : acting.view) {
      if (random_.Below(3) == 0) {
        acting.wanted.push_back({id, 1, wall_, "sick"});
      }
    }
    SetWanted(acting);
  }

  void SetWanted(owner& acting) {
    std::erase_if(acting.wanted, [&](const auto& ejection) {
      return !acting.view.contains(ejection.instance);
    });
    capacity_view view;
    view.capacity_instances.assign(acting.view.begin(), acting.view.end());
    view.floor = floor_;
    view.slots = slots_;
    view.shards = shards_;
    acting.rights->SetWanted(acting.wanted, view);
  }

  void Act(owner& acting) {
    if (acting.paused) {
      return;
    }
    acting.rights->SetLogAway(log_away_);
    if (!log_away_) {
      // A stale replica of the log returns only a part of it.
      const size_t until =
          random_.Below(4) == 0
              ? acting.read + random_.Below(log_.size() - acting.read + 1)
              : log_.size();
      Read(acting, until);
    }
    SetWanted(acting);
    const auto bytes =
        acting.rights->Propose(wall_ + millis(acting.clock_skew));
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
      delayed_.push_back(*bytes);
    }
    if (!delayed_.empty() && random_.Below(3) == 0) {
      log_.push_back({delayed_.front(), wall_});
      delayed_.pop_front();
    }
  }

  void Read(owner& reading, size_t until) {
    while (reading.read < until) {
      const stored& record = log_[reading.read++];
      reading.rights->OnEjectionRecord(record.bytes, record.appended_at);
    }
  }

  // An instance counts as ejected if any process ejects it, even a process that
  // no other one takes for an owner.
  void CheckFloor() {
    std::set<std::string> ejected;
    for (const owner& process : owners_) {
      for (const std::string& id : process.rights->GrantedInstances(
               wall_ + millis(process.clock_skew))) {
        if (live_.contains(id)) {
          ejected.insert(id);
        }
      }
    }
    const int healthy =
        static_cast<int>(live_.size() - ejected.size()) * slots_;
    if (!ejected.empty() && healthy < floor_) {
      FAIL("healthy slots " << healthy << " below the floor " << floor_);
    }
    max_ejected_ = std::max(max_ejected_, static_cast<int>(ejected.size()));
  }

  random_bits random_;
  std::set<std::string> live_;
  std::array<owner, kOwners> owners_;
  std::vector<stored> log_;
  std::deque<std::string> delayed_;
  millis wall_{1'700'000'000'000};
  bool log_away_ = false;
  int floor_ = 0;
  int slots_ = 1;
  int shards_ = 1;
  int processes_ = 0;
  int next_instance_ = 0;
  int max_ejected_ = 0;
};

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int kSchedules = 500;
#else
constexpr int kSchedules = 10'000;
#endif

TEST_CASE(
    "owners never eject below the floor under random schedules of faults") {
  int schedules_with_ejections = 0;
  const uint64_t first = Catch::rngSeed();
  std::cout << "ejector schedules: first seed " << first << "\n";
  for (int i = 0; i < kSchedules; ++i) {
    const uint64_t seed = first + static_cast<uint64_t>(i);
    CAPTURE(seed);
    fleet simulated(seed);
    for (int step = 0; step < 50; ++step) {
      simulated.Step();
    }
    simulated.Converge();
    schedules_with_ejections += simulated.max_ejected() > 0 ? 1 : 0;
  }
  REQUIRE(schedules_with_ejections > kSchedules / 4);
}

}  // namespace
}  // namespace peridotarch
