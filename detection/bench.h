#ifndef DETECTION_BENCH_H_
#define DETECTION_BENCH_H_

#include <cstdint>

namespace peridotarch {

/// Runs seeded scenarios of outlier detection and membership and hashes their
/// decisions into one number, which changes whenever a decision does.
uint64_t BenchDetection(uint64_t seed);

}  // namespace peridotarch

#endif  // DETECTION_BENCH_H_
