#include "detection/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotarch {

namespace {

constexpr millis kDirectTimeout(60);    ///< Until others are asked to probe.
constexpr millis kProbeTimeout(200);    ///< Until a probe has failed.
constexpr millis kSyncInterval(5'000);  ///< Between exchanges of tables.
constexpr millis kQuickSync(150);       ///< While a table is being fetched.
constexpr size_t kManyLearned = 4;
constexpr millis kRelayKept(1'000);
constexpr millis kGoneKept(900'000);  ///< Gone nodes are remembered as such.
constexpr int kWorstHealth = 8;
constexpr size_t kIndirectProbes = 3;
constexpr size_t kOpinions = 3;
constexpr size_t kOutcomesKept = 10;
constexpr size_t kOutcomesNeeded = 5;
constexpr double kDoubtShare = 0.7;   ///< Failed probes that raise doubt.
constexpr double kTrustShare = 0.35;  ///< Failed probes that end it.

// A later process wins, then what the node last said of itself, then the worse
// belief: only the node itself can contradict a suspicion, by a new version.
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

// The revision in force never falls within a process.
void KeepNewerRevision(member_record& held, const member_record& other) {
  if (other.incarnation == held.incarnation && other.revision > held.revision) {
    held.revision = other.revision;
    held.digest = other.digest;
  }
}

std::string At(const member_record& record) {
  return record.address + ":" + std::to_string(record.port) + " in " +
         record.zone;
}

}  // namespace

membership::membership(member_record self, uint64_t seed)
    : self_(std::move(self)), random_(seed) {
  self_.state = member_state::kAlive;
  self_.version = 1;
  rumours_.AddMember(self_);
}

void membership::SetRevision(uint64_t revision, uint64_t digest) {
  if (revision == self_.revision && digest == self_.digest) {
    return;
  }
  self_.revision = revision;
  self_.digest = digest;
  rumours_.AddRevision({ShortHash(self_.id), revision});
}

void membership::SetSelfDoubt(bool doubts) {
  judge_doubts_ = doubts;
  SetOwnDoubts();
}

std::vector<outgoing_gossip> membership::SetSeeds(std::span<const host> hosts,
                                                  millis now) {
  std::vector<host> seeds;
  for (const host& each : hosts) {
    if (each.service == kFleetService && each.id != self_.id) {
      seeds.push_back(each);
    }
  }
  const bool first = seeds_.empty() && !seeds.empty();
  seeds_ = std::move(seeds);
  std::vector<outgoing_gossip> actions;
  if (first) {
    SyncSomeone(now, actions);
    SyncSomeone(now, actions);
  }
  return actions;
}

std::vector<outgoing_gossip> membership::Tick(millis now) {
  std::vector<outgoing_gossip> actions;
  CheckProbes(now, actions);
  if (now >= next_probe_ && !leaving_) {
    next_probe_ = now + kProbeInterval;
    Sweep(now);
    ProbeNext(now, actions);
  }
  if (now >= next_sync_ && !leaving_) {
    next_sync_ =
        now + kSyncInterval / 2 +
        millis(static_cast<int64_t>(random_.Below(kSyncInterval.count())));
    SyncSomeone(now, actions);
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
  if (self_.version != version && !leaving_) {
    // The sender held this node for suspect or dead: it learns better at once.
    actions.push_back({message.sender.address, message.sender.port,
                       Compose(gossip_kind::kPing)});
  }
  for (const revision_note& note : message.revisions) {
    MergeRevision(note);
  }
  for (const leaving_note& note : message.leaving) {
    if (rumours_.AddLeaving(note, now)) {
      heard_leaving_.push_back(note);
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
      heard_opinions_.insert(heard_opinions_.end(), message.opinions.begin(),
                             message.opinions.end());
      break;
    case gossip_kind::kSyncReply:
      // Much was new, so more is likely to differ: a node that has just joined
      // fetches the table in quick steps.
      if (learned >= kManyLearned) {
        next_sync_ = std::min(next_sync_, now + kQuickSync);
      }
      break;
    case gossip_kind::kLeave:
      break;
  }
  return actions;
}

// The record of a node that leaves says so, so the word needs no kind of its
// own once it has been passed on.
std::vector<outgoing_gossip> membership::Leave(millis now) {
  leaving_ = true;
  self_.state = member_state::kLeft;
  RaiseVersion();
  std::vector<outgoing_gossip> actions;
  for (const entry* each : PickLive(kIndirectProbes * 2, self_.id)) {
    actions.push_back({each->record.address, each->record.port,
                       Compose(gossip_kind::kLeave)});
  }
  (void)now;
  return actions;
}

std::vector<outgoing_gossip> membership::AskOpinions(const opinion_note& about,
                                                     millis /*now*/) {
  std::vector<outgoing_gossip> actions;
  for (const entry* each : PickLive(kOpinions, self_.id)) {
    gossip_message question = Compose(gossip_kind::kOpinionRequest);
    question.number = next_number_++;
    question.opinions.push_back(about);
    actions.push_back(
        {each->record.address, each->record.port, std::move(question)});
  }
  return actions;
}

void membership::SpreadLeaving(const leaving_note& note, millis now) {
  rumours_.AddLeaving(note, now);
}

std::vector<member> membership::Members() const {
  std::vector<member> live;
  bool self_added = false;
  for (const auto& [id, each] : members_) {
    if (!self_added && self_.id < id) {
      live.push_back({self_, true});
      self_added = true;
    }
    if (IsLive(each.record)) {
      live.push_back({each.record, each.direct});
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
  return std::exchange(heard_leaving_, {});
}

std::vector<opinion_note> membership::TakeOpinions() {
  return std::exchange(heard_opinions_, {});
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
    members_.emplace(heard.id, entry{heard, now, now + SuspicionSpan(), true});
    ids_by_hash_[ShortHash(heard.id)] = heard.id;
    rumours_.AddMember(heard);
    if (IsLive(heard)) {
      Announce(heard, member_event::kJoined, At(heard));
    }
    return true;
  }
  entry& held = it->second;
  if (!Supersedes(heard, held.record)) {
    const uint64_t revision = held.record.revision;
    KeepNewerRevision(held.record, heard);
    if (held.record.revision != revision) {
      rumours_.AddRevision({ShortHash(heard.id), held.record.revision});
    }
    return false;
  }
  const member_record before = std::exchange(held.record, heard);
  KeepNewerRevision(held.record, before);
  rumours_.AddMember(held.record);
  if (heard.state != before.state || heard.incarnation != before.incarnation) {
    held.since = now;
    held.confirmed_by = now + SuspicionSpan();
  }
  AnnounceTurn(before, heard);
  return true;
}

void membership::AnnounceTurn(const member_record& before,
                              const member_record& after) {
  if (after.doubts && !before.doubts) {
    Announce(after, member_event::kDoubts, "it says so");
  }
  if (after.incarnation != before.incarnation && IsLive(after)) {
    Announce(after, member_event::kJoined, "a new process at " + At(after));
    return;
  }
  if (after.state == before.state) {
    return;
  }
  if (!IsLive(after)) {
    Announce(
        after, member_event::kLeft,
        after.state == member_state::kLeft ? "it said so" : "a peer says so");
  } else if (after.state == member_state::kSuspect) {
    Announce(after, member_event::kSuspected, "a peer says so");
  } else {
    Announce(after,
             IsLive(before) ? member_event::kCleared : member_event::kJoined,
             "it answered");
  }
}

// Only this node speaks for itself: what others believe is answered by a higher
// version, and being suspected says something about this node's own health.
void membership::MergeSelf(const member_record& heard) {
  if (heard.incarnation != self_.incarnation || leaving_) {
    return;
  }
  if (heard.state == member_state::kAlive && heard.version <= self_.version) {
    return;
  }
  if (heard.version < self_.version) {
    return;
  }
  self_.version = heard.version;
  RaiseVersion();
  health_ = std::min(health_ + 1, kWorstHealth);
}

void membership::MergeRevision(const revision_note& note) {
  const auto id = ids_by_hash_.find(note.node);
  if (id == ids_by_hash_.end()) {
    return;
  }
  const auto it = members_.find(id->second);
  if (it != members_.end() && it->second.record.revision < note.revision) {
    it->second.record.revision = note.revision;
    it->second.record.digest = 0;
    rumours_.AddRevision(note);
  }
}

void membership::Suspect(entry& suspected, millis now) {
  if (suspected.record.state != member_state::kAlive) {
    return;
  }
  suspected.record.state = member_state::kSuspect;
  suspected.since = now;
  suspected.confirmed_by = now + SuspicionSpan() * (1 + health_);
  rumours_.AddMember(suspected.record);
  Announce(suspected.record, member_event::kSuspected,
           "no answer, also not through others");
}

void membership::Announce(const member_record& record, member_event what,
                          std::string detail) {
  changes_.push_back({record.id, record.incarnation, what, std::move(detail)});
}

void membership::RaiseVersion() {
  ++self_.version;
  rumours_.AddMember(self_);
}

void membership::SetOwnDoubts() {
  const auto failed = static_cast<double>(
      std::count(answered_.begin(), answered_.end(), false));
  const auto total = static_cast<double>(answered_.size());
  const double bound = self_.doubts ? kTrustShare : kDoubtShare;
  const bool probes_doubt =
      answered_.size() >= kOutcomesNeeded && failed >= bound * total;
  const bool doubts = probes_doubt || judge_doubts_;
  if (doubts == self_.doubts) {
    return;
  }
  self_.doubts = doubts;
  RaiseVersion();
  Announce(self_, doubts ? member_event::kDoubts : member_event::kCleared,
           std::to_string(static_cast<int>(failed)) + " of " +
               std::to_string(answered_.size()) + " probes failed" +
               (judge_doubts_ ? ", most instances fail from here" : ""));
}

// A shuffled round reaches every node once, which bounds how long a crash goes
// unnoticed.
void membership::ProbeNext(millis now, std::vector<outgoing_gossip>& actions) {
  for (int tries = 0; tries < 2; ++tries) {
    while (!ring_.empty()) {
      const std::string id = std::move(ring_.back());
      ring_.pop_back();
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
    for (const auto& [id, each] : members_) {
      if (IsLive(each.record)) {
        ring_.push_back(id);
      }
    }
    for (size_t i = ring_.size(); i > 1; --i) {
      std::swap(ring_[i - 1], ring_[random_.Below(i)]);
    }
  }
}

void membership::CheckProbes(millis now,
                             std::vector<outgoing_gossip>& actions) {
  const millis direct = kDirectTimeout * (1 + health_);
  const millis whole = kProbeTimeout * (1 + health_);
  for (probe& each : probes_) {
    if (!each.indirect && now - each.sent >= direct) {
      each.indirect = true;
      AskIndirect(each, actions);
    }
  }
  std::vector<probe> failed;
  std::erase_if(probes_, [&](const probe& each) {
    if (now - each.sent < whole) {
      return false;
    }
    failed.push_back(each);
    return true;
  });
  for (const probe& each : failed) {
    EndProbe(each, false, now);
  }
}

void membership::AskIndirect(probe& late,
                             std::vector<outgoing_gossip>& actions) {
  const auto it = members_.find(late.target);
  if (it == members_.end()) {
    return;
  }
  it->second.direct = false;
  for (const entry* each : PickLive(kIndirectProbes, late.target)) {
    gossip_message request = ComposeFor(gossip_kind::kPingRequest, {});
    request.number = late.number;
    request.target = late.target;
    request.target_address = it->second.record.address;
    request.target_port = it->second.record.port;
    actions.push_back(
        {each->record.address, each->record.port, std::move(request)});
  }
}

void membership::EndProbe(const probe& ended, bool answered, millis now) {
  answered_.push_back(answered);
  if (answered_.size() > kOutcomesKept) {
    answered_.pop_front();
  }
  health_ =
      answered ? std::max(health_ - 1, 0) : std::min(health_ + 1, kWorstHealth);
  SetOwnDoubts();
  const auto it = members_.find(ended.target);
  if (!answered && it != members_.end()) {
    Suspect(it->second, now);
  }
}

void membership::Sweep(millis now) {
  live_ = 0;
  for (auto& [id, each] : members_) {
    live_ += IsLive(each.record) ? 1 : 0;
    if (each.record.state == member_state::kSuspect &&
        now >= each.confirmed_by) {
      each.record.state = member_state::kDead;
      each.since = now;
      rumours_.AddMember(each.record);
      Announce(each.record, member_event::kLeft, "it did not refute");
    }
  }
  std::erase_if(members_, [&](const auto& each) {
    return !IsLive(each.second.record) && now - each.second.since > kGoneKept;
  });
  std::erase_if(relays_, [&](const auto& each) {
    return now - each.second.sent > kRelayKept;
  });
  rumours_.Forget(now);
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
      [&](const probe& each) { return each.number == message.number; });
  if (it == probes_.end()) {
    return;
  }
  const probe ended = *it;
  probes_.erase(it);
  const auto target = members_.find(ended.target);
  if (target != members_.end() && message.sender.id == ended.target) {
    target->second.direct = true;
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

// A receiver that this node holds for suspect or dead learns it at once, so
// that it can refute.
gossip_message membership::ComposeFor(gossip_kind kind,
                                      const std::string& receiver) {
  gossip_message message = Compose(kind);
  const auto it = members_.find(receiver);
  if (it != members_.end() && it->second.record.state != member_state::kAlive) {
    message.members.push_back(it->second.record);
  }
  const auto size = static_cast<double>(live_ + 1);
  rumours_.Fill(message, 4 + static_cast<int>(std::log2(size)));
  return message;
}

std::vector<const membership::entry*> membership::PickLive(
    size_t count, std::string_view except) {
  std::vector<const entry*> live;
  for (const auto& [id, each] : members_) {
    if (IsLive(each.record) && id != except) {
      live.push_back(&each);
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

// Long enough for the suspicion to reach its subject and the refutation to come
// back; both take a number of rounds that grows with the logarithm of the
// fleet.
millis membership::SuspicionSpan() const {
  const auto size = static_cast<double>(members_.size() + 2);
  const double rounds = 2.0 + 2.0 * std::log2(size);
  return millis(static_cast<int64_t>(
      rounds * static_cast<double>(kProbeInterval.count()) * 0.5));
}

}  // namespace peridotarch
