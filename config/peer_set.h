#ifndef CONFIG_PEER_SET_H_
#define CONFIG_PEER_SET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "config/revision.h"
#include "core/millis.h"
#include "core/random.h"

namespace peridotarch {

/// What the other nodes have in force, and which of them to fetch from.
class peer_set {
 public:
  /// How long a peer may be newer before it is fetched from: the log is
  /// usually as fast.
  static constexpr millis kFetchDelay{150};
  /// How long a fetch may take before another peer is asked.
  static constexpr millis kFetchTimeout{1000};
  /// The least time between two fetches.
  static constexpr millis kFetchInterval{150};
  /// The same when the peers may have nothing newer.
  static constexpr millis kProbeInterval{1000};
  /// How long a peer that is not heard counts as known.
  static constexpr millis kForgetAfter{15'000};

  explicit peer_set(uint64_t seed) : random_(seed) {}

  /// Notes what a peer has in force.
  void UpdatePeer(const std::string& node, const revision_id& id, millis now);

  /// Notes that the fetch in progress has ended.
  void EndFetch() { fetching_ = false; }

  /// Returns a peer to fetch from, or nothing. `at_once` skips the grace;
  /// `any` takes also a peer that is no newer.
  std::optional<std::string> ChoosePeer(const revision_id& have, bool at_once,
                                        bool any, millis now);

  /// The highest revision number that a peer has in force.
  [[nodiscard]] uint64_t NewestNumber() const;

  /// Returns since when a peer has been behind `number`, or nothing.
  [[nodiscard]] std::optional<millis> BehindSince(uint64_t number) const;

  [[nodiscard]] size_t size() const { return peers_.size(); }

 private:
  struct peer {
    revision_id id;
    millis since;  // When it reported this revision first.
    millis heard;
  };

  void Forget(millis now);
  [[nodiscard]] bool MayFetch(bool any, millis now) const;

  random_bits random_;
  std::map<std::string, peer> peers_;
  bool fetching_ = false;
  std::optional<millis> fetched_at_;  // When the last fetch began.
  std::string last_;  // The peer asked last, avoided in the next choice.
};

}  // namespace peridotarch

#endif  // CONFIG_PEER_SET_H_
