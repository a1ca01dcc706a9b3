// What the reports say of the store's records and of those who read them.
#include <algorithm>

#include "core/record_position.h"
#include "front/peer_reporter.h"

namespace peridotarch {

using boost::asio::ip::udp;

namespace {

// Returns the number nearest to `near` that has these lower 32 bits.
uint64_t NearestWithLowerHalf(uint32_t lower, uint64_t near) {
  constexpr uint64_t kStep = uint64_t{1} << 32;
  const uint64_t candidate = near / kStep * kStep + lower;
  if (candidate > near + kStep / 2 && candidate >= kStep) {
    return candidate - kStep;
  }
  return candidate + kStep / 2 < near ? candidate + kStep : candidate;
}

// Processes of an older version report the lower 32 bits of their numbers.
// Above 2^32, what they report is taken for a number near the own one: if that
// is wrong, the node reads at a peer that has nothing newer.
template <typename Count>
Count Completed(Count reported, Count own) {
  if (reported == Count() || own.value() <= UINT32_MAX) {
    return reported;
  }
  return NearestWithLowerHalf(static_cast<uint32_t>(reported.value()),
                              own.value());
}

}  // namespace

void peer_reporter::CompareRecords(const std::string& name,
                                   const load_report& report) {
  const config_version own_version = node_->ConfigVersion();
  const record_offset own_offset = node_->instances_offset;
  config_version version = report.config_version;
  record_offset offset = report.instances_offset;
  if (version.value() <= UINT32_MAX && offset.value() <= UINT32_MAX) {
    version = Completed(version, own_version);
    // A low number may also be of an earlier era of the store.
    if (EraOf(own_offset) == 0) {
      offset = Completed(offset, own_offset);
    }
  }
  if (version > config_version() &&
      version >= node_->reported_version.value_or(config_version())) {
    node_->reported_version = version;
  }
  if (version > own_version || offset > own_offset) {
    on_ahead_({name, version, offset, report.zone != zone_});
  }
}

std::vector<reader_candidate> peer_reporter::ReaderCandidates() const {
  std::vector<reader_candidate> others;
  others.reserve(peers_.size());
  for (const auto& [remote, state] : peers_) {
    others.push_back({state.relay_key, state.zone == zone_,
                      state.reads_store && !state.leaving, state.has_records,
                      state.heard_at});
  }
  return others;
}

std::optional<millis> peer_reporter::ReadDueAt(millis now) {
  return duty_.DueAt(own_relay_key_, ReaderCandidates(), now);
}

bool peer_reporter::MustReadStore() {
  const millis now = boot_clock::Now();
  const std::optional<millis> due_at = ReadDueAt(now);
  return due_at && *due_at <= now;
}

void peer_reporter::OnReaderLost() {
  const millis now = boot_clock::Now();
  const std::optional<millis> due_at = ReadDueAt(now);
  if (due_at) {
    takeover_timer_.Start(std::max(*due_at - now, millis(0)),
                          [this] { node_->on_takeover_due(); });
  }
}

bool peer_reporter::MustReadStoreFirst() const {
  return ShouldReadStoreFirst(own_relay_key_, ReaderCandidates(),
                              node_->settings.is_first_start,
                              boot_clock::Now());
}

// Prefers peers of this zone. Chooses at random, so that a single peer does not
// serve all the others.
std::optional<std::string> peer_reporter::FindStoreReader() const {
  const millis now = boot_clock::Now();
  std::vector<const udp::endpoint*> same_zone;
  std::vector<const udp::endpoint*> any_zone;
  for (const auto& [remote, state] : peers_) {
    if (IsLive(state, now) && state.reads_store && !state.leaving) {
      any_zone.push_back(&remote);
      if (state.zone == zone_) {
        same_zone.push_back(&remote);
      }
    }
  }
  const auto& candidates = same_zone.empty() ? any_zone : same_zone;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[node_->random.Below(candidates.size())]
      ->address()
      .to_string();
}

}  // namespace peridotarch
