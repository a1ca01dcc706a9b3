#include "config/replica.h"

#include <algorithm>
#include <utility>

#include "core/error.h"
#include "core/invariant.h"

namespace peridotarch {

namespace {

constexpr millis kFirstRetryDelay{100};
constexpr millis kMaxRetryDelay{1000};
constexpr millis kStaleRetryDelay{300};
// Pause after a page without new records, in case the log does not wait or
// answers twice.
constexpr millis kIdlePause{50};
constexpr millis kSnapshotWait{5000};
constexpr millis kMaxPeerLag{5000};
constexpr millis kVerifyInterval{30'000};
constexpr millis kMinRescanInterval{60'000};
constexpr size_t kMaxSteps = 32;
constexpr size_t kMaxFetchAnswerBytes = size_t{64} << 10;

}  // namespace

replica::replica(const replica_settings& settings)
    : settings_(settings),
      follower_(settings.fleet_key),
      peers_(settings.seed ^ 1),
      scheduler_(settings.log_retention, settings.seed ^ 2),
      random_(settings.seed ^ 3) {}

replica_actions replica::Tick(millis now) {
  replica_actions actions;
  if (!started_at_) {
    started_at_ = now;
    last_heard_at_ = now;
    next_read_at_ = now;
  }
  Advance(now, actions);
  return actions;
}

replica_actions replica::OnLogPage(const log_page& page, millis now) {
  replica_actions actions;
  reading_since_.reset();
  const uint64_t before = follower_.next_offset();
  const follow_result result = follower_.OnPage(page, now);
  if (result.is_stale) {
    next_read_at_ = now + kStaleRetryDelay;
    Advance(now, actions);
    return actions;
  }
  const bool progress = follower_.next_offset() != before;
  const millis pause = follower_.caught_up() ? kIdlePause : kStaleRetryDelay;
  next_read_at_ = progress ? now : now + pause;
  retry_delay_ = kFirstRetryDelay;
  last_heard_at_ = now;
  for (const applied_record& applied : result.applied) {
    if (applied.is_start_point) {
      scheduler_.OnSnapshot(now);
    }
    if (applied.outcome == apply_outcome::kAccepted) {
      const auto at =
          std::ranges::find(page.records, applied.offset, &log_record::offset);
      const decoded_record decoded =
          DecodeRecord(at->data, settings_.fleet_key);
      RememberStep({std::get<publish_record>(decoded.record).base, applied.id,
                    at->data});
    }
  }
  if (follower_.has_state()) {
    OfferNewest(follower_.head());
  }
  Advance(now, actions);
  return actions;
}

replica_actions replica::OnLogError(millis now) {
  replica_actions actions;
  reading_since_.reset();
  follower_.Verify();  // The log may have been reset meanwhile.
  retry_delay_ = std::clamp(retry_delay_ * 2, kFirstRetryDelay, kMaxRetryDelay);
  const auto jitter =
      random_.Below(static_cast<uint64_t>(retry_delay_.count() / 2));
  next_read_at_ = now + retry_delay_ / 2 + millis(static_cast<int64_t>(jitter));
  Advance(now, actions);
  return actions;
}

replica_actions replica::OnPeerHead(const std::string& node,
                                    const revision_id& head, millis now) {
  replica_actions actions;
  if (settings_.use_peers) {
    last_heard_at_ = now;
    peers_.UpdatePeer(node, head, now);
    Advance(now, actions);
  }
  return actions;
}

replica_actions replica::OnFetchAnswer(std::string_view bytes, millis now) {
  replica_actions actions;
  peers_.EndFetch();
  const decoded_record decoded = DecodeRecord(bytes, settings_.fleet_key);
  if (const auto* answer = std::get_if<fetch_answer>(&decoded.record)) {
    last_heard_at_ = now;
    ApplyFetchAnswer(*answer);
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

// Answers with the records that lead from the peer's revision to the one in
// force here if all of them are in memory and small, else with a snapshot.
std::string replica::AnswerFetch(const revision_id& have) const {
  fetch_answer answer;
  size_t bytes = 0;
  revision_id at = have;
  for (const revision_step& s : steps_) {
    if (s.from == at && at != in_force_.id) {
      answer.records.push_back(s.bytes);
      bytes += s.bytes.size();
      at = s.to;
    }
  }
  const bool send_snapshot = have.number == 0 || have == in_force_.id ||
                             at != in_force_.id || bytes > kMaxFetchAnswerBytes;
  if (send_snapshot) {
    const bool is_head =
        follower_.has_state() && follower_.head().id == in_force_.id;
    answer.records = {
        EncodeRecord(ToSnapshotRecord(in_force_, is_head, follower_.position()),
                     settings_.fleet_key)};
  }
  return EncodeRecord(answer, settings_.fleet_key);
}

// Keeps the revision with the highest number. Two revisions with the same
// number exist only after a log reset; the revision chain joins them.
void replica::OfferNewest(const revision& found) {
  if (found.id.number > newest_.id.number) {
    newest_ = found;
  }
}

void replica::ApplyFetchAnswer(const fetch_answer& answer) {
  for (const std::string& bytes : answer.records) {
    const decoded_record decoded = DecodeRecord(bytes, settings_.fleet_key);
    bool taken = false;
    if (const auto* publish = std::get_if<publish_record>(&decoded.record)) {
      taken = ApplyPublishRecord(*publish, bytes);
    } else if (const auto* snapshot =
                   std::get_if<snapshot_record>(&decoded.record)) {
      taken = ApplySnapshotRecord(*snapshot);
    }
    if (!taken) {
      return;
    }
  }
}

bool replica::ApplyPublishRecord(const publish_record& record,
                                 const std::string& bytes) {
  if (record.base != newest_.id) {
    return false;
  }
  try {
    apply_outcome fault = apply_outcome::kAccepted;
    const revision made = ApplyPublish(newest_, record, &fault);
    RememberStep({record.base, made.id, bytes});
    OfferNewest(made);
  } catch (const codec_error&) {
    return false;
  }
  return true;
}

bool replica::ApplySnapshotRecord(const snapshot_record& record) {
  try {
    const revision found =
        record.id == newest_.id ? newest_ : FromSnapshotRecord(record);
    OfferNewest(found);
    if (record.is_head) {
      follower_.StartFrom(found, record.position);
    }
  } catch (const codec_error&) {
    return false;
  }
  return true;
}

void replica::RememberStep(revision_step made) {
  steps_.push_back(std::move(made));
  if (steps_.size() > kMaxSteps) {
    steps_.pop_front();
  }
}

// Does everything that is due at `now`; called at the end of every event.
void replica::Advance(millis now, replica_actions& actions) {
  if (!started_at_) {
    started_at_ = now;
    last_heard_at_ = now;
    next_read_at_ = now;
  }
  PutNewestInForce(now, actions);
  StartWithoutSnapshot(now);
  RescanIfPeersLag(now);
  FetchFromPeer(now, actions);
  AppendSnapshot(now, actions);
  ReadLog(now, actions);
  UpdateIsolation(now, actions);
}

void replica::PutNewestInForce(millis now, replica_actions& actions) {
  if (newest_.id == in_force_.id || MustWaitAtStart(now)) {
    return;
  }
  Check(newest_.id.number > in_force_.id.number, invariant::kConfigForward);
  in_force_ = newest_;
  follower_.SetKnown(in_force_);
  actions.emplace_back(put_in_force{in_force_});
}

// Either source alone may be out of date: the log's answer may come from a log
// replica that lags, and a peer may be behind. A node that replaces another one
// waits up to kMaxStartWait for both, so that it does not serve a revision
// older than the one its predecessor had in force.
bool replica::MustWaitAtStart(millis now) const {
  if (in_force_.id.number > 0 || now - *started_at_ >= kMaxStartWait) {
    return false;
  }
  const bool both = follower_.caught_up() && peers_.size() > 0;
  return !both || peers_.NewestNumber() > newest_.id.number;
}

void replica::FetchFromPeer(millis now, replica_actions& actions) {
  if (!settings_.use_peers) {
    return;
  }
  const bool starting = newest_.id.number == 0;
  const auto node = peers_.ChoosePeer(newest_.id, starting,
                                      follower_.found_no_snapshot(), now);
  if (node) {
    const revision_id have =
        follower_.found_no_snapshot() ? revision_id() : newest_.id;
    actions.emplace_back(fetch_from_peer{*node, have});
  }
}

// The log holds no snapshot to start from. If no peer provides a state within
// kSnapshotWait either, the records that the log still holds are all there is,
// and every reader starts from the oldest one.
void replica::StartWithoutSnapshot(millis now) {
  if (!follower_.found_no_snapshot()) {
    no_snapshot_since_.reset();
    return;
  }
  if (!no_snapshot_since_) {
    no_snapshot_since_ = now;
  }
  if (now - *no_snapshot_since_ >= kSnapshotWait) {
    follower_.StartAtOldest();
    no_snapshot_since_.reset();
  }
}

// Peers that stay behind for kMaxPeerLag although they hear from this node
// follow a log with other contents than the one applied here: the log was reset
// and this node has not noticed. A rescan applies the new log.
void replica::RescanIfPeersLag(millis now) {
  const auto behind = peers_.BehindSince(in_force_.id.number);
  if (!follower_.caught_up() || !behind || now - *behind < kMaxPeerLag ||
      (rescanned_at_ && now - *rescanned_at_ < kMinRescanInterval)) {
    return;
  }
  rescanned_at_ = now;
  follower_.Rescan();
}

void replica::AppendSnapshot(millis now, replica_actions& actions) {
  if (!scheduler_.ShouldAppend(follower_, in_force_.id, peers_.size(), now)) {
    return;
  }
  const bool is_head = follower_.head().id == in_force_.id;
  const snapshot_record record =
      ToSnapshotRecord(in_force_, is_head, follower_.position());
  actions.emplace_back(
      append_record{EncodeRecord(record, settings_.fleet_key)});
}

void replica::ReadLog(millis now, replica_actions& actions) {
  const bool has_timed_out =
      reading_since_ && now - *reading_since_ >= kReadTimeout;
  if ((reading_since_ && !has_timed_out) || now < next_read_at_) {
    return;
  }
  reading_since_ = now;
  if (follower_.caught_up() && now >= next_verify_at_) {
    follower_.Verify();
    next_verify_at_ = now + kVerifyInterval;
  }
  const bool is_at_end = follower_.caught_up() || follower_.found_no_snapshot();
  const bool wait = is_at_end && !follower_.is_verifying();
  actions.emplace_back(read_log{follower_.next_offset(), wait});
}

void replica::UpdateIsolation(millis now, replica_actions& actions) {
  const millis serve = in_force_.snapshot->rule_set.isolation.serve;
  const bool isolated = in_force_.id.number > 0 && now - last_heard_at_ > serve;
  if (isolated != is_isolated_) {
    is_isolated_ = isolated;
    actions.emplace_back(set_isolated{isolated});
  }
}

}  // namespace peridotarch
