#include "core/metrics.h"

#include <array>
#include <charconv>

#include "core/error.h"
#include "core/invariant.h"
#include "core/task_failure.h"

namespace peridotarch {

namespace {

constexpr std::string_view kPrefix = "peridotarch_";

std::string EscapeValue(std::string_view value) {
  std::string text;
  for (const char c : value) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      text.push_back('\\');
    }
    text.push_back(c);
  }
  return text;
}

std::string EscapeHelp(std::string_view help) {
  std::string text;
  for (const char c : help) {
    text += c == '\n' ? "\\n" : c == '\\' ? "\\\\" : std::string(1, c);
  }
  return text;
}

std::string ToLabels(const std::vector<metric_label>& labels) {
  std::string text;
  for (const metric_label& label : labels) {
    text += text.empty() ? "" : ",";
    text += label.name + "=\"" + EscapeValue(label.value) + '"';
  }
  return text;
}

std::string FormatNumber(double value) {
  std::array<char, 32> digits{};
  const auto [end, failure] =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  return {digits.data(), end};
}

std::string Line(const std::string& name, const std::string& labels,
                 const std::string& value) {
  const std::string braces = labels.empty() ? "" : '{' + labels + '}';
  return name + braces + ' ' + value + '\n';
}

std::string Header(const std::string& name, std::string_view help,
                   std::string_view type) {
  return "# HELP " + name + ' ' + EscapeHelp(help) + "\n# TYPE " + name + ' ' +
         std::string(type) + '\n';
}

std::string LatencyLines(const std::string& name, const std::string& labels,
                         const latency_reading& read) {
  const std::array<std::pair<std::string_view, double>, 4> quantiles = {
      {{"0.5", read.p50},
       {"0.9", read.p90},
       {"0.99", read.p99},
       {"0.999", read.p999}}};
  const std::string comma = labels.empty() ? "" : labels + ',';
  std::string text;
  for (const auto& [fraction, value] : quantiles) {
    const std::string quantile = "quantile=\"" + std::string(fraction) + '"';
    text += Line(name, comma + quantile, FormatNumber(value));
  }
  text += Line(name + "_sum", labels, FormatNumber(read.sum));
  text += Line(name + "_count", labels, std::to_string(read.count));
  return text;
}

std::string BreachLines() {
  const std::string name = std::string(kPrefix) + "invariant_breaches_total";
  std::string text = Header(
      name, "Promises that the process found broken, by invariant.", "counter");
  for (size_t i = 0; i < names_of<invariant>::kTable.size(); ++i) {
    const auto which = static_cast<invariant>(i);
    text += Line(name, ToLabels({{"invariant", std::string(ToName(which))}}),
                 std::to_string(Breaches(which)));
  }
  return text;
}

std::string TaskFailureLines() {
  const std::string name = std::string(kPrefix) + "task_failures_total";
  std::string text =
      Header(name, "Exceptions that left a task, by task.", "counter");
  for (const auto& [task, count] : TaskFailures()) {
    text += Line(name, ToLabels({{"task", task}}), std::to_string(count));
  }
  return text;
}

template <typename Metric>
Metric& FindOrAdd(std::map<std::string, std::unique_ptr<Metric>>& members,
                  const std::vector<metric_label>& labels) {
  auto& member = members[ToLabels(labels)];
  if (!member) {
    member = std::make_unique<Metric>();
  }
  return *member;
}

}  // namespace

counter& metrics::Counter(std::string_view name, std::string_view help,
                          const std::vector<metric_label>& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrAdd(Family(name, help, kind::kCounter).counters, labels);
}

gauge& metrics::Gauge(std::string_view name, std::string_view help,
                      const std::vector<metric_label>& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrAdd(Family(name, help, kind::kGauge).gauges, labels);
}

latency_summary& metrics::Latency(std::string_view name, std::string_view help,
                                  const std::vector<metric_label>& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrAdd(Family(name, help, kind::kLatency).latencies, labels);
}

metrics::family& metrics::Family(std::string_view name, std::string_view help,
                                 kind of) {
  const auto known = families_.find(name);
  if (known == families_.end()) {
    family& added = families_[std::string(name)];
    added.of = of;
    added.help = help;
    return added;
  }
  if (known->second.of != of) {
    throw error("metric registered with another kind: " + std::string(name));
  }
  return known->second;
}

std::string metrics::ToText() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [name, family] : families_) {
    text += ToText(std::string(kPrefix) + name, family);
  }
  return text + BreachLines() + TaskFailureLines();
}

std::string metrics::ToText(const std::string& name, const family& of) {
  constexpr std::array<std::string_view, 3> kTypes = {"counter", "gauge",
                                                      "summary"};
  std::string text = Header(name, of.help, kTypes[static_cast<size_t>(of.of)]);
  for (const auto& [labels, metric] : of.counters) {
    text += Line(name, labels, std::to_string(metric->Value()));
  }
  for (const auto& [labels, metric] : of.gauges) {
    text += Line(name, labels, std::to_string(metric->Value()));
  }
  std::string maxima;
  for (const auto& [labels, metric] : of.latencies) {
    const latency_reading read = metric->Read();
    text += LatencyLines(name, labels, read);
    maxima += Line(name + "_max", labels, FormatNumber(read.max));
  }
  if (!maxima.empty()) {
    text +=
        Header(name + "_max", "Highest sample of " + name, "gauge") + maxima;
  }
  return text;
}

}  // namespace peridotarch
