#ifndef CONFIG_BENCH_H_
#define CONFIG_BENCH_H_

#include <cstdint>

namespace peridotarch {

/// Applies random records to a revision chain and to a replica and returns a
/// hash of their outcomes. The same seed gives the same hash.
uint64_t BenchConfig(uint64_t seed);

}  // namespace peridotarch

#endif  // CONFIG_BENCH_H_
