#include "balance/reader_choice.h"

namespace peridotarch {

namespace {

constexpr int kReadersOfZone = 2;
// One report a second and some delay. What the store says has to be known
// everywhere within two seconds, so there is no time to wait for a second
// missed report.
constexpr millis kReaderSilence(1'400);

}  // namespace

bool ShouldReadStore(uint64_t own_rank,
                     std::span<const reader_candidate> others, millis now) {
  int before = 0;
  for (const reader_candidate& other : others) {
    const bool reads = other.same_zone && other.reads_store &&
                       now - other.heard < kReaderSilence;
    before += reads && other.rank < own_rank ? 1 : 0;
  }
  return before < kReadersOfZone;
}

}  // namespace peridotarch
