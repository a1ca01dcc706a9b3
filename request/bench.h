#ifndef REQUEST_BENCH_H_
#define REQUEST_BENCH_H_

#include <cstdint>

namespace peridotarch {

/// Runs fixed scenarios through this package and hashes every decision into one
/// number. Equal seeds give equal numbers on every machine.
uint64_t BenchRequest(uint64_t seed);

}  // namespace peridotarch

#endif  // REQUEST_BENCH_H_
