#ifndef CORE_HASH_H_
#define CORE_HASH_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace peridotarch {

/// Stable 64-bit hash (XXH3); the same on every process.
uint64_t Hash64(std::string_view text, uint64_t seed = 0);

/// Score of `node` for `key` in rendezvous hashing; the highest score owns the
/// key.
uint64_t RendezvousScore(std::string_view key, std::string_view node);

/// A SHA-256 digest.
using digest = std::array<uint8_t, 32>;

/// Returns the SHA-256 digest of `text`.
digest Sha256(std::string_view text);

/// Returns the SHA-256 of the parts, one behind the other.
digest Sha256(std::span<const std::string_view> parts);

/// Returns the HMAC-SHA-256 of `text` under `key`.
digest HmacSha256(std::string_view key, std::string_view text);

/// Compares in a time that does not depend on the contents.
bool EqualInConstantTime(const digest& left, const digest& right);

/// Returns the digest as 64 hexadecimal digits.
std::string ToHex(const digest& value);

}  // namespace peridotarch

#endif  // CORE_HASH_H_
