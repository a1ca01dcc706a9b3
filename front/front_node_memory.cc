#include <array>
#include <nlohmann/json.hpp>

#include "core/names.h"
#include "front/caller_session.h"
#include "front/front_node.h"

namespace peridotarch {

// A closed connection leaves the set when its session ends, in the next turn of
// the event loop, and is not idle any more.
bool front_node::MakeRoomForCaller() {
  if (sessions.size() < max_connections) {
    return true;
  }
  caller_session* longest = nullptr;
  for (caller_session* session : sessions) {
    if (session->IsIdle() &&
        (longest == nullptr || session->idle_since() < longest->idle_since())) {
      longest = session;
    }
  }
  if (longest == nullptr) {
    OnConnectionClosed(close_cause::kCallerBusy);
    return false;
  }
  longest->CloseIfIdle();
  OnConnectionClosed(close_cause::kCallerIdle);
  return true;
}

void front_node::OnConnectionClosed(close_cause cause) {
  counters
      .Counter("connections_closed_total",
               "Connections that were closed since too many were open.",
               {{"cause", std::string(ToName(cause))}})
      .Add();
  log.Write("connection_closed", {{"cause", ToName(cause)},
                                  {"connections", sessions.size()},
                                  {"allowed", max_connections}});
}

void front_node::UpdateMemoryGauges() {
  constexpr std::array kKinds = {memory_kind::kRequest, memory_kind::kAnswer};
  for (const memory_kind kind : kKinds) {
    counters
        .Gauge("memory_bytes", "Memory held for callers and instances.",
               {{"kind", std::string(ToName(kind))}})
        .Set(static_cast<int64_t>(memory->in_use(kind)));
  }
  counters.Gauge("memory_limit_bytes", "Limit on the sum of memory_bytes.")
      .Set(static_cast<int64_t>(memory->limits().total));
  counters.Gauge("caller_connections", "Open connections of callers.")
      .Set(static_cast<int64_t>(sessions.size()));
}

void front_node::OnBodyDropped(const instance_entry& instance) {
  counters
      .Counter("answer_bodies_dropped_total",
               "Bodies of answers that were dropped for want of memory.")
      .Add();
  log.Write("answer_body_dropped",
            {{"instance", instance.id},
             {"service", instance.service},
             {"bytes_in_use", memory->in_use(memory_kind::kAnswer)},
             {"bytes_allowed", memory->limits().answers}});
}

bool front_node::HasRoomForAnswerOf(const std::string& route) const {
  return memory->HasRoomForAnswer(sizes.Expected(KeyOf(route)));
}

void front_node::OnAnswerRefused(const std::string& route) {
  counters
      .Counter("requests_refused_for_answer_memory_total",
               "Requests that were not sent for want of memory for a long "
               "answer.")
      .Add();
  log.Write("answer_memory_short",
            {{"route", route},
             {"expected_bytes", sizes.Expected(KeyOf(route))},
             {"answer_bytes", memory->in_use(memory_kind::kAnswer)},
             {"bytes_allowed", memory->limits().answers}});
}

void front_node::OnRequestEnded() {
  counters
      .Counter("requests_ended_for_memory_total",
               "Requests that were refused while they were read, for want of "
               "memory.")
      .Add();
  log.Write("request_memory_short",
            {{"request_bytes", memory->in_use(memory_kind::kRequest)},
             {"answer_bytes", memory->in_use(memory_kind::kAnswer)},
             {"bytes_allowed", memory->limits().total},
             {"connections", sessions.size()}});
}

}  // namespace peridotarch
