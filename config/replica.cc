#include "config/replica.h"

#include <algorithm>
#include <utility>

#include "core/error.h"
#include "core/invariant.h"

namespace peridotarch {

namespace {

constexpr millis kFirstRetry{100};
constexpr millis kLastRetry{1000};
constexpr millis kStaleRetry{300};
// Between reads that bring nothing, should the log not wait or answer twice.
constexpr millis kIdlePause{50};
constexpr millis kAnchorWait{5000};
constexpr millis kPeerBehind{5000};
constexpr millis kVerifyInterval{30'000};
constexpr millis kDoubtAgain{60'000};
constexpr size_t kMaxSteps = 32;
constexpr size_t kMaxBundleBytes = size_t{64} << 10;

}  // namespace

replica::replica(const replica_settings& settings)
    : settings_(settings),
      log_(settings.fleet_key),
      peers_(settings.seed ^ 1),
      renewal_(settings.log_retention, settings.seed ^ 2),
      random_(settings.seed ^ 3) {}

replica_actions replica::Tick(millis now) {
  replica_actions actions;
  if (!started_) {
    started_ = now;
    last_heard_ = now;
    read_at_ = now;
  }
  Advance(now, actions);
  return actions;
}

replica_actions replica::OnLogPage(const log_page& page, millis now) {
  replica_actions actions;
  reading_since_.reset();
  const uint64_t before = log_.next_offset();
  const follow_result result = log_.OnPage(page, now);
  if (result.is_stale) {
    read_at_ = now + kStaleRetry;
    Advance(now, actions);
    return actions;
  }
  const bool progress = log_.next_offset() != before;
  const millis pause = log_.caught_up() ? kIdlePause : kStaleRetry;
  read_at_ = progress ? now : now + pause;
  retry_delay_ = kFirstRetry;
  last_heard_ = now;
  for (const applied_record& applied : result.applied) {
    if (applied.is_start_point) {
      renewal_.OnSnapshot(now);
    }
    if (applied.outcome == apply_outcome::kAccepted) {
      const auto at =
          std::ranges::find(page.records, applied.offset, &log_record::offset);
      const decoded_record decoded =
          DecodeRecord(at->data, settings_.fleet_key);
      Remember({std::get<publish_record>(decoded.record).base, applied.id,
                at->data});
    }
  }
  if (log_.has_state()) {
    Consider(log_.head());
  }
  Advance(now, actions);
  return actions;
}

replica_actions replica::OnLogError(millis now) {
  replica_actions actions;
  reading_since_.reset();
  log_.Verify();  // It may come back reset.
  retry_delay_ = std::clamp(retry_delay_ * 2, kFirstRetry, kLastRetry);
  const auto jitter =
      random_.Below(static_cast<uint64_t>(retry_delay_.count() / 2));
  read_at_ = now + retry_delay_ / 2 + millis(static_cast<int64_t>(jitter));
  Advance(now, actions);
  return actions;
}

replica_actions replica::OnPeerHead(const std::string& node,
                                    const revision_id& head, millis now) {
  replica_actions actions;
  if (settings_.use_peers) {
    last_heard_ = now;
    peers_.UpdatePeer(node, head, now);
    Advance(now, actions);
  }
  return actions;
}

replica_actions replica::OnFetchAnswer(std::string_view bytes, millis now) {
  replica_actions actions;
  peers_.EndFetch();
  const decoded_record decoded = DecodeRecord(bytes, settings_.fleet_key);
  if (const auto* bundle = std::get_if<fetch_answer>(&decoded.record)) {
    last_heard_ = now;
    TakeParts(*bundle);
  }
  Advance(now, actions);
  return actions;
}

replica_actions replica::OnFetchError(millis now) {
  replica_actions actions;
  peers_.EndFetch();
  Advance(now, actions);
  return actions;
}

// The steps that lead from what the peer has to what is in force here, when
// they are all at hand and small; else the whole text.
std::string replica::AnswerFetch(const revision_id& have) const {
  fetch_answer bundle;
  size_t bytes = 0;
  revision_id at = have;
  for (const step& s : steps_) {
    if (s.from == at && at != in_force_.id) {
      bundle.records.push_back(s.bytes);
      bytes += s.bytes.size();
      at = s.to;
    }
  }
  const bool whole = have.number == 0 || have == in_force_.id ||
                     at != in_force_.id || bytes > kMaxBundleBytes;
  if (whole) {
    const bool is_head = log_.has_state() && log_.head().id == in_force_.id;
    bundle.records = {
        EncodeRecord(ToSnapshotRecord(in_force_, is_head, log_.position()),
                     settings_.fleet_key)};
  }
  return EncodeRecord(bundle, settings_.fleet_key);
}

// Keeps the highest number. Two revisions with one number exist only after a
// log reset; the log joins them.
void replica::Consider(const revision& found) {
  if (found.id.number > newest_.id.number) {
    newest_ = found;
  }
}

void replica::TakeParts(const fetch_answer& bundle) {
  for (const std::string& bytes : bundle.records) {
    const decoded_record decoded = DecodeRecord(bytes, settings_.fleet_key);
    bool taken = false;
    if (const auto* publish = std::get_if<publish_record>(&decoded.record)) {
      taken = TakePublish(*publish, bytes);
    } else if (const auto* snapshot =
                   std::get_if<snapshot_record>(&decoded.record)) {
      taken = TakeSnapshot(*snapshot);
    }
    if (!taken) {
      return;
    }
  }
}

bool replica::TakePublish(const publish_record& record,
                          const std::string& bytes) {
  if (record.base != newest_.id) {
    return false;
  }
  try {
    apply_outcome fault = apply_outcome::kAccepted;
    const revision made = ApplyPublish(newest_, record, &fault);
    Remember({record.base, made.id, bytes});
    Consider(made);
  } catch (const codec_error&) {
    return false;
  }
  return true;
}

bool replica::TakeSnapshot(const snapshot_record& record) {
  try {
    const revision found =
        record.id == newest_.id ? newest_ : FromSnapshotRecord(record);
    Consider(found);
    if (record.is_head) {
      log_.StartFrom(found, record.position);
    }
  } catch (const codec_error&) {
    return false;
  }
  return true;
}

void replica::Remember(step made) {
  steps_.push_back(std::move(made));
  if (steps_.size() > kMaxSteps) {
    steps_.pop_front();
  }
}

// Every event ends here: whatever is due by now is done.
void replica::Advance(millis now, replica_actions& actions) {
  if (!started_) {
    started_ = now;
    last_heard_ = now;
    read_at_ = now;
  }
  PutNewest(now, actions);
  FindAnchor(now);
  DoubtLog(now);
  Fetch(now, actions);
  Append(now, actions);
  Read(now, actions);
  Isolate(now, actions);
}

void replica::PutNewest(millis now, replica_actions& actions) {
  if (newest_.id == in_force_.id || HoldsStart(now)) {
    return;
  }
  Check(newest_.id.number > in_force_.id.number, invariant::kConfigForward);
  in_force_ = newest_;
  log_.SetKnown(in_force_);
  actions.emplace_back(put_in_force{in_force_});
}

// Either source alone may be old: the log's answer may come from an older
// replica, and a peer may be behind. A node that replaces another waits for
// both, for a short while, so that the fleet does not go back through it.
bool replica::HoldsStart(millis now) const {
  if (in_force_.id.number > 0 || now - *started_ >= kMaxStartWait) {
    return false;
  }
  const bool both = log_.caught_up() && peers_.size() > 0;
  return !both || peers_.NewestNumber() > newest_.id.number;
}

void replica::Fetch(millis now, replica_actions& actions) {
  if (!settings_.use_peers) {
    return;
  }
  const bool starting = newest_.id.number == 0;
  const auto node =
      peers_.ChoosePeer(newest_.id, starting, log_.found_no_snapshot(), now);
  if (node) {
    const revision_id have =
        log_.found_no_snapshot() ? revision_id() : newest_.id;
    actions.emplace_back(fetch_from_peer{*node, have});
  }
}

// The log lost the last snapshot and no peer knows the fold either: what the
// log still holds is all there is, and every reader starts from it.
void replica::FindAnchor(millis now) {
  if (!log_.found_no_snapshot()) {
    exhausted_since_.reset();
    return;
  }
  if (!exhausted_since_) {
    exhausted_since_ = now;
  }
  if (now - *exhausted_since_ >= kAnchorWait) {
    log_.StartAtOldest();
    exhausted_since_.reset();
  }
}

// Peers that stay behind although they hear us follow another log than the one
// that this node has folded: it was reset unseen. Folding anew shows it.
void replica::DoubtLog(millis now) {
  const auto behind = peers_.BehindSince(in_force_.id.number);
  if (!log_.caught_up() || !behind || now - *behind < kPeerBehind ||
      (doubted_at_ && now - *doubted_at_ < kDoubtAgain)) {
    return;
  }
  doubted_at_ = now;
  log_.Rescan();
}

void replica::Append(millis now, replica_actions& actions) {
  if (!renewal_.ShouldAppend(log_, in_force_.id, peers_.size(), now)) {
    return;
  }
  const bool is_head = log_.head().id == in_force_.id;
  const snapshot_record record =
      ToSnapshotRecord(in_force_, is_head, log_.position());
  actions.emplace_back(
      append_record{EncodeRecord(record, settings_.fleet_key)});
}

void replica::Read(millis now, replica_actions& actions) {
  const bool lost = reading_since_ && now - *reading_since_ >= kReadTimeout;
  if ((reading_since_ && !lost) || now < read_at_) {
    return;
  }
  reading_since_ = now;
  if (log_.caught_up() && now >= verify_at_) {
    log_.Verify();
    verify_at_ = now + kVerifyInterval;
  }
  const bool at_end = log_.caught_up() || log_.found_no_snapshot();
  const bool wait = at_end && !log_.is_verifying();
  actions.emplace_back(read_log{log_.next_offset(), wait});
}

void replica::Isolate(millis now, replica_actions& actions) {
  const millis serve = in_force_.snapshot->rule_set.isolation.serve;
  const bool isolated = in_force_.id.number > 0 && now - last_heard_ > serve;
  if (isolated != isolated_) {
    isolated_ = isolated;
    actions.emplace_back(set_isolated{isolated});
  }
}

}  // namespace peridotarch
