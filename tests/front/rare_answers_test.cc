// Answers, expired timers, cancellations and callers that leave, in every order
// and also in one turn of the event loop.
#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "core/invariant.h"
#include "request_schedule.h"

namespace peridotarch {
namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr uint64_t kDefaultSchedules = 500;
#else
constexpr uint64_t kDefaultSchedules = 10'000;
#endif
constexpr uint64_t kFirstSeed = 1;

/// Drops what the node logs while it exists.
class dropped_output {
 public:
  dropped_output() : saved_(::dup(STDOUT_FILENO)) {
    const int nowhere = ::open("/dev/null", O_WRONLY);
    ::dup2(nowhere, STDOUT_FILENO);
    ::close(nowhere);
  }
  ~dropped_output() {
    ::dup2(saved_, STDOUT_FILENO);
    ::close(saved_);
  }
  dropped_output(const dropped_output&) = delete;
  dropped_output& operator=(const dropped_output&) = delete;

 private:
  const int saved_;
};

uint64_t NumberFrom(const char* variable, uint64_t otherwise) {
  const char* const text = std::getenv(variable);
  return text == nullptr ? otherwise : std::stoull(text);
}

std::string RunQuietly(uint64_t seed) {
  const dropped_output quiet;
  return request_schedule(seed).Run();
}

// The handler of a slow attempt used the freed request.
TEST_CASE("rare answers: schedules that failed once") {
  SetBreachesFatal(true);
  for (const uint64_t seed : {4, 5, 14, 15, 16}) {
    const std::string problem = RunQuietly(seed);
    INFO("seed " << seed);
    CHECK(problem == "");
  }
}

// PERIDOTARCH_SCHEDULES sets how many schedules run, PERIDOTARCH_FIRST_SEED the
// seed of the first.
TEST_CASE("rare answers: each request gets one answer, and a true one") {
  SetBreachesFatal(true);
  const uint64_t first = NumberFrom("PERIDOTARCH_FIRST_SEED", kFirstSeed);
  const uint64_t count = NumberFrom("PERIDOTARCH_SCHEDULES", kDefaultSchedules);
  for (uint64_t seed = first; seed < first + count; ++seed) {
    const std::string problem = RunQuietly(seed);
    INFO("seed " << seed);
    CHECK(problem == "");
  }
}

}  // namespace
}  // namespace peridotarch
