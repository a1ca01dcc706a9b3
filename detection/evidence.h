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
  kOk,       ///< Answered, and not with a server's error.
  kError,    ///< Answered with a server's error, or the connection broke.
  kTimeout,  ///< No answer within the request's time.
  kRefused,  ///< The connection was refused.
  kShed,     ///< Answered that it did not start the request.
};

template <>
struct names_of<outcome_kind> {
  static constexpr std::array<std::string_view, 5> kTable = {
      "ok", "error", "timeout", "refused", "shed"};
};

/// One ended attempt.
struct outcome {
  outcome_kind kind = outcome_kind::kOk;
  int64_t latency_us = 0;  ///< Microseconds from dispatch to the whole answer.
  uint32_t route = 0;      ///< Index of the route in the rules.
};

/// Routes are folded into this many classes, each with evidence of its own.
inline constexpr size_t kRouteClasses = 8;

/// Evidence against one instance: cumulative sums of log-likelihood ratios of
/// its work being sick against it being like its peers', over all work and per
/// class of routes. High sums are rare by construction: while the instance is
/// like its peers, the mean number of samples until a sum reaches h is at least
/// e to the h.
class evidence {
 public:
  /// Notes that an attempt was sent; `attempt` is unique while it is out.
  void OnStart(uint64_t attempt, uint32_t route, millis now);

  /// Weighs an ended attempt against the peers' work on that class of routes.
  void OnOutcome(uint64_t attempt, const outcome& ended,
                 const peer_baseline& peers, millis now);

  /// Weighs attempts that are out for longer than nearly all of the peers'.
  /// `peers_of` gives the reference of a class of routes.
  template <typename References>
  void OnAge(const References& peers_of, millis now) {
    for (in_flight& each : in_flight_) {
      const peer_baseline& peers = peers_of(each.route);
      const int64_t age_us = (now - each.started).count() * 1000;
      if (!each.weighed && peers.ready() && age_us > peers.extreme_us()) {
        each.weighed = true;
        AddLate(each.route, now);
      }
    }
  }

  /// Takes a probe for a weak hint.
  void OnProbe(bool answered, millis now);

  /// Lets the evidence of an instance that gets no work fade.
  void Fade(millis now);

  /// Lowers the sums to `most`: what was seen has another cause.
  void Cap(double most);

  /// Forgets the sums, at the start of a probation.
  void Restart();

  /// The highest of the sums.
  [[nodiscard]] double Score() const;

  /// Recent share of failed attempts, over about the last twenty.
  [[nodiscard]] double failure_share() const { return failure_share_; }

  /// Recent share of failed attempts that got no answer at all.
  [[nodiscard]] double silent_share() const { return silent_share_; }

  /// Attempts refused since the last one that was not.
  [[nodiscard]] int refused_in_a_row() const { return refused_in_a_row_; }

  /// Good answers since the sums were restarted.
  [[nodiscard]] int good() const { return good_; }

  [[nodiscard]] size_t out() const { return in_flight_.size(); }

  /// Returns the evidence in a few words, for the time line.
  [[nodiscard]] std::string Describe() const;

 private:
  struct in_flight {
    uint64_t attempt = 0;
    uint32_t route = 0;
    millis started;
    bool weighed = false;  ///< Its age has been counted.
  };

  void Add(uint32_t route, double ratio, millis now);
  void AddLate(uint32_t route, millis now);
  void CountFailure(outcome_kind kind);

  std::array<double, kRouteClasses + 1> sums_{};  ///< The last is of all work.
  std::vector<in_flight> in_flight_;
  millis last_sample_;
  double failure_share_ = 0;
  double silent_share_ = 0;
  int refused_in_a_row_ = 0;
  int good_ = 0;
  int64_t recent_us_ = 0;  ///< Moving mean of latencies.
  int64_t peers_us_ = 0;   ///< The peers' median when last compared.
};

}  // namespace peridotarch

#endif  // DETECTION_EVIDENCE_H_
