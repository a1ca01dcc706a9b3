#ifndef CORE_METRICS_H_
#define CORE_METRICS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/counter.h"
#include "core/gauge.h"
#include "core/latency_summary.h"

namespace peridotarch {

/// One label of a metric.
struct metric_label {
  std::string name;
  std::string value;
};

/// The metrics of one process. Registration takes a lock and returns a
/// reference that lives as long as the registry; recording through it takes
/// none that threads share. The same name and labels give the same metric.
class metrics {
 public:
  /// `name` is without the prefix "peridotarch_" that the text carries. Throws
  /// error when the name is registered with another kind.
  counter& Counter(std::string_view name, std::string_view help,
                   const std::vector<metric_label>& labels = {});
  gauge& Gauge(std::string_view name, std::string_view help,
               const std::vector<metric_label>& labels = {});
  latency_summary& Latency(std::string_view name, std::string_view help,
                           const std::vector<metric_label>& labels = {});

  /// Returns all metrics and the breaches of invariants in the Prometheus text
  /// format.
  [[nodiscard]] std::string ToText() const;

 private:
  enum class kind { kCounter, kGauge, kLatency };

  struct family {
    kind of = kind::kCounter;
    std::string help;
    std::map<std::string, std::unique_ptr<counter>> counters;
    std::map<std::string, std::unique_ptr<gauge>> gauges;
    std::map<std::string, std::unique_ptr<latency_summary>> latencies;
  };

  family& Family(std::string_view name, std::string_view help, kind of);
  static std::string ToText(const std::string& name, const family& of);

  mutable std::mutex mutex_;
  std::map<std::string, family, std::less<>> families_;
};

}  // namespace peridotarch

#endif  // CORE_METRICS_H_
