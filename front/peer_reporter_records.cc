// What the reports say of the store's records and of those who read them.
#include "front/peer_reporter.h"

namespace peridotarch {

using boost::asio::ip::udp;

void peer_reporter::CompareRecords(const std::string& name,
                                   const load_report& report) {
  if (report.config_version > node_->ConfigVersion() ||
      report.instances_offset > node_->instances_offset) {
    on_ahead_({name, report.config_version, report.instances_offset,
               report.zone != zone_});
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

bool peer_reporter::MustReadStore() const {
  return ShouldReadStore(own_relay_key_, ReaderCandidates(), boot_clock::Now());
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
