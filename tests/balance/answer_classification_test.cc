#include "balance/answer_classification.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

answer_classification Judge(int status, bool digest, bool not_executed,
                            bool has_content_encoding = false) {
  return ClassifyAnswer({status, digest, not_executed, has_content_encoding});
}

TEST_CASE("a success needs the instance's digest and its own bytes") {
  CHECK(Judge(200, true, false).is_deliverable);
  CHECK_FALSE(Judge(200, false, false).is_deliverable);
  CHECK_FALSE(Judge(200, true, false, true).is_deliverable);
  CHECK(Judge(200, false, false).run_verdict == verdict::kMayHaveRun);
}

TEST_CASE("only a stated refusal is not run") {
  CHECK(Judge(503, false, true).run_verdict == verdict::kNotRun);
  CHECK(Judge(503, false, true).outcome == attempt_outcome::kShed);
  CHECK(Judge(429, false, true).run_verdict == verdict::kNotRun);
  CHECK(Judge(421, false, false).run_verdict == verdict::kNotRun);
  CHECK(Judge(421, false, false).outcome == attempt_outcome::kMoved);
  CHECK(Judge(503, true, false).run_verdict == verdict::kRan);
}

TEST_CASE(
    "a status that promises not-run is not passed on for work that "
    "ran") {
  for (const int status : {408, 421, 429, 503}) {
    CHECK_FALSE(Judge(status, true, false).is_deliverable);
  }
  CHECK(Judge(500, true, false).is_deliverable);
  CHECK(Judge(504, true, false).is_deliverable);
  CHECK(Judge(504, true, false).outcome == attempt_outcome::kSlow);
  CHECK(Judge(404, true, false).outcome == attempt_outcome::kOk);
}

TEST_CASE("a kept connection that breaks says nothing of the instance") {
  attempt_summary end;
  end.written = write_progress::kAll;
  end.ended = attempt_end_cause::kReset;
  CHECK(OutcomeWithoutAnswer(end, true) == attempt_outcome::kUnknown);
  CHECK(OutcomeWithoutAnswer(end, false) == attempt_outcome::kBroken);
  end.read = read_progress::kPart;
  CHECK(OutcomeWithoutAnswer(end, true) == attempt_outcome::kBroken);
}

}  // namespace
}  // namespace peridotarch
