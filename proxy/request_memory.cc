#include "proxy/request_memory.h"

#include <boost/asio/post.hpp>

#include "proxy/http_session.h"
#include "proxy/node.h"

namespace peridotarch {

// It may be ended by a connection on another strand.
std::shared_ptr<memory_reservation> ReserveRequest(
    const node& here, const std::shared_ptr<http_session>& session) {
  auto end = [weak = std::weak_ptr(session)] {
    if (const auto open = weak.lock()) {
      boost::asio::post(open->stream().get_executor(),
                        [open] { open->AbortRead(); });
    }
  };
  return std::make_shared<memory_reservation>(
      here.memory, memory_kind::kRequest, std::move(end), boot_clock::Now());
}

void UpdateMemoryGauges(node& here) {
  for (const memory_kind kind : {memory_kind::kRequest, memory_kind::kAnswer}) {
    here.registry
        .Gauge("memory_bytes", "Memory held for callers and instances.",
               {{"kind", std::string(ToName(kind))}})
        .Set(static_cast<int64_t>(here.memory->in_use(kind)));
  }
  here.registry.Gauge("memory_limit_bytes", "Limit on the sum of memory_bytes.")
      .Set(static_cast<int64_t>(here.memory->limits().total));
  here.registry.Gauge("caller_connections", "Open connections of callers.")
      .Set(static_cast<int64_t>(here.callers.open()));
  here.registry.Gauge("peer_connections", "Open connections to the inner port.")
      .Set(static_cast<int64_t>(here.peers.open()));
}

}  // namespace peridotarch
