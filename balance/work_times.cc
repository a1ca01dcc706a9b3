#include "balance/work_times.h"

#include <algorithm>

namespace peridotarch {

namespace {

// Until answers have been seen, the work is taken for this share of the
// objective, as if that many answers had shown it.
constexpr double kFirstObjectiveShare = 0.3;
constexpr double kMaxFirstMs = 500;
constexpr int kFirstSamples = 4;
constexpr int kMaxSamples = 20;
constexpr double kMaxSampleFactor = 5;  // of the mean; caps outliers
constexpr double kNewSampleWeight = 1.0 / kMaxSamples;

void AddToMean(double& mean, double sample, double weight) {
  mean = mean == 0 ? sample : mean + weight * (sample - mean);
}

}  // namespace

// All routes of a service share one objective: the most urgent route may have
// the shortest objective, and must not be refused before the others.
void work_times::NoteRequest(uint32_t route, millis objective) {
  const auto sample = static_cast<double>(objective.count());
  AddToMean(mean_objective_, sample, kNewSampleWeight);
  moving_mean& mean = by_route_[route];
  if (mean.samples == 0) {
    mean = {std::clamp(sample * kFirstObjectiveShare, 1.0, kMaxFirstMs),
            kFirstSamples};
    AddToMean(mean_in_slot_, mean.value, kNewSampleWeight);
  }
}

void work_times::NoteWork(uint32_t route, millis work) {
  const auto found = by_route_.find(route);
  if (found == by_route_.end()) {
    return;
  }
  moving_mean& mean = found->second;
  const double sample = std::clamp(static_cast<double>(work.count()), 1.0,
                                   mean.value * kMaxSampleFactor);
  mean.samples = std::min(mean.samples + 1, kMaxSamples);
  AddToMean(mean.value, sample, 1.0 / mean.samples);
  const double weight = std::min(1.0, mean.value / mean_in_slot_);
  AddToMean(mean_in_slot_, sample, kNewSampleWeight * weight);
}

double work_times::MeanOf(uint32_t route) const {
  const auto found = by_route_.find(route);
  return found == by_route_.end() ? mean_in_slot_ : found->second.value;
}

}  // namespace peridotarch
