#include "standin/run_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotarch::standin {

size_t run_ledger::Start(run_record run) {
  runs_.push_back(std::move(run));
  return runs_.size() - 1;
}

void run_ledger::Finish(size_t number, millis now, std::string outcome) {
  runs_[number].ended = now;
  runs_[number].outcome = std::move(outcome);
}

nlohmann::json run_ledger::Page(size_t from, size_t max) const {
  nlohmann::json list = nlohmann::json::array();
  const size_t end = std::min(runs_.size(), from + max);
  for (size_t at = from; at < end; ++at) {
    const run_record& run = runs_[at];
    list.push_back({{"instance", run.instance},
                    {"incarnation", run.incarnation},
                    {"attempt", run.attempt},
                    {"key", run.key},
                    {"tag", run.tag},
                    {"method", run.method},
                    {"path", run.path},
                    {"started", run.started.count()},
                    {"ended", run.ended.count()},
                    {"outcome", run.outcome}});
  }
  return {{"next", std::max(end, from)}, {"runs", list}};
}

}  // namespace peridotarch::standin
