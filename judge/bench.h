#ifndef JUDGE_BENCH_H_
#define JUDGE_BENCH_H_

#include <cstdint>

namespace peridotarch {

/// Runs seeded scenarios of judgement and membership and folds their decisions
/// into one number, which changes whenever a decision does.
uint64_t BenchJudge(uint64_t seed);

}  // namespace peridotarch

#endif  // JUDGE_BENCH_H_
