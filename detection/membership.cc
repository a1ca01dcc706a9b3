#include "detection/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotarch {

namespace {

constexpr millis kDirectTimeout(60);    ///< Then other nodes are asked to ping.
constexpr millis kProbeTimeout(200);    ///< Then the probe has failed.
constexpr millis kSyncInterval(5'000);  ///< Mean time between table exchanges.
constexpr millis kFastSyncDelay(150);   ///< While a table is being fetched.
constexpr size_t kFastSyncRecords = 4;  ///< New records that cause a fast sync.
constexpr millis kRelayTimeout(1'000);
constexpr millis kGoneMemory(900'000);  ///< How long a gone node is remembered.
constexpr int kMaxHealthPenalty = 8;
constexpr size_t kIndirectProbes = 3;
constexpr size_t kOpinions = 3;
constexpr size_t kMaxProbeResults = 10;
constexpr size_t kMinProbeResults = 5;
/// Shares of failed probes at which self-doubt begins and ends.
constexpr double kDoubtShare = 0.7;
constexpr double kTrustShare = 0.35;

// The record of the later process wins. Within a process the higher version
// wins, and with equal versions the worse state; but kLeft is final. Only the
// node itself raises its version, so only it can refute a suspicion.
bool Supersedes(const member_record& heard, const member_record& held) {
  if (heard.incarnation != held.incarnation) {
    return heard.incarnation > held.incarnation;
  }
  if (held.state == member_state::kLeft) {
    return false;
  }
  if (heard.version != held.version) {
    return heard.version > held.version;
  }
  return heard.state > held.state;
}

// Within one process the revision in force never decreases.
void KeepNewerRevision(member_record& held, const member_record& other) {
  if (other.incarnation == held.incarnation && other.revision > held.revision) {
    held.revision = other.revision;
    held.digest = other.digest;
  }
}

std::string Location(const member_record& record) {
  return record.address + ":" + std::to_string(record.port) + " in " +
         record.zone;
}

}  // namespace

membership::membership(member_record self, uint64_t seed)
    : self_(std::move(self)), random_(seed) {
  self_.state = member_state::kAlive;
  self_.version = 1;
  gossip_queue_.AddMember(self_);
}

void membership::SetRevision(uint64_t revision, uint64_t digest) {
  if (revision == self_.revision && digest == self_.digest) {
    return;
  }
  self_.revision = revision;
  self_.digest = digest;
  gossip_queue_.AddRevision({ShortHash(self_.id), revision});
}

void membership::SetSelfDoubt(bool doubts) {
  instances_cause_doubt_ = doubts;
  UpdateSelfDoubt();
}

std::vector<outgoing_gossip> membership::SetSeeds(std::span<const host> hosts,
                                                  millis now) {
  std::vector<host> seeds;
  for (const host& listed : hosts) {
    if (listed.service == kFleetService && listed.id != self_.id) {
      seeds.push_back(listed);
    }
  }
  const bool first = seeds_.empty() && !seeds.empty();
  seeds_ = std::move(seeds);
  std::vector<outgoing_gossip> actions;
  if (first) {
    StartSync(now, actions);
    StartSync(now, actions);
  }
  return actions;
}

std::vector<outgoing_gossip> membership::Tick(millis now) {
  std::vector<outgoing_gossip> actions;
  CheckProbes(now, actions);
  if (now >= next_probe_at_ && !is_leaving_) {
    next_probe_at_ = now + kProbeInterval;
    ExpireMembers(now);
    ProbeNext(now, actions);
  }
  if (now >= next_sync_at_ && !is_leaving_) {
    next_sync_at_ =
        now + kSyncInterval / 2 +
        millis(static_cast<int64_t>(random_.Below(kSyncInterval.count())));
    StartSync(now, actions);
  }
  return actions;
}

std::vector<outgoing_gossip> membership::OnMessage(
    const gossip_message& message, millis now) {
  std::vector<outgoing_gossip> actions;
  if (message.sender.id == self_.id) {
    return actions;
  }
  const uint64_t version = self_.version;
  Merge(message.sender, now);
  size_t learned = 0;
  for (const member_record& record : message.members) {
    learned += Merge(record, now) ? 1 : 0;
  }
  if (self_.version != version && !is_leaving_) {
    // The sender believes that this node is suspect or dead, so refute that
    // belief at once.
    actions.push_back({message.sender.address, message.sender.port,
                       Compose(gossip_kind::kPing)});
  }
  for (const revision_note& note : message.revisions) {
    MergeRevision(note);
  }
  for (const leaving_note& note : message.leaving) {
    if (gossip_queue_.AddLeaving(note, now)) {
      reported_leaving_.push_back(note);
    }
  }
  switch (message.kind) {
    case gossip_kind::kPing: {
      gossip_message ack = ComposeFor(gossip_kind::kAck, message.sender.id);
      ack.number = message.number;
      actions.push_back(
          {message.sender.address, message.sender.port, std::move(ack)});
      break;
    }
    case gossip_kind::kAck:
      OnAck(message, now, actions);
      break;
    case gossip_kind::kPingRequest:
      OnPingRequest(message, now, actions);
      break;
    case gossip_kind::kSync:
      OnSync(message, actions);
      break;
    case gossip_kind::kOpinionRequest:
      for (const opinion_note& note : message.opinions) {
        gossip_message answer = Compose(gossip_kind::kOpinion);
        answer.number = message.number;
        answer.opinions.push_back(note);
        opinion_requests_.push_back(
            {message.sender.address, message.sender.port, std::move(answer)});
      }
      break;
    case gossip_kind::kOpinion:
      received_opinions_.insert(received_opinions_.end(),
                                message.opinions.begin(),
                                message.opinions.end());
      break;
    case gossip_kind::kSyncReply:
      // Many new records suggest that more of the table differs. This way a
      // node that has just joined fetches the table in quick steps.
      if (learned >= kFastSyncRecords) {
        next_sync_at_ = std::min(next_sync_at_, now + kFastSyncDelay);
      }
      break;
    case gossip_kind::kLeave:
      break;
  }
  return actions;
}

// Each message carries the sender's record, which now has the state kLeft.
// Peers spread that record like any other, so a departure needs no note of its
// own.
std::vector<outgoing_gossip> membership::Leave(millis now) {
  is_leaving_ = true;
  self_.state = member_state::kLeft;
  IncrementVersion();
  std::vector<outgoing_gossip> actions;
  for (const entry* peer : PickRandomLive(kIndirectProbes * 2, self_.id)) {
    actions.push_back({peer->record.address, peer->record.port,
                       Compose(gossip_kind::kLeave)});
  }
  (void)now;
  return actions;
}

std::vector<outgoing_gossip> membership::AskOpinions(const opinion_note& about,
                                                     millis /*now*/) {
  std::vector<outgoing_gossip> actions;
  for (const entry* peer : PickRandomLive(kOpinions, self_.id)) {
    gossip_message question = Compose(gossip_kind::kOpinionRequest);
    question.number = next_number_++;
    question.opinions.push_back(about);
    actions.push_back(
        {peer->record.address, peer->record.port, std::move(question)});
  }
  return actions;
}

void membership::SpreadLeaving(const leaving_note& note, millis now) {
  gossip_queue_.AddLeaving(note, now);
}

std::vector<member> membership::Members() const {
  std::vector<member> live;
  bool self_added = false;
  for (const auto& [id, known] : members_) {
    if (!self_added && self_.id < id) {
      live.push_back({self_, true});
      self_added = true;
    }
    if (IsLive(known.record)) {
      live.push_back({known.record, known.answers_directly});
    }
  }
  if (!self_added) {
    live.push_back({self_, true});
  }
  return live;
}

std::vector<member_change> membership::TakeChanges() {
  return std::exchange(changes_, {});
}

std::vector<leaving_note> membership::TakeLeavingInstances() {
  return std::exchange(reported_leaving_, {});
}

std::vector<opinion_note> membership::TakeOpinions() {
  return std::exchange(received_opinions_, {});
}

std::vector<outgoing_gossip> membership::TakeOpinionRequests() {
  return std::exchange(opinion_requests_, {});
}

bool membership::Merge(const member_record& heard, millis now) {
  if (heard.id == self_.id) {
    MergeSelf(heard);
    return false;
  }
  const auto it = members_.find(heard.id);
  if (it == members_.end()) {
    if (heard.state == member_state::kDead) {
      return false;
    }
    members_.emplace(heard.id,
                     entry{heard, now, now + SuspicionTimeout(), true});
    id_by_hash_[ShortHash(heard.id)] = heard.id;
    gossip_queue_.AddMember(heard);
    if (IsLive(heard)) {
      Announce(heard, member_event::kJoined, Location(heard));
    }
    return true;
  }
  entry& held = it->second;
  if (!Supersedes(heard, held.record)) {
    const uint64_t revision = held.record.revision;
    KeepNewerRevision(held.record, heard);
    if (held.record.revision != revision) {
      gossip_queue_.AddRevision({ShortHash(heard.id), held.record.revision});
    }
    return false;
  }
  const member_record before = std::exchange(held.record, heard);
  KeepNewerRevision(held.record, before);
  gossip_queue_.AddMember(held.record);
  if (heard.state != before.state || heard.incarnation != before.incarnation) {
    held.state_since = now;
    held.suspected_until = now + SuspicionTimeout();
  }
  AnnounceStateChange(before, heard);
  return true;
}

void membership::AnnounceStateChange(const member_record& before,
                                     const member_record& after) {
  if (after.doubts && !before.doubts) {
    Announce(after, member_event::kDoubts, "the node says so");
  }
  if (after.incarnation != before.incarnation && IsLive(after)) {
    Announce(after, member_event::kJoined,
             "a new process at " + Location(after));
    return;
  }
  if (after.state == before.state) {
    return;
  }
  if (!IsLive(after)) {
    Announce(after, member_event::kLeft,
             after.state == member_state::kLeft ? "the node said so"
                                                : "a peer says so");
  } else if (after.state == member_state::kSuspect) {
    Announce(after, member_event::kSuspected, "a peer says so");
  } else {
    Announce(after,
             IsLive(before) ? member_event::kCleared : member_event::kJoined,
             "the node answered");
  }
}

// Only this node decides about its own record: it refutes other beliefs by a
// higher version. Being suspected is also a sign of its own poor health.
void membership::MergeSelf(const member_record& heard) {
  if (heard.incarnation != self_.incarnation || is_leaving_) {
    return;
  }
  if (heard.state == member_state::kAlive && heard.version <= self_.version) {
    return;
  }
  if (heard.version < self_.version) {
    return;
  }
  self_.version = heard.version;
  IncrementVersion();
  health_penalty_ = std::min(health_penalty_ + 1, kMaxHealthPenalty);
}

void membership::MergeRevision(const revision_note& note) {
  const auto id = id_by_hash_.find(note.node);
  if (id == id_by_hash_.end()) {
    return;
  }
  const auto it = members_.find(id->second);
  if (it != members_.end() && it->second.record.revision < note.revision) {
    it->second.record.revision = note.revision;
    it->second.record.digest = 0;
    gossip_queue_.AddRevision(note);
  }
}

void membership::MarkSuspect(entry& suspected, millis now) {
  if (suspected.record.state != member_state::kAlive) {
    return;
  }
  suspected.record.state = member_state::kSuspect;
  suspected.state_since = now;
  suspected.suspected_until = now + SuspicionTimeout() * (1 + health_penalty_);
  gossip_queue_.AddMember(suspected.record);
  Announce(suspected.record, member_event::kSuspected,
           "no answer, neither directly nor through peers");
}

void membership::Announce(const member_record& record, member_event event,
                          std::string detail) {
  changes_.push_back({record.id, record.incarnation, event, std::move(detail)});
}

void membership::IncrementVersion() {
  ++self_.version;
  gossip_queue_.AddMember(self_);
}

void membership::UpdateSelfDoubt() {
  const auto failed = static_cast<double>(
      std::count(probe_results_.begin(), probe_results_.end(), false));
  const auto total = static_cast<double>(probe_results_.size());
  const double bound = self_.doubts ? kTrustShare : kDoubtShare;
  const bool probes_doubt =
      probe_results_.size() >= kMinProbeResults && failed >= bound * total;
  const bool doubts = probes_doubt || instances_cause_doubt_;
  if (doubts == self_.doubts) {
    return;
  }
  self_.doubts = doubts;
  IncrementVersion();
  Announce(
      self_, doubts ? member_event::kDoubts : member_event::kCleared,
      std::to_string(static_cast<int>(failed)) + " of " +
          std::to_string(probe_results_.size()) + " probes failed" +
          (instances_cause_doubt_ ? ", most instances fail from here" : ""));
}

// Each shuffled round probes every node once, which bounds how long a crash
// goes unnoticed.
void membership::ProbeNext(millis now, std::vector<outgoing_gossip>& actions) {
  for (int tries = 0; tries < 2; ++tries) {
    while (!probe_order_.empty()) {
      const std::string id = std::move(probe_order_.back());
      probe_order_.pop_back();
      const auto it = members_.find(id);
      if (it == members_.end() || !IsLive(it->second.record)) {
        continue;
      }
      gossip_message ping = ComposeFor(gossip_kind::kPing, id);
      ping.number = next_number_++;
      probes_.push_back({id, ping.number, now, false});
      actions.push_back(
          {it->second.record.address, it->second.record.port, std::move(ping)});
      return;
    }
    for (const auto& [id, known] : members_) {
      if (IsLive(known.record)) {
        probe_order_.push_back(id);
      }
    }
    for (size_t i = probe_order_.size(); i > 1; --i) {
      std::swap(probe_order_[i - 1], probe_order_[random_.Below(i)]);
    }
  }
}

void membership::CheckProbes(millis now,
                             std::vector<outgoing_gossip>& actions) {
  const millis direct_timeout = kDirectTimeout * (1 + health_penalty_);
  const millis probe_timeout = kProbeTimeout * (1 + health_penalty_);
  for (probe& pending : probes_) {
    if (!pending.is_indirect && now - pending.sent_at >= direct_timeout) {
      pending.is_indirect = true;
      RequestIndirectProbes(pending, actions);
    }
  }
  std::vector<probe> failed;
  std::erase_if(probes_, [&](const probe& pending) {
    if (now - pending.sent_at < probe_timeout) {
      return false;
    }
    failed.push_back(pending);
    return true;
  });
  for (const probe& ended : failed) {
    EndProbe(ended, false, now);
  }
}

void membership::RequestIndirectProbes(probe& late,
                                       std::vector<outgoing_gossip>& actions) {
  const auto it = members_.find(late.target);
  if (it == members_.end()) {
    return;
  }
  it->second.answers_directly = false;
  for (const entry* peer : PickRandomLive(kIndirectProbes, late.target)) {
    gossip_message request = ComposeFor(gossip_kind::kPingRequest, {});
    request.number = late.number;
    request.target = late.target;
    request.target_address = it->second.record.address;
    request.target_port = it->second.record.port;
    actions.push_back(
        {peer->record.address, peer->record.port, std::move(request)});
  }
}

void membership::EndProbe(const probe& ended, bool answered, millis now) {
  probe_results_.push_back(answered);
  if (probe_results_.size() > kMaxProbeResults) {
    probe_results_.pop_front();
  }
  health_penalty_ = answered ? std::max(health_penalty_ - 1, 0)
                             : std::min(health_penalty_ + 1, kMaxHealthPenalty);
  UpdateSelfDoubt();
  const auto it = members_.find(ended.target);
  if (!answered && it != members_.end()) {
    MarkSuspect(it->second, now);
  }
}

void membership::ExpireMembers(millis now) {
  live_count_ = 0;
  for (auto& [id, known] : members_) {
    live_count_ += IsLive(known.record) ? 1 : 0;
    if (known.record.state == member_state::kSuspect &&
        now >= known.suspected_until) {
      known.record.state = member_state::kDead;
      known.state_since = now;
      gossip_queue_.AddMember(known.record);
      Announce(known.record, member_event::kLeft,
               "the suspicion was not refuted");
    }
  }
  std::erase_if(members_, [&](const auto& item) {
    return !IsLive(item.second.record) &&
           now - item.second.state_since > kGoneMemory;
  });
  std::erase_if(relays_, [&](const auto& item) {
    return now - item.second.sent_at > kRelayTimeout;
  });
  gossip_queue_.Forget(now);
}

void membership::OnAck(const gossip_message& message, millis now,
                       std::vector<outgoing_gossip>& actions) {
  const auto relayed = relays_.find(message.number);
  if (relayed != relays_.end()) {
    gossip_message ack = Compose(gossip_kind::kAck);
    ack.number = relayed->second.number;
    ack.target = message.sender.id;
    actions.push_back(
        {relayed->second.address, relayed->second.port, std::move(ack)});
    relays_.erase(relayed);
    return;
  }
  const auto it = std::find_if(
      probes_.begin(), probes_.end(),
      [&](const probe& pending) { return pending.number == message.number; });
  if (it == probes_.end()) {
    return;
  }
  const probe ended = *it;
  probes_.erase(it);
  const auto target = members_.find(ended.target);
  if (target != members_.end() && message.sender.id == ended.target) {
    target->second.answers_directly = true;
  }
  EndProbe(ended, true, now);
}

void membership::OnPingRequest(const gossip_message& message, millis now,
                               std::vector<outgoing_gossip>& actions) {
  gossip_message ping = ComposeFor(gossip_kind::kPing, message.target);
  ping.number = next_number_++;
  relays_[ping.number] = {message.sender.address, message.sender.port,
                          message.number, now};
  actions.push_back(
      {message.target_address, message.target_port, std::move(ping)});
}

gossip_message membership::Compose(gossip_kind kind) {
  gossip_message message;
  message.kind = kind;
  message.sender = self_;
  return message;
}

// If this node believes that the receiver is suspect or dead, the message says
// so, so that the receiver can refute that belief at once.
gossip_message membership::ComposeFor(gossip_kind kind,
                                      const std::string& receiver) {
  gossip_message message = Compose(kind);
  const auto it = members_.find(receiver);
  if (it != members_.end() && it->second.record.state != member_state::kAlive) {
    message.members.push_back(it->second.record);
  }
  const auto size = static_cast<double>(live_count_ + 1);
  gossip_queue_.Fill(message, 4 + static_cast<int>(std::log2(size)));
  return message;
}

std::vector<const membership::entry*> membership::PickRandomLive(
    size_t count, std::string_view except) {
  std::vector<const entry*> live;
  for (const auto& [id, known] : members_) {
    if (IsLive(known.record) && id != except) {
      live.push_back(&known);
    }
  }
  for (size_t i = 0; i < std::min(count, live.size()); ++i) {
    std::swap(live[i], live[i + random_.Below(live.size() - i)]);
  }
  if (live.size() > count) {
    live.resize(count);
  }
  return live;
}

// Long enough for the suspicion to reach the suspected node and for its
// refutation to come back. Both take a number of rounds that grows with the
// logarithm of the fleet's size.
millis membership::SuspicionTimeout() const {
  const auto size = static_cast<double>(members_.size() + 2);
  const double rounds = 2.0 + 2.0 * std::log2(size);
  return millis(static_cast<int64_t>(
      rounds * static_cast<double>(kProbeInterval.count()) * 0.5));
}

}  // namespace peridotarch
