#include "standin/load_record.h"

#include <nlohmann/json.hpp>

namespace peridotarch::standin {

nlohmann::json ToJson(const load_record& record) {
  return {{"tag", record.tag},
          {"family", record.family},
          {"key", record.key},
          {"method", record.method},
          {"path", record.path},
          {"team", record.team},
          {"target", record.target},
          {"idempotent", record.idempotent},
          {"reused", record.reused},
          {"intended", record.intended.count()},
          {"sent", record.sent.count()},
          {"done", record.done.count()},
          {"latency_us", record.latency_us},
          {"status", record.status},
          {"verdict", record.verdict},
          {"reason", record.reason},
          {"result", ToName(record.result)}};
}

}  // namespace peridotarch::standin
