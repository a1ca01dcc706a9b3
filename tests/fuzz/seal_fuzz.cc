// Sealed messages: without the key nothing is accepted; with it, a message that
// is changed in any way is not.
#include "inner/channel.h"
#include "inner/seal.h"
#include "tests/fuzz/fuzz_input.h"

namespace peridotarch {
namespace {

constexpr millis kNow(1'700'000'000'000);
constexpr millis kWindow(5000);

seal_result Open(unsealer& with, std::string_view message) {
  std::string_view body;
  std::string_view sender;
  return with.Open(message, kNow, &body, &sender);
}

}  // namespace
}  // namespace peridotarch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace peridotarch;
  const std::string_view text = AsText(data, size);
  // No message in this process is sealed with the stranger's key: the fuzzer
  // watches memory and would replay one.
  unsealer stranger("a key that seals nothing", kWindow);
  Require(Open(stranger, text) != seal_result::kAccepted);
  unsealer open(std::string(kFuzzKey), kWindow);
  if (size < 4) {
    return 0;
  }
  sealer seal(std::string(kFuzzKey), "node/1");
  const std::string message = seal.Seal(text, kNow);
  std::string changed = message;
  const size_t at = (data[0] | size_t{data[1]} << 8) % changed.size();
  changed[at] = static_cast<char>(changed[at] ^ data[2]);
  const bool same = changed == message;
  Require((Open(open, changed) == seal_result::kAccepted) == same);
  Require(Open(open, message) ==
          (same ? seal_result::kReplayed : seal_result::kAccepted));
  channel accepting(std::string(kFuzzKey), "nonce");
  Require(!accepting.Verify(text, "covered"));
  return 0;
}
