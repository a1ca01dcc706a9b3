// Readers of the store are turned away: others take over in time. All times are
// virtual.
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <vector>

#include "balance/read_schedule.h"
#include "balance/reader_choice.h"
#include "balance/reader_duty.h"

namespace peridotarch {
namespace {

constexpr millis kStep(5);
constexpr millis kDelay(20);  // of a report
constexpr millis kPollInterval(250);
constexpr millis kAnswerTime(5);
constexpr millis kChangeAt(5'000);
// The stated bound, less 0.5 s to pass the change on to other zones.
constexpr millis kMaxReadDelay(1'500);

enum class store_path { kSound, kSilent, kRefused };

/// A node of the only zone whose store path may be sound.
class model_node {
 public:
  model_node(uint64_t rank, millis first_poll)
      : rank_(rank), next_poll_(first_poll) {}

  void Step(const std::vector<reader_candidate>& others, millis now) {
    const auto due_at = duty_.DueAt(rank_, others, now);
    const bool must_read = due_at && *due_at <= now;
    if (pending_) {
      EndIfDue(now);
    } else if (must_read && (now >= next_poll_ || lost_reader_)) {
      Begin(now);
    } else if (!must_read) {
      schedule_.NoteDelegated();
    }
    lost_reader_ = lost_reader_ && !pending_;
    while (next_poll_ <= now) {
      next_poll_ += kPollInterval;
    }
    claims_ = must_read && schedule_.is_current();
  }
  void NoteReaderLost() { lost_reader_ = true; }
  void TurnAway(store_path how) { path_ = how; }

  [[nodiscard]] bool claims() const { return claims_; }
  [[nodiscard]] uint64_t rank() const { return rank_; }
  [[nodiscard]] int reads() const { return reads_; }
  [[nodiscard]] bool knows_change() const { return knows_change_; }

 private:
  void Begin(millis now) {
    pending_ = schedule_.Begin(millis(3'000), now);
    began_at_ = now;
    ++reads_;
  }

  void EndIfDue(millis now) {
    const millis taken = now - began_at_;
    if (path_ == store_path::kSilent && taken < pending_->timeout) {
      return;
    }
    const bool has_change = now >= kChangeAt && !knows_change_;
    if (path_ == store_path::kSound && taken < pending_->wait && !has_change) {
      return;
    }
    if (path_ != store_path::kSilent && taken < kAnswerTime) {
      return;
    }
    pending_.reset();
    if (path_ == store_path::kSound) {
      knows_change_ = now >= kChangeAt;
      schedule_.NoteAnswered(false);
      next_poll_ = now;
    } else {
      next_poll_ = schedule_.NoteFailed(now) ? now : now + millis(900);
    }
  }

  const uint64_t rank_;
  reader_duty duty_;
  read_schedule schedule_{millis(0)};
  store_path path_ = store_path::kSound;
  std::optional<read_times> pending_;
  millis began_at_;
  millis next_poll_;
  bool lost_reader_ = false;
  bool claims_ = false;
  bool knows_change_ = false;
  int reads_ = 0;
};

/// Nodes that hear of each other's claims after a delay.
class model_zone {
 public:
  model_zone(int size, uint64_t seed) : random_(seed) {
    for (int i = 0; i < size; ++i) {
      nodes_.emplace_back(static_cast<uint64_t>(i),
                          millis(static_cast<int64_t>(random_() % 250)));
    }
    heard_.resize(nodes_.size());
  }

  // Turns a share of the nodes away shortly before the change, the readers
  // among them.
  void RunUntil(millis end, store_path how, double share) {
    for (; now_ < end; now_ += kStep) {
      if (now_ == kChangeAt - millis(100)) {
        TurnAway(how, share);
      }
      StepAll();
    }
  }

  [[nodiscard]] bool KnowsChange() const {
    return std::any_of(nodes_.begin(), nodes_.end(),
                       [](const auto& one) { return one.knows_change(); });
  }
  [[nodiscard]] int Reads() const {
    int reads = 0;
    for (const model_node& one : nodes_) {
      reads += one.reads();
    }
    return reads;
  }
  [[nodiscard]] millis now() const { return now_; }

 private:
  void TurnAway(store_path how, double share) {
    auto left = static_cast<int>(share * static_cast<double>(nodes_.size()));
    for (model_node& one : nodes_) {
      if (one.claims()) {
        one.TurnAway(how);
        --left;
      }
    }
    for (; left > 0; --left) {
      nodes_[random_() % nodes_.size()].TurnAway(how);
    }
  }

  void StepAll() {
    std::vector<reader_candidate> all;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      all.push_back({nodes_[i].rank(), true, heard_[i], true, now_});
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
      std::vector<reader_candidate> others = all;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      nodes_[i].Step(others, now_);
    }
    if ((now_.count() / kStep.count()) % (kDelay.count() / kStep.count()) ==
        0) {
      Deliver();
    }
  }

  void Deliver() {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (heard_[i] && !nodes_[i].claims()) {
        for (model_node& one : nodes_) {
          one.NoteReaderLost();
        }
      }
      heard_[i] = nodes_[i].claims();
    }
  }

  std::mt19937_64 random_;
  std::vector<model_node> nodes_;
  std::vector<bool> heard_;
  millis now_;
};

// Machines in touch used an old service for 2.9 s (review/10).
TEST_CASE("readers turned away: another node has a change in time") {
  for (const store_path how : {store_path::kSilent, store_path::kRefused}) {
    for (const int size : {6, 12, 40, 100}) {
      for (uint64_t seed = 1; seed <= 25; ++seed) {
        model_zone zone(size, seed);
        zone.RunUntil(kChangeAt + kMaxReadDelay, how, 0.35);
        CAPTURE(static_cast<int>(how), size, seed);
        CHECK(zone.KnowsChange());
      }
    }
  }
}

TEST_CASE("readers turned away: the calls to the store do not grow with it") {
  const auto reads_in = [](int size) {
    model_zone zone(size, 1);
    zone.RunUntil(kChangeAt - millis(200), store_path::kSilent, 0.35);
    const int before = zone.Reads();
    zone.RunUntil(kChangeAt + kMaxReadDelay, store_path::kSilent, 0.35);
    return zone.Reads() - before;
  };
  const int in_small_zone = reads_in(12);
  CHECK(reads_in(100) <= in_small_zone + 4);
}

}  // namespace
}  // namespace peridotarch
