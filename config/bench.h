#ifndef CONFIG_BENCH_H_
#define CONFIG_BENCH_H_

#include <cstdint>

namespace peridotarch {

/// Runs a fixed set of decisions on the configuration and folds their outcomes
/// into one number, the same for the same seed.
uint64_t BenchConfig(uint64_t seed);

}  // namespace peridotarch

#endif  // CONFIG_BENCH_H_
