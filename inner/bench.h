#ifndef INNER_BENCH_H_
#define INNER_BENCH_H_

#include <cstdint>

namespace peridotarch {

/// Folds seeded scenarios of the packages core and inner into one number:
/// ownership by rendezvous hashing under replacement, replay windows under
/// reordering, and the order of hybrid times.
uint64_t BenchInner(uint64_t seed);

}  // namespace peridotarch

#endif  // INNER_BENCH_H_
