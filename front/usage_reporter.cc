#include "front/usage_reporter.h"

#include <nlohmann/json.hpp>

#include "proxy/executor.h"
#include "proxy/spawn.h"

namespace peridotarch {

namespace {

constexpr millis kTickInterval(100);
constexpr millis kIdleInterval(500);  // while no team has a limit
// Reports are sent each second, and more often while a team is near its limit.
// Traffic between zones is paid for.
constexpr int kUsualTicks = 10;
constexpr int kNearLimitTicks = 2;
constexpr int kNearLimitTicksToOtherZones = 4;
// So many nodes of a zone report its sum to the others, as one may be dead.
constexpr int kZoneReporters = 2;

}  // namespace

void usage_reporter::Start() {
  const std::weak_ptr<usage_reporter> weak = weak_from_this();
  node_->peers.handlers[peer_message_kind::kTeamUsage] =
      [weak](const std::string& sender, std::string_view payload) {
        if (const auto self = weak.lock()) {
          self->HandleReport(sender, payload);
        }
      };
  // The coroutine keeps this object alive until the loop has ended.
  SpawnLoop(node_->context, "team_usage",
            [self = shared_from_this()]() { return self->Report(); });
}

awaitable<void> usage_reporter::Report() {
  const auto executor = node_->context.get_executor();
  for (;;) {
    const bool has_limits = node_->limits.has_limits();
    if (has_limits) {
      Tick();
    }
    co_await Sleep(executor, has_limits ? kTickInterval : kIdleInterval);
  }
}

void usage_reporter::Tick() {
  const millis now = boot_clock::Now();
  if (node_->nodes_listed) {
    node_->limits.SetKnownNodes(node_->peers.count_known());
  }
  node_->limits.Refresh(now);
  LogChanges();
  ++ticks_;
  const bool is_near_limit = node_->limits.IsNearLimit(now);
  if (ticks_ % kUsualTicks == 0 ||
      (is_near_limit && ticks_ % kNearLimitTicks == 0)) {
    SendReports(ticks_ % kUsualTicks == 0 ||
                ticks_ % kNearLimitTicksToOtherZones == 0);
  }
}

void usage_reporter::SendReports(bool to_other_zones) {
  const millis now = boot_clock::Now();
  for (const std::string& message : Encode(node_->limits.MakeNodeReport(now))) {
    node_->peers.send_to_zone(peer_message_kind::kTeamUsage, message);
  }
  if (!to_other_zones || node_->draining ||
      node_->peers.rank_in_zone() >= kZoneReporters) {
    return;
  }
  for (const std::string& message : Encode(node_->limits.MakeZoneReport(now))) {
    node_->peers.send_to_other_zones(peer_message_kind::kTeamUsage, message);
  }
}

void usage_reporter::HandleReport(const std::string& sender,
                                  std::string_view payload) {
  usage_report report = DecodeUsageReport(payload);
  node_->limits.Apply(sender, report, boot_clock::Now());
  if (report.scope != usage_scope::kZone) {
    return;
  }
  report.scope = usage_scope::kRelayed;
  for (const std::string& message : Encode(report)) {
    node_->peers.send_to_zone(peer_message_kind::kTeamUsage, message);
  }
}

void usage_reporter::LogChanges() {
  for (const limit_change& change :
       node_->limits.TakeChanges(boot_clock::Now())) {
    node_->log.Write(change.is_limited ? "team_limited" : "team_limit_ended",
                     {{"team", change.team},
                      {"refused", change.refused},
                      {"nodes_heard_part", node_->limits.HeardPart()}});
  }
}

}  // namespace peridotarch
