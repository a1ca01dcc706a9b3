#include "request/request_verdict.h"

namespace peridotarch {

// kNotRun is a statement about the request as a whole. A node that declines a
// repeated submission has not run it, but the first submission may be running
// elsewhere, so without the claim the strongest true answer is may_have_run.
verdict RequestVerdict(verdict attempts, key_ownership key) {
  if (attempts == verdict::kNotRun && key == key_ownership::kUnknown) {
    return verdict::kMayHaveRun;
  }
  return attempts;
}

// A whole answer proves that the request ran, even if an earlier attempt is in
// doubt.
verdict CombineVerdicts(verdict first, verdict second) {
  if (first == verdict::kRan || second == verdict::kRan) {
    return verdict::kRan;
  }
  if (first == verdict::kMayHaveRun || second == verdict::kMayHaveRun) {
    return verdict::kMayHaveRun;
  }
  return verdict::kNotRun;
}

}  // namespace peridotarch
