#include "proxy/node.h"

#include <algorithm>
#include <utility>

namespace peridotarch {

namespace {

constexpr size_t kTimelineEvents = 2048;

// Both ports together.
size_t MostConnections(const node& here) {
  return std::min(ConnectionsFor(here.memory->limits()),
                  ConnectionsForDescriptors(here.settings.max_fds));
}

}  // namespace

node::node(boost::asio::io_context& on, proxy_settings with)
    : context(on),
      settings(std::move(with)),
      incarnation(static_cast<uint64_t>(wall_clock::Now().count())),
      measures(registry),
      events(settings.node, kTimelineEvents),
      config(nullptr),
      fleet(std::make_shared<fleet_view>()),
      teams(std::make_shared<team_table>()),
      hosts(std::make_shared<host_list>()),
      owners(*this),
      memory(std::make_shared<memory_budget>(LimitsFor(
          settings.memory_bytes, UsualAnswerBytes(settings.memory_bytes)))),
      callers(MostConnections(*this) / 2),
      peers(MostConnections(*this) / 2) {}

std::string NextRequestId(node& in) {
  const uint64_t number = in.next_request.fetch_add(1);
  return in.settings.node + "." + std::to_string(in.incarnation) + "." +
         std::to_string(number);
}

}  // namespace peridotarch
