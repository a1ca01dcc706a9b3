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

/// Tracks the revisions that the other nodes have in force and chooses the peer
/// to fetch from.
class peer_set {
 public:
  /// How long a peer must have had its revision before it is fetched from: the
  /// log usually delivers the revision as fast.
  static constexpr millis kFetchDelay{150};
  /// How long a fetch may take before another one may start.
  static constexpr millis kFetchTimeout{1000};
  /// The least time between the starts of two fetches.
  static constexpr millis kFetchInterval{150};
  /// The least time between the starts of two fetches if the second one asks a
  /// peer that may have nothing newer.
  static constexpr millis kProbeInterval{1000};
  /// A peer is forgotten after this long without a message.
  static constexpr millis kForgetAfter{15'000};

  explicit peer_set(uint64_t seed) : random_(seed) {}

  /// Records the revision that a peer has in force.
  void UpdatePeer(const std::string& node, const revision_id& id, millis now);

  /// Records that the fetch in progress has ended.
  void EndFetch() { is_fetching_ = false; }

  /// Returns a peer to fetch from and starts the fetch, or returns nothing.
  /// `skip_delay` skips kFetchDelay; `allow_same_number` also allows peers
  /// whose revision has the same number as `have`, and skips kFetchDelay.
  std::optional<std::string> ChoosePeer(const revision_id& have,
                                        bool skip_delay, bool allow_same_number,
                                        millis now);

  /// Returns the highest revision number that a peer has in force.
  [[nodiscard]] uint64_t NewestNumber() const;

  /// Returns since when some peer has been at a revision below `number`, or
  /// nothing if none is.
  [[nodiscard]] std::optional<millis> BehindSince(uint64_t number) const;

  [[nodiscard]] size_t size() const { return peers_.size(); }

 private:
  struct peer {
    revision_id id;
    millis has_id_since;
    millis heard_at;
  };

  void ForgetSilentPeers(millis now);
  [[nodiscard]] bool MayFetch(bool allow_same_number, millis now) const;

  random_bits random_;
  std::map<std::string, peer> peers_;
  bool is_fetching_ = false;
  std::optional<millis> fetch_started_at_;
  std::string last_peer_;  // Avoided in the next choice.
};

}  // namespace peridotarch

#endif  // CONFIG_PEER_SET_H_
