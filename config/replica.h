#ifndef CONFIG_REPLICA_H_
#define CONFIG_REPLICA_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/log_follower.h"
#include "config/peer_set.h"
#include "config/revision.h"
#include "config/snapshot_scheduler.h"
#include "core/millis.h"
#include "core/random.h"
#include "platform/append_log.h"

namespace peridotarch {

/// Read the stream `config`; the answer goes to OnLogPage or OnLogError.
struct read_log {
  uint64_t from = 0;
  bool wait = false;  ///< Let the log wait for a record, up to kReadWait.
};

/// Ask a peer for the revisions that follow `have`; the answer goes to
/// OnFetchAnswer or OnFetchError.
struct fetch_from_peer {
  std::string node;
  revision_id have;
};

/// Use revision `next` for every request that starts from now on.
struct put_in_force {
  revision next;
};

/// Append to the stream `config`. The replica needs no answer, because it sees
/// the record when it reads the log.
struct append_record {
  std::string data;
};

/// Stop serving requests, or serve them again.
struct set_isolated {
  bool isolated = false;
};

using replica_action = std::variant<read_log, fetch_from_peer, put_in_force,
                                    append_record, set_isolated>;
using replica_actions = std::vector<replica_action>;

/// The settings of a replica.
struct replica_settings {
  std::string fleet_key;
  uint64_t seed = 0;  ///< Differs between nodes.
  /// How long the log keeps a record.
  millis log_retention = millis(24 * 3'600'000);
  bool use_peers = true;
};

/// Keeps the rules of one node up to date from the log and from peers, and
/// never goes back to an older revision. Does no I/O: each event returns the
/// actions that the caller must perform. All times are of a monotonic clock;
/// Tick must be called about every 100 ms.
class replica {
 public:
  /// How long the log may hold a read open until a record arrives.
  static constexpr millis kReadWait{10'000};
  /// A read without an answer is repeated after this time.
  static constexpr millis kReadTimeout{15'000};
  /// How long a starting node waits to have heard from both the log and a peer.
  static constexpr millis kMaxStartWait{1500};

  explicit replica(const replica_settings& settings);

  replica_actions Tick(millis now);
  replica_actions OnLogPage(const log_page& page, millis now);
  replica_actions OnLogError(millis now);

  /// Called when gossip or an answer of a peer says what it has in force.
  replica_actions OnPeerHead(const std::string& node, const revision_id& head,
                             millis now);

  /// Called with a peer's answer to a fetch, made by its AnswerFetch.
  replica_actions OnFetchAnswer(std::string_view bytes, millis now);
  replica_actions OnFetchError(millis now);

  /// Returns the encoded answer to a fetch by a peer that has revision `have`.
  [[nodiscard]] std::string AnswerFetch(const revision_id& have) const;

  [[nodiscard]] const revision& in_force() const { return in_force_; }
  [[nodiscard]] const log_follower& log() const { return follower_; }
  [[nodiscard]] bool isolated() const { return is_isolated_; }

 private:
  /// An encoded publish record that made revision `to` from revision `from`.
  struct revision_step {
    revision_id from;
    revision_id to;
    std::string bytes;
  };

  void OfferNewest(const revision& found);
  void ApplyFetchAnswer(const fetch_answer& answer);
  bool ApplyPublishRecord(const publish_record& record,
                          const std::string& bytes);
  bool ApplySnapshotRecord(const snapshot_record& record);
  void RememberStep(revision_step made);
  void Advance(millis now, replica_actions& actions);
  void PutNewestInForce(millis now, replica_actions& actions);
  bool MustWaitAtStart(millis now) const;
  void FetchFromPeer(millis now, replica_actions& actions);
  void StartWithoutSnapshot(millis now);
  void RescanIfPeersLag(millis now);
  void AppendSnapshot(millis now, replica_actions& actions);
  void ReadLog(millis now, replica_actions& actions);
  void UpdateIsolation(millis now, replica_actions& actions);

  const replica_settings settings_;
  log_follower follower_;
  peer_set peers_;
  snapshot_scheduler scheduler_;
  random_bits random_;
  revision in_force_ = EmptyRevision();
  // Not yet in force while MustWaitAtStart.
  revision newest_ = EmptyRevision();
  std::deque<revision_step> steps_;
  std::optional<millis> started_at_;
  std::optional<millis> reading_since_;
  std::optional<millis> no_snapshot_since_;
  std::optional<millis> rescanned_at_;
  millis next_read_at_;
  millis next_verify_at_;
  millis retry_delay_;
  millis last_heard_at_;
  bool is_isolated_ = false;
};

}  // namespace peridotarch

#endif  // CONFIG_REPLICA_H_
