#ifndef TESTS_REQUEST_WORLD_H_
#define TESTS_REQUEST_WORLD_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/names.h"
#include "request/reason.h"

namespace peridotarch {

/// The steps of a request at which a fault can be injected.
enum class path_step {
  kAccept,
  kParse,
  kChoose,
  kClaim,
  kConnect,
  kWrite,
  kWait,
  kRead,
  kReply,
  kRelease,
};

template <>
struct names_of<path_step> {
  static constexpr std::array<std::string_view, 10> kTable = {
      "accept", "parse", "choose", "claim", "connect",
      "write",  "wait",  "read",   "reply", "release"};
};

/// The kinds of faults.
enum class fault {
  kCrash,
  kPause,
  kResetBeforeWrite,
  kResetAfterWrite,
  kSlow,
  kTruncated,
  kLateAnswer,
  kShed,
  kDrain,
  kOwnerChange,
  kLogAway,
  kAppendAnswerLost,
  kCutOut,
  kCutIn,
};

template <>
struct names_of<fault> {
  static constexpr std::array<std::string_view, 14> kTable = {
      "crash",   "pause",        "reset_before_write", "reset_after_write",
      "slow",    "truncated",    "late_answer",        "shed",
      "drain",   "owner_change", "log_away",           "append_answer_lost",
      "cut_out", "cut_in"};
};

/// One fault at one step of the first submission of a request.
struct planned_fault {
  path_step step = path_step::kAccept;
  fault kind = fault::kCrash;
  size_t request = 0;
};

/// The result of a schedule. Violations are found by comparing replies with the
/// upstreams' own records of runs.
struct world_result {
  int injected = 0;  ///< Planned faults that took place.
  int submissions = 0;
  int replies = 0;
  int answered = 0;
  int told_not_run = 0;
  int told_may_have_run = 0;
  int runs = 0;
  int duplicates = 0;  ///< Runs beyond the first of a non-idempotent request.
  int false_not_run = 0;  ///< Told not_run, but the request ran then or later.
  int false_ran = 0;      ///< Told ran, but there was no run.
  int foreign = 0;        ///< Answers to another request or truncated ones.
  /// Submissions without a reply although no node crashed.
  int unanswered = 0;
  /// Replies by reason.
  std::array<int, names_of<reason>::kTable.size()> reasons{};
};

/// How callers behave.
struct caller_options {
  size_t requests = 2;
  bool send_twice = false;  ///< Send a key again while the first waits.
};

/// Simulates several proxies, a few instances, the log and callers that retry,
/// in virtual time. The seed determines everything.
world_result RunWorld(uint64_t seed, std::vector<planned_fault> faults,
                      caller_options options);

}  // namespace peridotarch

#endif  // TESTS_REQUEST_WORLD_H_
