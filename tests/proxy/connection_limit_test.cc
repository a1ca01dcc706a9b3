// Connections to the ports of the product's own interface.
#include "proxy/connection_limit.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "proxy/http_session.h"

namespace peridotarch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Accepted connections that wait for a request.
struct waiting_connections {
  void Add() {
    tcp::socket caller(context);
    caller.connect(acceptor.local_endpoint());
    callers.push_back(std::move(caller));
    const auto session = std::make_shared<http_session>(
        boost::beast::tcp_stream(acceptor.accept()));
    sessions.push_back(session);
    places.push_back(std::make_unique<connection_place>(limit, session));
    if (places.back()->is_admitted()) {
      places.back()->SetIdle(true);
      ended.push_back(false);
      asio::co_spawn(context, Wait(session, ended.size() - 1), asio::detached);
    }
    context.poll();
  }

  awaitable<void> Wait(std::shared_ptr<http_session> session, size_t number) {
    ended[number] = !co_await session->WaitForBytes();
  }

  asio::io_context context;
  tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
  connection_limit limit{3};
  std::vector<tcp::socket> callers;
  std::vector<std::shared_ptr<http_session>> sessions;
  std::vector<std::unique_ptr<connection_place>> places;
  std::vector<bool> ended;
};

// Connections that send nothing took the memory and the descriptors.
TEST_CASE("own connection limit: the one that is idle for longest is closed") {
  waiting_connections world;
  for (int i = 0; i < 5; ++i) {
    world.Add();
  }
  CHECK(world.ended == std::vector<bool>{true, true, false, false, false});
}

TEST_CASE(
    "own connection limit: beyond it busy ones stay, new ones are not "
    "admitted") {
  waiting_connections world;
  for (int i = 0; i < 3; ++i) {
    world.Add();
    world.places.back()->SetIdle(false);
  }
  world.Add();
  CHECK_FALSE(world.places.back()->is_admitted());
  CHECK(world.limit.open() == 3);
  world.places.erase(world.places.begin());
  world.Add();
  CHECK(world.places.back()->is_admitted());
}

}  // namespace
}  // namespace peridotarch
