#include "inner/seal.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace peridotarch {

namespace {

// Layout: digest (32) | wall (8) | sequence (8) | sender length (1) | sender |
// body. The digest covers all that follows it. Numbers are little-endian.
constexpr size_t kDigestBytes = 32;
constexpr size_t kNumberBytes = 8;
constexpr size_t kHeaderBytes = kDigestBytes + 2 * kNumberBytes + 1;
constexpr size_t kMaxSenderBytes = 255;

void PutNumber(std::string& out, uint64_t value) {
  for (size_t i = 0; i < kNumberBytes; ++i) {
    out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
  }
}

uint64_t GetNumber(std::string_view in) {
  uint64_t value = 0;
  for (size_t i = 0; i < kNumberBytes; ++i) {
    value |= static_cast<uint64_t>(static_cast<uint8_t>(in[i])) << (8 * i);
  }
  return value;
}

std::string_view AsText(const digest& value) {
  return {reinterpret_cast<const char*>(value.data()), value.size()};
}

}  // namespace

sealer::sealer(std::string fleet_key, std::string sender)
    : fleet_key_(std::move(fleet_key)),
      sender_(sender.substr(0, kMaxSenderBytes)) {}

std::string sealer::Seal(std::string_view body, millis wall) {
  std::string signed_part;
  signed_part.reserve(kHeaderBytes + sender_.size() + body.size());
  PutNumber(signed_part, static_cast<uint64_t>(wall.count()));
  PutNumber(signed_part, ++sequence_);
  signed_part.push_back(static_cast<char>(sender_.size()));
  signed_part += sender_;
  signed_part += body;
  const digest mark = HmacSha256(fleet_key_, signed_part);
  signed_part.insert(0, AsText(mark));
  return signed_part;
}

unsealer::unsealer(std::string fleet_key, millis window)
    : fleet_key_(std::move(fleet_key)), window_(window) {}

seal_result unsealer::Open(std::string_view sealed, millis wall,
                           std::string_view* body, std::string_view* sender) {
  if (sealed.size() < kHeaderBytes) {
    return seal_result::kMalformed;
  }
  const std::string_view signed_part = sealed.substr(kDigestBytes);
  const size_t sender_bytes =
      static_cast<uint8_t>(signed_part[2 * kNumberBytes]);
  if (sealed.size() < kHeaderBytes + sender_bytes) {
    return seal_result::kMalformed;
  }
  digest claimed;
  std::copy_n(sealed.begin(), kDigestBytes,
              reinterpret_cast<char*>(claimed.data()));
  if (!EqualInConstantTime(claimed, HmacSha256(fleet_key_, signed_part))) {
    return seal_result::kForged;
  }
  const millis sent(static_cast<int64_t>(GetNumber(signed_part)));
  if (sent < wall - window_ || sent > wall + window_) {
    return seal_result::kStale;
  }
  const std::string_view from =
      signed_part.substr(2 * kNumberBytes + 1, sender_bytes);
  Forget(wall);
  replay_window& seen = senders_[std::string(from)];
  seen.last_heard = wall;
  if (!Admit(seen, GetNumber(signed_part.substr(kNumberBytes)))) {
    return seal_result::kReplayed;
  }
  *sender = from;
  *body = signed_part.substr(2 * kNumberBytes + 1 + sender_bytes);
  return seal_result::kAccepted;
}

bool unsealer::Admit(replay_window& window, uint64_t sequence) const {
  constexpr uint64_t kWidth = 64;
  if (sequence > window.highest) {
    const uint64_t shift = sequence - window.highest;
    window.seen = shift >= kWidth ? 0 : window.seen << shift;
    window.seen |= 1;
    window.highest = sequence;
    return true;
  }
  const uint64_t age = window.highest - sequence;
  if (age >= kWidth || (window.seen >> age & 1) != 0) {
    return false;
  }
  window.seen |= uint64_t{1} << age;
  return true;
}

// A sender unheard for twice the window can only be replayed with a stale
// clock, which the clock check refuses, so its bitmap can go.
void unsealer::Forget(millis wall) {
  if (wall < next_sweep_) {
    return;
  }
  next_sweep_ = wall + window_;
  std::erase_if(senders_, [&](const auto& entry) {
    return entry.second.last_heard + window_ * 2 < wall;
  });
}

}  // namespace peridotarch
