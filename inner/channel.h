#ifndef INNER_CHANNEL_H_
#define INNER_CHANNEL_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotarch {

/// Authenticates the requests on one inner TCP connection. The accepting side
/// hands out a nonce that no other connection had; each request is marked with
/// the fleet key over the nonce, its number and its covered text, so a mark
/// recorded on one connection is worth nothing on another.
class channel {
 public:
  channel(std::string fleet_key, std::string nonce);

  /// Returns the mark of the next request, to be sent in kInnerSealHeader.
  std::string Mark(std::string_view covered);

  /// Returns true when `mark` is that of the next request; counts it if so.
  bool Verify(std::string_view mark, std::string_view covered);

 private:
  [[nodiscard]] std::string MarkOf(uint64_t number,
                                   std::string_view covered) const;

  const std::string fleet_key_;
  const std::string nonce_;
  uint64_t next_ = 0;
};

/// The text that a request's mark covers.
std::string CoveredText(std::string_view method, std::string_view target,
                        std::string_view call, std::string_view body_digest);

/// Returns a nonce from the operating system's random source, in hexadecimal.
std::string MakeNonce();

}  // namespace peridotarch

#endif  // INNER_CHANNEL_H_
