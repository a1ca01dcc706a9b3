// Gossip messages: a decoded message encodes to bytes that decode to the same.
#include "core/error.h"
#include "inner/gossip.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace peridotarch;
  try {
    const std::string once = Encode(DecodeGossip(AsText(data, size)));
    Require(Encode(DecodeGossip(once)) == once);
  } catch (const codec_error&) {
    return -1;
  }
  return 0;
}
