#include <catch2/catch.hpp>
#include <numeric>
#include <thread>
#include <vector>

#include "core/random.h"
#include "request/retry.h"
#include "request/retry_budget.h"
#include "request/team_limit.h"

namespace peridotarch {
namespace {

TEST_CASE("retries stay below their share of the requests") {
  retry_budget budget(10, 10);
  int retries = 0;
  constexpr int kRequests = 10'000;
  for (int i = 0; i < kRequests; ++i) {
    budget.NoteRequest();
    retries += budget.TakeRetry() ? 1 : 0;
    retries += budget.TakeRetry() ? 1 : 0;
  }
  CHECK(retries <= kRequests / 10 + 10);
  CHECK(retries >= kRequests / 10);
}

TEST_CASE("the retry budget holds when threads share it") {
  retry_budget budget(10, 10);
  std::atomic<int> retries = 0;
  constexpr int kThreads = 4;
  constexpr int kRequests = 20'000;
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < kRequests; ++i) {
        budget.NoteRequest();
        retries += budget.TakeRetry() ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(retries <= kThreads * kRequests / 10 + 10);
}

TEST_CASE("retries follow the verdict, the rule, the time and the budget") {
  retry_budget budget(10, 1);
  retry_context context;
  context.attempts = verdict::kNotRun;
  context.retries_allowed = 1;
  context.time_left = millis(100);
  context.attempt_time = millis(10);
  retry_context other = context;
  other.attempts = verdict::kRan;
  CHECK(DecideRetry(other, budget) == retry_decision::kDone);
  other.attempts = verdict::kMayHaveRun;
  CHECK(DecideRetry(other, budget) == retry_decision::kMightRunTwice);
  other = context;
  other.retries_made = 1;
  CHECK(DecideRetry(other, budget) == retry_decision::kAttemptsSpent);
  other = context;
  other.time_left = millis(10);
  CHECK(DecideRetry(other, budget) == retry_decision::kNoTime);
  other = context;
  other.shed_everywhere = true;
  CHECK(DecideRetry(other, budget) == retry_decision::kShedEverywhere);
  other = context;
  other.attempts = verdict::kMayHaveRun;
  other.idempotent = true;
  CHECK(DecideRetry(other, budget) == retry_decision::kRetry);
  CHECK(DecideRetry(context, budget) == retry_decision::kNoBudget);
}

TEST_CASE("a bucket admits its burst and then its rate") {
  team_bucket bucket(20, 40);
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    admitted += bucket.Charge(millis(1000)) ? 1 : 0;
  }
  CHECK(admitted == 40);
  CHECK(bucket.TakeDemand() == 1000);
  for (int ms = 0; ms < 10'000; ++ms) {
    admitted += bucket.Charge(millis(1000 + ms)) ? 1 : 0;
  }
  CHECK(admitted <= 40 + 20 * 10 + 1);
  CHECK(admitted >= 40 + 20 * 10 - 1);
}

TEST_CASE("a refused request passes after its retry time") {
  team_bucket bucket(10, 1);
  REQUIRE(bucket.Charge(millis(0)));
  REQUIRE_FALSE(bucket.Charge(millis(0)));
  CHECK(bucket.Charge(bucket.RetryAfter(millis(0))));
}

TEST_CASE("a larger share takes effect at once") {
  team_bucket bucket(20, 20);
  bucket.SetShare(0.01, millis(0));
  REQUIRE(bucket.Charge(millis(0)));
  REQUIRE_FALSE(bucket.Charge(millis(1000)));
  bucket.SetShare(1, millis(1000));
  CHECK(bucket.Charge(millis(1050)));
}

TEST_CASE("shares add up to one and follow the demand") {
  const std::vector<uint64_t> demand = {90, 10, 0, 0};
  const auto shares = DivideByDemand(demand);
  CHECK(std::accumulate(shares.begin(), shares.end(), 0.0) == Approx(1));
  CHECK(shares[0] > shares[1]);
  CHECK(shares[1] > shares[2]);
  CHECK(shares[2] > 0);
}

// The bound in the operators' documentation: over T seconds the fleet admits at
// most rate x T + burst + one request for each node, once the shares are in
// effect on every node.
TEST_CASE("the fleet admits no more than the documented bound") {
  const uint64_t seed = GENERATE(1U, 2U, 3U, 4U);
  INFO("seed " << seed);
  random_bits random(seed);
  constexpr int kNodes = 36;
  constexpr int kSeconds = 20;
  constexpr int kRate = 200;
  constexpr int kBurst = 100;
  std::vector<std::unique_ptr<team_bucket>> nodes;
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<team_bucket>(kRate, kBurst));
    nodes.back()->SetShare(EqualShare(kNodes), millis(0));
  }
  int admitted = 0;
  for (int ms = 0; ms < kSeconds * 1000; ++ms) {
    for (int i = 0; i < 2; ++i) {
      const uint64_t at = random.Below(2) == 0 ? 0 : random.Below(kNodes);
      admitted += nodes[at]->Charge(millis(ms)) ? 1 : 0;
    }
    if (ms % 1000 == 999) {
      std::vector<uint64_t> demand;
      for (const auto& node : nodes) {
        demand.push_back(node->TakeDemand());
      }
      const auto shares = DivideByDemand(demand);
      for (int i = 0; i < kNodes; ++i) {
        nodes[static_cast<size_t>(i)]->SetShare(shares[static_cast<size_t>(i)],
                                                millis(ms));
      }
    }
  }
  CHECK(admitted <= kRate * kSeconds + kBurst + kNodes);
  CHECK(admitted >= kRate * kSeconds * 8 / 10);
}

}  // namespace
}  // namespace peridotarch
