#include "balance/answer_rule.h"

#include <catch2/catch.hpp>

namespace peridotarch {
namespace {

answer_ruling Judge(int status, bool digest, bool not_executed,
                    bool encoded = false) {
  return JudgeAnswer({status, digest, not_executed, encoded});
}

TEST_CASE("a success needs the instance's digest and its own bytes") {
  CHECK(Judge(200, true, false).deliver);
  CHECK_FALSE(Judge(200, false, false).deliver);
  CHECK_FALSE(Judge(200, true, false, true).deliver);
  CHECK(Judge(200, false, false).said == verdict::kMayHaveRun);
}

TEST_CASE("only a stated refusal is not run") {
  CHECK(Judge(503, false, true).said == verdict::kNotRun);
  CHECK(Judge(503, false, true).outcome == attempt_outcome::kShed);
  CHECK(Judge(429, false, true).said == verdict::kNotRun);
  CHECK(Judge(421, false, false).said == verdict::kNotRun);
  CHECK(Judge(421, false, false).outcome == attempt_outcome::kMoved);
  CHECK(Judge(503, true, false).said == verdict::kRan);
}

TEST_CASE(
    "a status that promises not-run is not passed on for work that "
    "ran") {
  for (const int status : {408, 421, 429, 503}) {
    CHECK_FALSE(Judge(status, true, false).deliver);
  }
  CHECK(Judge(500, true, false).deliver);
  CHECK(Judge(504, true, false).deliver);
  CHECK(Judge(504, true, false).outcome == attempt_outcome::kSlow);
  CHECK(Judge(404, true, false).outcome == attempt_outcome::kOk);
}

TEST_CASE("a kept connection that breaks says nothing of the instance") {
  attempt_end end;
  end.written = written_part::kAll;
  end.ended = attempt_ending::kReset;
  CHECK(OutcomeOf(end, true) == attempt_outcome::kUnknown);
  CHECK(OutcomeOf(end, false) == attempt_outcome::kBroken);
  end.read = read_part::kPart;
  CHECK(OutcomeOf(end, true) == attempt_outcome::kBroken);
}

}  // namespace
}  // namespace peridotarch
