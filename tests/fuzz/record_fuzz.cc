// Records of the stream `config`: raw bytes are void; a signed payload of any
// content is folded without an exception and never takes the head back.
#include <zstd.h>

#include "config/record.h"
#include "config/revision_chain.h"
#include "core/hash.h"
#include "tests/fuzz/fuzz_input.h"

namespace peridotarch {
namespace {

// The layout of config/record.cc, so that the input reaches the fields.
std::string Sign(std::string_view payload) {
  std::string packed(ZSTD_compressBound(payload.size()), '\0');
  packed.resize(ZSTD_compress(packed.data(), packed.size(), payload.data(),
                              payload.size(), 1));
  const digest mark = HmacSha256(kFuzzKey, packed);
  const size_t rest = mark.size() + packed.size();
  std::string bytes = "pcr1";
  for (int i = 0; i < 4; ++i) {
    bytes.push_back(static_cast<char>(rest >> (8 * i) & 0xff));
  }
  bytes.append(mark.begin(), mark.end());
  return bytes + packed;
}

}  // namespace
}  // namespace peridotarch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace peridotarch;
  const std::string_view text = AsText(data, size);
  Require(DecodeRecord(text, kFuzzKey).fault != apply_outcome::kAccepted);
  const std::string signed_bytes = Sign(text);
  revision_chain chain{std::string(kFuzzKey)};
  chain.Apply(0, millis(1), signed_bytes);
  const uint64_t first = chain.head().id.number;
  chain.Apply(1, millis(2), signed_bytes);
  Require(chain.head().id.number >= first);
  const decoded_record decoded = DecodeRecord(signed_bytes, kFuzzKey);
  if (decoded.fault == apply_outcome::kAccepted) {
    const std::string once = EncodeRecord(decoded.record, kFuzzKey);
    const decoded_record again = DecodeRecord(once, kFuzzKey);
    Require(again.record.index() == decoded.record.index());
    Require(EncodeRecord(again.record, kFuzzKey) == once);
  }
  return 0;
}
