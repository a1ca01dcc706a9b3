#include "front/front_node.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "balance/retry_delay.h"
#include "front/caller_session.h"

namespace peridotarch {

namespace {

constexpr int64_t kMicrosPerMilli = 1000;

// Returns the start time in units of 16 ms. The number wraps after two years,
// and no process starts twice within one unit.
uint32_t IncarnationAt(millis wall) {
  constexpr int kShift = 4;
  return static_cast<uint32_t>(wall.count() >> kShift);
}

}  // namespace

front_node::front_node(boost::asio::io_context& io,
                       node_settings initial_settings, uint64_t seed)
    : context(io),
      settings(std::move(initial_settings)),
      incarnation(IncarnationAt(wall_clock::Now())),
      started_at(boot_clock::Now()),
      routes(nullptr),
      selector(settings.zone, seed),
      memory(std::make_shared<memory_budget>(
          LimitsFor(settings.memory_bytes, settings.answer_bytes))),
      pool(io, memory),
      random(seed + 1),
      log(settings.node),
      retries(settings.retries),
      max_connections(ConnectionsFor(memory->limits())),
      freshness(settings.max_config_age),
      limits(settings.team_limits, ZoneKeyOf(settings.zone),
             settings.is_first_start, seed + 2) {
  pool.on_notice = [this](const instance_entry& instance,
                          const answer_notice& notice) {
    OnNotice(instance, notice);
  };
  pool.on_body_dropped = [this](const instance_entry& instance) {
    OnBodyDropped(instance);
  };
  pool.may_send = [this](const instance_entry& instance) {
    return selector.IsInUse(instance) &&
           selector.MaySend(instance, boot_clock::Now());
  };
}

config_version front_node::ConfigVersion() const {
  const auto in_force = routes.Load();
  return in_force ? in_force->config().version : 0;
}

bool front_node::IsBehindPeers() const {
  return store_era > 0 && reported_version &&
         ConfigVersion() < *reported_version;
}

// A node that starts hears its peers within a fraction of a second. One that
// hears none serves by what the store has. Once the node serves, it goes on: a
// peer may know a new version a little earlier.
bool front_node::IsConfigConfirmed() const {
  constexpr millis kMaxTimeAlone(1'500);
  if (!is_config_confirmed_ && routes.Load() != nullptr) {
    const bool is_alone = boot_clock::Now() - started_at > kMaxTimeAlone;
    is_config_confirmed_ =
        store_era == 0 || (reported_version ? !IsBehindPeers() : is_alone);
  }
  return is_config_confirmed_;
}

bool front_node::HasRecords() const {
  return instances_known && routes.Load() != nullptr;
}

bool front_node::CanServeTeams() const {
  const auto in_force = routes.Load();
  return !in_force || !in_force->teams().requires_keys() ||
         freshness.IsFresh(boot_clock::Now());
}

bool front_node::Ready() const {
  return !draining && HasRecords() && IsConfigConfirmed() && CanServeTeams();
}

void front_node::Verify(bool holds, invariant which,
                        const std::string& request) {
  if (!holds) {
    log.Write("promise_broken", {{"promise", ToName(which)},
                                 {"request", request},
                                 {"in_flight", in_flight},
                                 {"breaches", Breaches(which) + 1}});
  }
  Check(holds, which);
}

// Callers that are refused at the same moment do not return together.
millis front_node::Jitter(millis span) {
  constexpr double kMinFactor = 0.5;
  return millis(static_cast<int64_t>(static_cast<double>(span.count()) *
                                     (kMinFactor + random.Unit())));
}

millis front_node::RetryAfter(const std::string& service, millis usual,
                              millis time_left) {
  if (usual == millis(0)) {
    return usual;
  }
  const millis rest = selector.RestLeft(service, boot_clock::Now());
  return rest > millis(0) ? DelayAfterRest(rest, time_left, random.Unit())
                          : Jitter(usual);
}

millis front_node::DelayAfterLimit(millis delay) {
  constexpr double kSpread = 0.5;
  return delay +
         millis(static_cast<int64_t>(static_cast<double>(delay.count()) *
                                     kSpread * random.Unit()));
}

void front_node::OnNotice(const instance_entry& instance,
                          const answer_notice& notice) {
  selector.NoteAnswer(instance, notice, boot_clock::Now());
  LogHealthChanges();
}

void front_node::CountAnswer(reason why, millis taken) {
  counters
      .Counter("answers_total", "Answers to callers by reason.",
               {{"reason", std::string(ToName(why))}})
      .Add();
  counters.Latency("request_seconds", "Time from a request to its answer.")
      .Record(static_cast<uint64_t>(taken.count() * kMicrosPerMilli));
}

void front_node::LogRetryDenied(const std::string& request,
                                const std::string& service, int priority) {
  const retry_budget_state budget =
      retries.StateFor(service, priority, boot_clock::Now());
  log.Write("retry_denied", {{"request", request},
                             {"service", service},
                             {"priority", priority},
                             {"used", budget.used},
                             {"allowed", budget.allowed},
                             {"nodes_heard", budget.nodes_heard},
                             {"nodes_known", budget.nodes_known}});
}

// Closing a connection does not end its session at once, so the set does not
// change meanwhile.
void front_node::CloseIdleCallers(millis now) {
  for (caller_session* session : sessions) {
    session->CloseIfIdleTooLong(now);
  }
}

void front_node::LogHealthChanges() {
  for (const health_change& change : selector.TakeChanges()) {
    log.Write(change.suspect ? "instance_suspect" : "instance_cleared",
              {{"instance", change.instance},
               {"cause", ToName(change.cause)},
               {"told_by", change.told_by},
               {"suspects", selector.suspects()},
               {"instances", selector.size()}});
  }
  for (const notice_change& change : selector.TakeNoticeChanges()) {
    HandleNoticeChange(change);
  }
}

void front_node::HandleNoticeChange(const notice_change& change) {
  const std::string kind(ToName(change.kind));
  nlohmann::ordered_json fields = {{"instance", change.instance.id},
                                   {"service", change.instance.service},
                                   {"started_at", change.instance.started_at},
                                   {"told_by", change.told_by}};
  if (change.ended) {
    fields["notice"] = kind;
    fields["ended"] = ToName(*change.ended);
    log.Write("instance_notice_ended", fields);
    return;
  }
  counters
      .Counter("instance_notices_total",
               "Instances that said that they are leaving or resting.",
               {{"notice", kind}})
      .Add();
  if (change.kind == notice_kind::kResting) {
    fields["rest_ms"] = change.rest.count();
    fields["until_ms"] = (wall_clock::Now() + change.rest).count();
    log.Write("instance_resting", fields);
    return;
  }
  log.Write("instance_leaving", fields);
  pool.CloseIdleTo(change.instance);
  if (change.told_by.empty()) {
    on_load_change(load_change::kHealthEvidence, KeyOf(change.instance.id));
  }
}

void front_node::PublishChange(load_change change, instance_key key) {
  LogHealthChanges();
  on_load_change(change, key);
}

}  // namespace peridotarch
