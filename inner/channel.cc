#include "inner/channel.h"

#include <openssl/rand.h>

#include <algorithm>
#include <utility>

#include "core/error.h"
#include "core/hash.h"

namespace peridotarch {

channel::channel(std::string fleet_key, std::string nonce)
    : fleet_key_(std::move(fleet_key)), nonce_(std::move(nonce)) {}

std::string channel::Mark(std::string_view covered) {
  return MarkOf(next_++, covered);
}

bool channel::Verify(std::string_view mark, std::string_view covered) {
  const std::string expected = MarkOf(next_, covered);
  if (mark.size() != expected.size()) {
    return false;
  }
  // Hashing both sides first makes the comparison's time independent of how
  // many leading digits agree.
  if (!EqualInConstantTime(Sha256(mark), Sha256(expected))) {
    return false;
  }
  ++next_;
  return true;
}

std::string channel::MarkOf(uint64_t number, std::string_view covered) const {
  std::string text = nonce_;
  text += '\n';
  text += std::to_string(number);
  text += '\n';
  text += covered;
  return ToHex(HmacSha256(fleet_key_, text));
}

std::string CoveredText(std::string_view method, std::string_view target,
                        std::string_view call, std::string_view body_digest) {
  std::string text(method);
  for (const std::string_view part : {target, call, body_digest}) {
    text += '\n';
    text += part;
  }
  return text;
}

std::string MakeNonce() {
  digest bytes;
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw error("the random source of the operating system failed");
  }
  return ToHex(bytes);
}

}  // namespace peridotarch
