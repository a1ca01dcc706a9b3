#include "front_world.h"

namespace peridotarch {
namespace {

// The limit lost its upper half, so that every request was refused with 431.
TEST_CASE("a limit for heads of 2^32 bytes and more takes requests") {
  front_world world;
  world.AddInstance([](const http_request& request) {
    return InstanceAnswer(RequestId(request), 200, "body",
                          "X-Response-Seal: 1.2.3\r\n");
  });
  world.AddRoute("/p/", true);
  for (const size_t limit : {size_t{1} << 32, (size_t{1} << 32) + 9}) {
    fleet_config config = world.node->routes.Load()->config();
    config.limits.header_bytes = limit;
    world.node->routes.Store(std::make_shared<const route_index>(config));
    CHECK(
        world.SendRequest(boost::beast::http::verb::get, "/p/x").result_int() ==
        200);
  }
}

}  // namespace
}  // namespace peridotarch
