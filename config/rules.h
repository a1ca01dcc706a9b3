#ifndef CONFIG_RULES_H_
#define CONFIG_RULES_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/millis.h"
#include "core/names.h"

namespace peridotarch {

/// Which error a service prefers to avoid in outlier detection: slow detection
/// or false ejections.
enum class ejection_tradeoff { kDetectionTime, kFalseEjections };

template <>
struct names_of<ejection_tradeoff> {
  static constexpr std::array<std::string_view, 2> kTable = {"detection-time",
                                                             "false-ejections"};
};

/// `service NAME floor SLOTS slots/instance SLOTS weigh WEIGHT`
struct service_rule {
  std::string name;
  int floor = 0;  ///< Healthy capacity that ejections must leave, in slots.
  int slots_per_instance = 1;  ///< Requests that an instance runs at a time.
  ejection_tradeoff weigh = ejection_tradeoff::kFalseEjections;
  std::string asked_by;
  int line = 0;
};

/// `route METHOD PATTERN -> SERVICE idempotent|non-idempotent timeout T
/// [retries N]`
struct route_rule {
  std::string method;   ///< An HTTP method, or "*".
  std::string pattern;  ///< `*` matches a segment, a final `**` the rest.
  std::string service;
  bool idempotent = false;
  millis timeout;
  int retries = 0;
  std::string asked_by;
  int line = 0;
};

/// `limit team NAME rate N/s burst N`
struct limit_rule {
  std::string team;
  int rate = 0;   ///< Requests per second in the whole fleet.
  int burst = 0;  ///< Requests that may come at once.
  std::string asked_by;
  int line = 0;
};

/// `drain SERVICE INSTANCE` or `pin SERVICE INSTANCE`
struct instance_rule {
  enum class action { kDrain, kPin };
  action act = action::kDrain;
  std::string service;
  std::string instance;  ///< The id of the instance in the host list.
  std::string asked_by;
  int line = 0;
};

/// The `serve` of `isolation serve forever`.
inline constexpr millis kServeForever(INT64_MAX);

/// `isolation serve DURATION|forever`: how long a node keeps serving while it
/// hears from neither the log nor peers.
struct isolation_rule {
  millis serve = millis(600'000);
  std::string asked_by;
  int line = 0;
};

/// All rules of one file; within each kind in the order of the file.
struct rules {
  std::vector<service_rule> services;
  std::vector<route_rule> routes;
  std::vector<limit_rule> limits;
  std::vector<instance_rule> instances;
  isolation_rule isolation;
};

}  // namespace peridotarch

#endif  // CONFIG_RULES_H_
