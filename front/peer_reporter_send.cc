// Which reports this node sends, to whom and when.
#include <algorithm>
#include <utility>

#include "balance/relay_choice.h"
#include "balance/report_batch.h"
#include "front/peer_reporter.h"

namespace peridotarch {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// The report of a success may be delayed: until it arrives, the peers only
// count the freed slot as still taken.
constexpr millis kSameZoneDelay(50);
// While an instance has several free slots, one request more or less there
// changes no decision. The changes of this time are reported together.
constexpr millis kSpareSlotsDelay(150);
constexpr millis kOtherZonesDelay(250);  // the time of a typical request
constexpr int kCaughtUpReports = 3;
// Reports that arrive from other zones meanwhile are relayed together.
constexpr millis kRelayInterval(100);
// With more nodes in other zones than this, they are told of loads by
// heartbeats alone.
constexpr size_t kMaxNodesForLoads = 96;

}  // namespace

// The nodes that use the same instance are told of every attempt, at once if it
// takes one of the last slots or is a trial, which they would repeat; the
// others learn of it from a heartbeat. What shows the health of an instance and
// changes of the store's records are told to all: directly in the own zone, and
// by relays in the others, since traffic between zones costs money.
void peer_reporter::OnLoadChange(load_change change, instance_key key) {
  switch (change) {
    case load_change::kRecordsChanged:
    case load_change::kReaderChanged:
      Send(recipients::kZone, report_content::kWithUsage);
      SendToRelays(report_content::kWithUsage);
      return;
    case load_change::kHealthEvidence:
      TellZone(key);
      SendToRelays(report_content::kWithUsage);
      return;
    case load_change::kInstanceSheds:
    case load_change::kRetryTaken:
      TellZone(key);
      return;
    case load_change::kCaughtUp:
      SendToSome();
      return;
    case load_change::kSlotTaken:
    case load_change::kTrialBegun:
    case load_change::kSlotFreed:
      TellUsers(change, key);
      break;
  }
  const bool is_other_zone = !node_->selector.HomeOf(key);
  if (is_other_zone || nodes_in_other_zones_ <= kMaxNodesForLoads) {
    SendSoon(other_zones_report_, kOtherZonesDelay,
             [this]() { SendToRelays(report_content::kLoad); });
  }
}

void peer_reporter::TellUsers(load_change change, instance_key key) {
  const bool has_spare_slots = node_->selector.HasSpareSlots(key);
  if (change == load_change::kTrialBegun ||
      (change == load_change::kSlotTaken && !has_spare_slots)) {
    SendToUsersOf({key});
    return;
  }
  changed_.push_back(key);
  SendSoon(same_zone_report_,
           has_spare_slots ? kSpareSlotsDelay : kSameZoneDelay,
           [this]() { SendToUsersOf(std::exchange(changed_, {})); });
}

// Failures come in great numbers under overload, so the reports to the whole
// zone are paced. The users of the instance do not wait.
void peer_reporter::TellZone(instance_key key) {
  const bool zone_is_told = SendPaced(
      whole_zone_report_, ZoneReportInterval(ring_.size()),
      [this]() { Send(recipients::kZone, report_content::kWithUsage); });
  if (!zone_is_told) {
    SendToUsersOf({key});
  }
}

// The nodes that still wait to read the change can then do so here.
void peer_reporter::SendToSome() {
  const millis now = boot_clock::Now();
  std::vector<const udp::endpoint*> own_zone;
  for (const auto& [remote, state] : peers_) {
    if (Includes(recipients::kZone, state, now)) {
      own_zone.push_back(&remote);
    }
  }
  const std::string datagram = MakeDatagram(report_content::kLoad, now);
  for (int i = 0; i < kCaughtUpReports && !own_zone.empty(); ++i) {
    SendTo(*own_zone[node_->random.Below(own_zone.size())], datagram);
  }
}

