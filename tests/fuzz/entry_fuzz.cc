// Records of the store: an instance's entry, the configuration, a node's
// announcement. What is taken is in range, all else throws codec_error.
#include <nlohmann/json.hpp>

#include "core/error.h"
#include "platform/keyed_page.h"
#include "platform/store_records.h"
#include "tests/fuzz/fuzz_input.h"

namespace peridotarch {
namespace {

template <typename Read>
void CheckVerdict(Read read) {
  try {
    read();
  } catch (const codec_error& refused) {
    Require(std::string_view(refused.what()).size() < 400);
  }
}

void CheckInstance(std::string_view id, std::string_view value) {
  const instance_entry entry = DecodeInstance(id, value);
  Require(entry.slots > 0 && entry.port != 0 && entry.sequence >= 0 &&
          entry.started_at >= 0 && entry.warmup_left >= millis(0));
  Require(!nlohmann::json(entry.id).dump().empty());
}

void CheckConfig(std::string_view value) {
  for (const host_route& route : DecodeConfig(value).routes) {
    Require(route.max_attempts > 0 && route.priority >= 0 &&
            route.timeout >= millis(0) && !route.services.empty());
  }
}

}  // namespace
}  // namespace peridotarch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace peridotarch;
  const std::string_view text = AsText(data, size);
  CheckVerdict([&] { CheckInstance("i-1", text); });
  CheckVerdict([&] { CheckConfig(text); });
  CheckVerdict([&] {
    const std::string once = Encode(DecodeNode("n", text));
    Require(Encode(DecodeNode("n", once)) == once);
  });
  // The first line as a key.
  const size_t end = text.find('\n');
  if (end != std::string_view::npos) {
    CheckVerdict(
        [&] { CheckInstance(text.substr(0, end), text.substr(end + 1)); });
  }
  return 0;
}
