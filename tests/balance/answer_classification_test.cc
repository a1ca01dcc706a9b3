#include "balance/answer_classification.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

answer_classification Classify(int status, bool digest, bool not_executed,
                               bool has_content_encoding = false) {
  return ClassifyAnswer({status, digest, not_executed, has_content_encoding});
}

TEST_CASE("a success needs the instance's digest and an unencoded body") {
  CHECK(Classify(200, true, false).is_deliverable);
  CHECK_FALSE(Classify(200, false, false).is_deliverable);
  CHECK_FALSE(Classify(200, true, false, true).is_deliverable);
  CHECK(Classify(200, false, false).run_verdict == verdict::kMayHaveRun);
}

TEST_CASE("only an explicit refusal counts as not run") {
  CHECK(Classify(503, false, true).run_verdict == verdict::kNotRun);
  CHECK(Classify(503, false, true).outcome == attempt_outcome::kShed);
  CHECK(Classify(429, false, true).run_verdict == verdict::kNotRun);
  CHECK(Classify(421, false, false).run_verdict == verdict::kNotRun);
  CHECK(Classify(421, false, false).outcome == attempt_outcome::kMoved);
  CHECK(Classify(503, true, false).run_verdict == verdict::kRan);
}

// A request that had run was repeated, since its success carried the header of
// another answer.
TEST_CASE("stray refusal: a status of a request that ran is no refusal") {
  CHECK(Classify(200, true, true).run_verdict == verdict::kMayHaveRun);
  CHECK_FALSE(Classify(200, true, true).is_deliverable);
  CHECK(Classify(500, true, true).run_verdict != verdict::kNotRun);
  CHECK(Classify(504, true, true).run_verdict != verdict::kNotRun);
  CHECK(Classify(400, false, true).run_verdict == verdict::kNotRun);
}

TEST_CASE(
    "a status that promises that the request did not run is not delivered "
    "for a request that ran") {
  for (const int status : {408, 421, 429, 503}) {
    CHECK_FALSE(Classify(status, true, false).is_deliverable);
  }
  CHECK(Classify(500, true, false).is_deliverable);
  CHECK(Classify(504, true, false).is_deliverable);
  CHECK(Classify(504, true, false).outcome == attempt_outcome::kSlow);
  CHECK(Classify(404, true, false).outcome == attempt_outcome::kOk);
}

TEST_CASE("a reused connection that breaks shows nothing about the instance") {
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