void peer_reporter::SendToUsersOf(const std::vector<instance_key>& keys) {
  std::vector<home_range> homes;
  for (const instance_key key : keys) {
    if (const auto home = node_->selector.HomeOf(key)) {
      homes.push_back(*home);
    }
  }
  if (homes.empty()) {
    return;
  }
  const millis now = boot_clock::Now();
  const std::string datagram = MakeDatagram(report_content::kLoad, now);
  if (ring_is_outdated_) {
    UpdateRing(now);
  }
  for (const ring_peer& peer : ring_peers_) {
    if (std::any_of(homes.begin(), homes.end(), [&peer](const auto& home) {
          return home.Contains(peer.position);
        })) {
      SendTo(peer.remote, datagram);
    }
  }
}

// If the report is to be sent already, the earlier of the two times counts.
void peer_reporter::SendSoon(delayed_report& report, millis delay,
                             std::function<void()> send) {
  const millis due_at = boot_clock::Now() + delay;
  if (report.due_at && *report.due_at <= due_at) {
    return;
  }
  report.due_at = due_at;
  report.timer.Start(delay, [&report, send = std::move(send)] {
    report.due_at.reset();
    send();
  });
}

bool peer_reporter::SendPaced(delayed_report& report, millis interval,
                              std::function<void()> send) {
  const millis now = boot_clock::Now();
  const millis delay = report.pace.DelayAt(now, interval);
  if (delay == millis(0)) {
    report.pace.NoteSent(now);
    send();
    return true;
  }
  SendSoon(report, delay, [&report, send = std::move(send)]() {
    report.pace.NoteSent(boot_clock::Now());
    send();
  });
  return false;
}

std::string peer_reporter::MakeDatagram(report_content content, millis now,
                                        uint32_t relay_for) {
  load_report report = node_->selector.MakeReport(now);
  report.incarnation = node_->incarnation;
  report.number = ++report_number_;
  report.zone = zone_;
  report.leaving = node_->draining;
  report.reads_store = node_->reads_store;
  report.instances_offset = node_->instances_changed_at;
  report.relay_for = relay_for;
  if (content == report_content::kWithUsage) {
    report.usage = node_->retries.Usage(now);
  }
  report.config_version = node_->ConfigVersion();
  return Encode(report, node_->settings.fleet_key);
}

void peer_reporter::Send(recipients to, report_content content) {
  const millis now = boot_clock::Now();
  SendToEach(to, MakeDatagram(content, now), now);
}

void peer_reporter::SendToEach(recipients to, std::string_view datagram,
                               millis now) {
  for (const auto& [remote, state] : peers_) {
    if (Includes(to, state, now)) {
      SendTo(remote, datagram);
    }
  }
}

void peer_reporter::SendTo(const udp::endpoint& to, std::string_view datagram) {
  error_code ignored;
  // If the report cannot be sent now, the next one makes up for it.
  socket_.send_to(asio::buffer(datagram), to, 0, ignored);
}

// Traffic between zones costs money, so a report is sent once to each other
// zone, and the receiver relays it within its zone. Heartbeats go to the nodes
// directly, so liveness does not depend on relays.
void peer_reporter::SendToRelays(report_content content) {
  SendToOneOfEachZone(MakeDatagram(content, boot_clock::Now(), own_relay_key_));
}

void peer_reporter::SendToOneOfEachZone(std::string_view datagram) {
  const millis now = boot_clock::Now();
  std::vector<const udp::endpoint*> others;
  std::vector<relay_candidate> candidates;
  for (const auto& [remote, state] : peers_) {
    if (Includes(recipients::kOtherZones, state, now)) {
      others.push_back(&remote);
      candidates.push_back({state.zone, state.relay_key});
    }
  }
  for (const size_t chosen :
       ChooseRelays(candidates, zone_, wall_clock::Now(), node_->random)) {
    SendTo(*others[chosen], datagram);
  }
}

void peer_reporter::RelayInZone(std::string_view datagram) {
  to_relay_.emplace_back(datagram);
  SendPaced(relayed_reports_, kRelayInterval, [this]() {
    const millis now = boot_clock::Now();
    for (const std::string& batch : JoinReports(std::exchange(to_relay_, {}))) {
      SendToEach(recipients::kZone, batch, now);
    }
  });
}

}  // namespace peridotarch
