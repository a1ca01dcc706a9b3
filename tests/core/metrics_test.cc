#include "core/metrics.h"

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "core/error.h"
#include "core/latency_buckets.h"

namespace peridotarch {
namespace {

bool HasLine(const std::string& text, const std::string& line) {
  return ('\n' + text).find('\n' + line + '\n') != std::string::npos;
}

TEST_CASE("metrics appear in the usual text format") {
  metrics all;
  all.Counter("requests_total", "Requests.", {{"verdict", "ran"}}).Add(3);
  all.Counter("requests_total", "Requests.", {{"verdict", "a\"b\\c\nd"}}).Add();
  all.Gauge("queued", "Requests that wait.").Set(-2);
  all.Latency("added_micros", "Added latency.").Record(5);
  const std::string text = all.ToText();
  REQUIRE(HasLine(text, "# HELP peridotarch_requests_total Requests."));
  REQUIRE(HasLine(text, "# TYPE peridotarch_requests_total counter"));
  REQUIRE(HasLine(text, "peridotarch_requests_total{verdict=\"ran\"} 3"));
  REQUIRE(HasLine(text,
                  "peridotarch_requests_total{verdict=\"a\\\"b\\\\c\\nd\"} 1"));
  REQUIRE(HasLine(text, "peridotarch_queued -2"));
  REQUIRE(HasLine(text, "# TYPE peridotarch_added_micros summary"));
  REQUIRE(HasLine(text, "peridotarch_added_micros{quantile=\"0.99\"} 5"));
  REQUIRE(HasLine(text, "peridotarch_added_micros_sum 5"));
  REQUIRE(HasLine(text, "peridotarch_added_micros_count 1"));
  REQUIRE(HasLine(text, "peridotarch_added_micros_max 5"));
  REQUIRE(HasLine(
      text, "peridotarch_invariant_breaches_total{invariant=\"slots\"} 0"));
}

TEST_CASE("a name keeps its kind, and equal labels give the same metric") {
  metrics all;
  counter& first = all.Counter("x", "X.", {{"a", "1"}});
  REQUIRE(&all.Counter("x", "X.", {{"a", "1"}}) == &first);
  REQUIRE(&all.Counter("x", "X.", {{"a", "2"}}) != &first);
  REQUIRE_THROWS_AS(all.Gauge("x", "X."), error);
}

TEST_CASE("the middle of a latency's bucket is within a sixteenth of it") {
  size_t last = 0;
  for (uint64_t micros = 0; micros < 3'000'000'000; micros += micros / 50 + 1) {
    const size_t bucket = LatencyBucketOf(micros);
    REQUIRE(bucket >= last);
    REQUIRE(bucket < kLatencyBucketCount);
    last = bucket;
    const auto exact = static_cast<double>(micros);
    REQUIRE(LatencyBucketMiddle(bucket) ==
            Approx(exact).epsilon(0).margin(exact / 16));
  }
  REQUIRE(LatencyBucketOf(~uint64_t{0}) == kLatencyBucketCount - 1);
}

TEST_CASE("a summary merges what all threads have recorded") {
  constexpr int kThreads = 20;
  constexpr uint64_t kSamples = 1000;
  latency_summary summary;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (uint64_t micros = 1; micros <= kSamples; ++micros) {
        summary.Record(micros);
      }
    });
  }
  for (std::thread& each : threads) {
    each.join();
  }
  const latency_reading read = summary.Read();
  REQUIRE(read.count == kThreads * kSamples);
  REQUIRE(read.sum == kThreads * kSamples * (kSamples + 1) / 2);
  REQUIRE(read.max == kSamples);
  REQUIRE(read.p50 == Approx(500).epsilon(1.0 / 16));
  REQUIRE(read.p99 == Approx(990).epsilon(1.0 / 16));
}

TEST_CASE("an empty summary reads as zero") {
  const latency_reading read = latency_summary().Read();
  REQUIRE(read.count == 0);
  REQUIRE(read.p99 == 0);
}

}  // namespace
}  // namespace peridotarch
