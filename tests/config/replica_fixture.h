#ifndef TESTS_CONFIG_REPLICA_FIXTURE_H_
#define TESTS_CONFIG_REPLICA_FIXTURE_H_

#include <catch2/catch.hpp>

#include "core/invariant.h"
#include "tests/config/fleet.h"

namespace peridotarch {

inline constexpr int kLines = 12;
inline constexpr millis kLimit{30'000};
inline constexpr millis kInForceWithin{3000};

/// Publishes revision 1 and waits until it is in force on all nodes.
inline void PublishFirst(fleet& f) {
  SetBreachesFatal(true);
  f.Publish(TestRules(kLines, 0, "first"), std::nullopt);
  REQUIRE(f.Converge(kLimit));
  REQUIRE(f.InForce(0).id.number == 1);
}

}  // namespace peridotarch

#endif  // TESTS_CONFIG_REPLICA_FIXTURE_H_
