#include "cli/bench.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <ostream>
#include <string_view>

#include "cli/arguments.h"
#include "cli/settings.h"
#include "config/bench.h"
#include "core/exit_code.h"
#include "core/fold.h"
#include "detection/bench.h"
#include "inner/bench.h"
#include "request/bench.h"

namespace peridotarch {

namespace {

constexpr int64_t kMaxRepeats = 1000;

/// The scenarios of one package.
struct bench_part {
  std::string_view name;
  uint64_t (*run)(uint64_t seed);
};

constexpr uint64_t kSeed = 1;

constexpr std::array kParts = {
    bench_part{"inner", BenchInner}, bench_part{"config", BenchConfig},
    bench_part{"request", BenchRequest}, bench_part{"judge", BenchDetection}};

// Times go to `err`, so that the output of two runs is equal when the
// decisions are.
uint64_t RunAll(std::ostream& out, std::ostream& err) {
  fold all;
  for (const bench_part& part : kParts) {
    const auto start = std::chrono::steady_clock::now();
    const uint64_t value = part.run(kSeed);
    const std::chrono::duration<double, std::milli> passed =
        std::chrono::steady_clock::now() - start;
    all.Add(value);
    out << part.name << ": " << value << '\n';
    err << part.name << ": " << passed.count() << " ms\n";
  }
  return all.value();
}

}  // namespace

int BenchCommand(const cli_settings& /*settings*/,
                 const std::vector<std::string>& args, std::ostream& out,
                 std::ostream& err) {
  const arguments parsed(args, {"repeat"}, 0);
  const int64_t repeats = parsed.Number("repeat", 1, kMaxRepeats, 1);
  uint64_t first = 0;
  for (int64_t i = 0; i < repeats; ++i) {
    const uint64_t value = RunAll(out, err);
    first = i == 0 ? value : first;
    if (value != first) {
      err << "peridotarch: repeat " << i + 1 << " gave " << value
          << " and the first " << first << '\n';
      return ToInt(exit_code::kFailed);
    }
  }
  out << "Bench: " << first << '\n';
  return ToInt(exit_code::kOk);
}

}  // namespace peridotarch
