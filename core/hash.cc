#include "core/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <memory>

namespace peridotarch {

uint64_t Hash64(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t RendezvousScore(std::string_view key, std::string_view node) {
  return Hash64(node, Hash64(key));
}

digest Sha256(std::string_view text) {
  digest result;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         result.data());
  return result;
}

digest Sha256(std::span<const std::string_view> parts) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view part : parts) {
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  digest result;
  EVP_DigestFinal_ex(context.get(), result.data(), nullptr);
  return result;
}

digest HmacSha256(std::string_view key, std::string_view text) {
  digest result;
  unsigned int size = result.size();
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       result.data(), &size);
  return result;
}

bool EqualInConstantTime(const digest& left, const digest& right) {
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string ToHex(const digest& value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(value.size() * 2);
  for (const uint8_t byte : value) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0xf]);
  }
  return text;
}

}  // namespace peridotarch
