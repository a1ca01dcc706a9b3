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
  bool wait = false;  ///< Wait at the log for a record, up to kReadWait.
};

/// Ask a peer for what follows `have`; the answer goes to OnFetchAnswer or
/// OnFetchError.
struct fetch_from_peer {
  std::string node;
  revision_id have;
};

/// Use this revision for every request that starts from now on.
struct put_in_force {
  revision next;
};

/// Append to the stream `config`. Whether it succeeds needs no report.
struct append_record {
  std::string data;
};

/// Stop serving requests, or serve again.
struct set_isolated {
  bool isolated = false;
};

using replica_action = std::variant<read_log, fetch_from_peer, put_in_force,
                                    append_record, set_isolated>;
using replica_actions = std::vector<replica_action>;

/// What a replica is told at its start.
struct replica_settings {
  std::string fleet_key;
  uint64_t seed = 0;                              ///< Differs between nodes.
  millis log_retention = millis(24 * 3'600'000);  ///< Of the platform's log.
  bool use_peers = true;
};

/// Keeps one node's rules up to date from the log and from its peers. Never
/// takes the node back to an older revision. All times are of a monotonic
/// clock; Tick is due about every 100 ms.
class replica {
 public:
  /// How long a read waits at the log.
  static constexpr millis kReadWait{10'000};
  /// When a read without an answer is given up.
  static constexpr millis kReadTimeout{15'000};
  /// How long a start waits for the second of its two sources.
  static constexpr millis kMaxStartWait{1500};

  explicit replica(const replica_settings& settings);

  replica_actions Tick(millis now);
  replica_actions OnLogPage(const log_page& page, millis now);
  replica_actions OnLogError(millis now);

  /// A peer said, by gossip or in an answer, what it has in force.
  replica_actions OnPeerHead(const std::string& node, const revision_id& head,
                             millis now);

  /// A peer answered a fetch with AnswerFetch's bytes.
  replica_actions OnFetchAnswer(std::string_view bytes, millis now);
  replica_actions OnFetchError(millis now);

  /// Answers a peer's fetch.
  [[nodiscard]] std::string AnswerFetch(const revision_id& have) const;

  [[nodiscard]] const revision& in_force() const { return in_force_; }
  [[nodiscard]] const log_follower& log() const { return log_; }
  [[nodiscard]] bool isolated() const { return isolated_; }

 private:
  /// A publish record that made one revision from another.
  struct step {
    revision_id from;
    revision_id to;
    std::string bytes;
  };

  void Consider(const revision& found);
  void TakeParts(const fetch_answer& bundle);
  bool TakePublish(const publish_record& record, const std::string& bytes);
  bool TakeSnapshot(const snapshot_record& record);
  void Remember(step made);
  void Advance(millis now, replica_actions& actions);
  void PutNewest(millis now, replica_actions& actions);
  bool HoldsStart(millis now) const;
  void Fetch(millis now, replica_actions& actions);
  void FindAnchor(millis now);
  void DoubtLog(millis now);
  void Append(millis now, replica_actions& actions);
  void Read(millis now, replica_actions& actions);
  void Isolate(millis now, replica_actions& actions);

  const replica_settings settings_;
  log_follower log_;
  peer_set peers_;
  snapshot_scheduler renewal_;
  random_bits random_;
  revision in_force_ = EmptyRevision();
  revision newest_ = EmptyRevision();  // In force, or held at the start.
  std::deque<step> steps_;
  std::optional<millis> started_;
  std::optional<millis> reading_since_;
  std::optional<millis> exhausted_since_;
  std::optional<millis> doubted_at_;
  millis read_at_;
  millis verify_at_;
  millis retry_delay_;
  millis last_heard_;
  bool isolated_ = false;
};

}  // namespace peridotarch

#endif  // CONFIG_REPLICA_H_
