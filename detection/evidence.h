#ifndef DETECTION_EVIDENCE_H_
#define DETECTION_EVIDENCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/millis.h"
#include "core/names.h"
#include "detection/peer_baseline.h"

namespace peridotarch {

/// How an attempt at an instance ended.
enum class outcome_kind {
  kOk,       ///< Answered without a server error.
  kError,    ///< Answered with a server error, or the connection broke.
  kTimeout,  ///< No answer before the request's deadline.
  kRefused,  ///< The connection was refused.
  kShed,     ///< The instance answered that it did not start the request.
};

template <>
struct names_of<outcome_kind> {
  static constexpr std::array<std::string_view, 5> kTable = {
      "ok", "error", "timeout", "refused", "shed"};
};

/// How an attempt ended, how long it took and on which route.
struct outcome {
  outcome_kind kind = outcome_kind::kOk;
  int64_t latency_us = 0;  ///< Microseconds from sending to the whole answer.
  uint32_t route = 0;  ///< Identifies the route; taken modulo kRouteClasses.
};

/// Routes are hashed into this many classes, each with its own evidence.
inline constexpr size_t kRouteClasses = 8;

/// Evidence that one instance is sick: cumulative sums (CUSUM) of the
/// log-likelihood ratio of "sick" against "like its peers", one sum over all
/// work and one per class of routes. While the instance is like its peers, a
/// sum takes at least e^h samples on average to reach h.
class evidence {
 public:
  /// Notes that an attempt was sent; `attempt` is unique while in flight.
  void OnStart(uint64_t attempt, uint32_t route, millis now);

  /// Compares an ended attempt with the peers' work on its class of routes.
  void OnOutcome(uint64_t attempt, const outcome& ended,
                 const peer_baseline& peers, millis now);

  /// Counts attempts that have been in flight for longer than nearly all of the
  /// peers' attempts take. `baseline_for` returns the baseline of a route.
  template <typename Baselines>
  void OnAge(const Baselines& baseline_for, millis now) {
    for (in_flight& sent : in_flight_) {
      const peer_baseline& peers = baseline_for(sent.route);
      const int64_t age_us = (now - sent.started_at).count() * 1000;
      if (!sent.is_counted_late && peers.ready() &&
          age_us > peers.extreme_us()) {
        sent.is_counted_late = true;
        AddLateSample(sent.route, now);
      }
    }
  }

  /// Adds the result of a probe, which is weak evidence.
  void OnProbe(bool answered, millis now);

  /// Decays the evidence of an instance that gets no work.
  void Decay(millis now);

  /// Limits the sums to `limit`, when the failures have another cause.
  void LimitSums(double limit);

  /// Clears the sums, at the start and the end of a probation.
  void Reset();

  /// Returns the highest sum.
  [[nodiscard]] double Score() const;

  /// Share of failed attempts among about the last twenty.
  [[nodiscard]] double failure_share() const { return failure_share_; }

  /// Share of attempts without any answer among about the last twenty.
  [[nodiscard]] double unanswered_share() const { return unanswered_share_; }

  /// Consecutive refused attempts.
  [[nodiscard]] int refused_in_a_row() const { return refused_in_a_row_; }

  /// Consecutive good answers since the last reset.
  [[nodiscard]] int good_in_a_row() const { return good_in_a_row_; }

  [[nodiscard]] size_t in_flight_count() const { return in_flight_.size(); }

  /// Returns the evidence in a few words, for the timeline.
  [[nodiscard]] std::string Describe() const;

 private:
  struct in_flight {
    uint64_t attempt = 0;
    uint32_t route = 0;
    millis started_at;
    bool is_counted_late = false;  ///< Already counted as late by its age.
  };

  void AddSample(uint32_t route, double ratio, millis now);
  void AddLateSample(uint32_t route, millis now);
  void UpdateFailureShares(outcome_kind kind);

  /// One sum for each class of routes; the last one covers all work.
  std::array<double, kRouteClasses + 1> sums_{};
  std::vector<in_flight> in_flight_;
  millis last_sample_at_;
  double failure_share_ = 0;
  double unanswered_share_ = 0;
  int refused_in_a_row_ = 0;
  int good_in_a_row_ = 0;
  int64_t mean_latency_us_ = 0;  ///< Moving average of latencies.
  int64_t peer_median_us_ = 0;   ///< The peers' median at the last comparison.
};

}  // namespace peridotarch

#endif  // DETECTION_EVIDENCE_H_
