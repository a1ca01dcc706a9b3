#include "balance/reader_choice.h"

namespace peridotarch {

namespace {

constexpr int kReadersPerZone = 2;
// Reports come once a second, with some delay. Changes in the store have to
// reach every node within two seconds, which leaves no time to wait for a
// second missed report.
constexpr millis kReaderTimeout(1'400);

}  // namespace

bool ShouldReadStore(uint64_t own_rank,
                     std::span<const reader_candidate> others, millis now) {
  int readers_ahead = 0;
  for (const reader_candidate& other : others) {
    const bool is_reader = other.same_zone && other.reads_store &&
                           now - other.heard_at < kReaderTimeout;
    readers_ahead += is_reader && other.rank < own_rank ? 1 : 0;
  }
  return readers_ahead < kReadersPerZone;
}

}  // namespace peridotarch
