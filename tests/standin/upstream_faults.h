#ifndef STANDIN_UPSTREAM_FAULTS_H_
#define STANDIN_UPSTREAM_FAULTS_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "core/millis.h"

namespace peridotarch::standin {

/// What one instance does wrong, as last asked for.
struct upstream_faults {
  double fail = 0;        ///< Share of work that is answered with 500.
  double truncate = 0;    ///< Share of answers cut in the middle of the body.
  double reset = 0;       ///< Share of connections reset after the work.
  double hang = 0;        ///< Share of work that holds its slot, unanswered.
  double slow = 1;        ///< Factor on the time that work takes.
  std::string fail_path;  ///< Prefix of the paths whose work fails.
  std::string cut = "none";  ///< in: hears nothing; out: is not heard.
  std::string health;        ///< Empty: the truth; else ok or bad.
  std::string load;          ///< Empty: the truth; else idle or full.
  millis flap;  ///< Half period in which the faults are on, then off.
};

/// Takes the fields that are present in `change`.
void Update(upstream_faults& faults, const nlohmann::json& change);

}  // namespace peridotarch::standin

#endif  // STANDIN_UPSTREAM_FAULTS_H_
