#include "config/revision.h"

namespace peridotarch {

std::string ToText(const revision_id& id) {
  constexpr size_t kShownDigits = 8;
  return std::to_string(id.number) + "-" +
         ToHex(id.chain).substr(0, kShownDigits);
}

revision EmptyRevision() {
  static const std::shared_ptr<const config_snapshot> empty =
      MakeSnapshot(0, "");
  return {{}, "", millis(), empty};
}

}  // namespace peridotarch
