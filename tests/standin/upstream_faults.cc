#include "standin/upstream_faults.h"

#include <nlohmann/json.hpp>

namespace peridotarch::standin {

void Update(upstream_faults& faults, const nlohmann::json& change) {
  if (change.value("clear", false)) {
    faults = upstream_faults{};
  }
  faults.fail = change.value("fail", faults.fail);
  faults.truncate = change.value("truncate", faults.truncate);
  faults.reset = change.value("reset", faults.reset);
  faults.hang = change.value("hang", faults.hang);
  faults.slow = change.value("slow", faults.slow);
  faults.fail_path = change.value("fail_path", faults.fail_path);
  faults.cut = change.value("cut", faults.cut);
  faults.health = change.value("health", faults.health);
  faults.load = change.value("load", faults.load);
  faults.flap = millis(change.value("flap_ms", faults.flap.count()));
}

}  // namespace peridotarch::standin
