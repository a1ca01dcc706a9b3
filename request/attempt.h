#ifndef REQUEST_ATTEMPT_H_
#define REQUEST_ATTEMPT_H_

#include <array>
#include <string_view>

#include "core/names.h"
#include "core/verdict.h"
#include "request/reason.h"

namespace peridotarch {

/// How much of a request was written to the connection. A byte that may have
/// been sent counts as written.
enum class write_progress { kNothing, kPart, kAll };

/// How much of the answer was read.
enum class read_progress { kNothing, kPart, kWhole };

/// What ended an attempt.
enum class attempt_end_cause {
  kAnswered,   ///< An answer was read and parsed to its end.
  kRefused,    ///< The connection was never established.
  kReset,      ///< The connection broke.
  kTimeout,    ///< The deadline passed.
  kCancelled,  ///< The caller left, or the owner gave up the attempt.
  kClosed,     ///< The peer closed the connection cleanly.
  kMalformed,  ///< What was read is not a valid answer.
};

/// What the upstream answered to a cancellation.
enum class cancel_answer { kNone, kNotStarted, kRunning, kFinished, kUnknown };

template <>
struct names_of<write_progress> {
  static constexpr std::array<std::string_view, 3> kTable = {"nothing", "part",
                                                             "all"};
};

template <>
struct names_of<read_progress> {
  static constexpr std::array<std::string_view, 3> kTable = {"nothing", "part",
                                                             "whole"};
};

template <>
struct names_of<attempt_end_cause> {
  static constexpr std::array<std::string_view, 7> kTable = {
      "answered",  "refused", "reset",    "timeout",
      "cancelled", "closed",  "malformed"};
};

template <>
struct names_of<cancel_answer> {
  static constexpr std::array<std::string_view, 5> kTable = {
      "none", "not_started", "running", "finished", "unknown"};
};

/// How one attempt at an instance ended.
struct attempt_summary {
  write_progress written = write_progress::kNothing;
  read_progress read = read_progress::kNothing;
  attempt_end_cause ended = attempt_end_cause::kReset;
  cancel_answer cancel = cancel_answer::kNone;
  /// The answer's head says that the request did not start.
  bool shed = false;
};

/// Returns whether the request ran in this attempt.
verdict JudgeAttempt(const attempt_summary& attempt);

/// Returns why the attempt gave no whole answer, or kAnswered if it gave one.
reason ReasonOf(const attempt_summary& attempt);

}  // namespace peridotarch

#endif  // REQUEST_ATTEMPT_H_
