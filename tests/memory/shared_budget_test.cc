// One budget that several threads draw on.
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include "memory/memory_budget.h"

namespace peridotarch {
namespace {

constexpr uint64_t kTotal = 1 << 20;
constexpr int kThreads = 4;
constexpr int kHolders = 2'000;

void UseBudget(const std::shared_ptr<memory_budget>& budget, uint32_t seed,
               std::atomic<int>& ended) {
  std::mt19937 random(seed);
  for (int i = 0; i < kHolders; ++i) {
    const auto kind =
        random() % 2 == 0 ? memory_kind::kRequest : memory_kind::kAnswer;
    memory_reservation held(
        budget, kind, [&ended] { ++ended; }, millis(i));
    for (uint64_t bytes = 0; bytes < random() % (kTotal / 2);) {
      bytes += random() % (64 << 10);
      held.NoteProgress(bytes, millis(i));
      if (!held.Resize(bytes, millis(i))) {
        break;
      }
    }
    if (random() % 2 == 0) {
      held.Complete();
    }
  }
}

// What is given back has to equal what was taken, on any thread.
TEST_CASE("memory: a budget that threads share ends at zero") {
  const auto seed = std::random_device{}();
  INFO("seed " << seed);
  const auto budget =
      std::make_shared<memory_budget>(memory_limits{kTotal, kTotal / 2});
  std::atomic<int> ended = 0;
  std::vector<std::thread> threads;
  for (uint32_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] { UseBudget(budget, seed + i, ended); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(budget->in_use() == 0);
  CHECK(budget->HasRoomForAnswer(kTotal / 4));
}

}  // namespace
}  // namespace peridotarch
