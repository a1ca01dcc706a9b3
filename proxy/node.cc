#include "proxy/node.h"

#include <utility>

namespace peridotarch {

namespace {

constexpr size_t kTimelineEvents = 2048;

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
      owners(*this) {}

std::string NextRequestId(node& in) {
  const uint64_t number = in.next_request.fetch_add(1);
  return in.settings.node + "." + std::to_string(in.incarnation) + "." +
         std::to_string(number);
}

}  // namespace peridotarch
