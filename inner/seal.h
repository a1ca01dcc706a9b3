#ifndef INNER_SEAL_H_
#define INNER_SEAL_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/millis.h"
#include "core/names.h"

namespace peridotarch {

/// Why a sealed message was dropped, or that it was accepted.
enum class seal_result { kAccepted, kMalformed, kForged, kStale, kReplayed };

template <>
struct names_of<seal_result> {
  static constexpr std::array<std::string_view, 5> kTable = {
      "accepted", "malformed", "forged", "stale", "replayed"};
};

/// Signs messages between the fleet's processes with the fleet key. Each
/// message carries its sender, the sender's wall clock and a number that rises
/// with each message of that sender.
class sealer {
 public:
  /// `sender` names this process and its incarnation; `fleet_key` is shared by
  /// the fleet.
  sealer(std::string fleet_key, std::string sender);

  /// Returns the message with its seal in front.
  std::string Seal(std::string_view body, millis wall);

 private:
  const std::string fleet_key_;
  const std::string sender_;
  uint64_t sequence_ = 0;
};

/// Checks sealed messages and remembers what it has seen of each sender. Not
/// thread-safe.
class unsealer {
 public:
  /// Messages whose clock differs from ours by more than `window` are stale.
  unsealer(std::string fleet_key, millis window);

  /// Checks `sealed`; on kAccepted, `body` and `sender` point into it.
  seal_result Open(std::string_view sealed, millis wall, std::string_view* body,
                   std::string_view* sender);

 private:
  /// The highest number seen from a sender and a bitmap of the 64 below it.
  struct replay_window {
    uint64_t highest = 0;
    uint64_t seen = 0;
    millis last_heard;
  };

  bool Admit(replay_window& window, uint64_t sequence) const;
  void Forget(millis wall);

  const std::string fleet_key_;
  const millis window_;
  std::unordered_map<std::string, replay_window> senders_;
  millis next_sweep_;
};

}  // namespace peridotarch

#endif  // INNER_SEAL_H_
