#include "proxy/daemon.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/invariant.h"
#include "core/task_failure.h"
#include "memory/memory_budget.h"
#include "proxy/caller_session.h"
#include "proxy/control.h"
#include "proxy/listener.h"
#include "proxy/node.h"
#include "proxy/peer_session.h"
#include "proxy/spawn.h"

namespace peridotarch {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// How long a leaving proxy still accepts: the balancer sees it unready and
// peers learn that it leaves.
constexpr millis kNoticeTime(2000);
// How long nothing may be in flight before the process ends.
constexpr millis kQuietTime(300);
constexpr millis kQuietCheck(50);
constexpr millis kDrainMargin(2000);  // beyond the longest route's timeout

using serve = std::function<awaitable<void>(boost::beast::tcp_stream)>;

awaitable<void> Accept(std::shared_ptr<tcp::acceptor> acceptor, serve run) {
  const asio::any_io_executor executor = acceptor->get_executor();
  while (acceptor->is_open()) {
    boost::system::error_code failure;
    tcp::socket socket(asio::make_strand(executor));
    co_await acceptor->async_accept(
        socket, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      // Out of descriptors, or the caller left in the backlog.
      co_await Sleep(executor, kQuietCheck);
      continue;
    }
    socket.set_option(tcp::no_delay(true), failure);
    const auto on = socket.get_executor();
    auto session = run(boost::beast::tcp_stream(std::move(socket)));
    SpawnLogged(on, "connection", std::move(session));
  }
}

millis LongestTimeout(const node& here) {
  millis longest;
  if (const auto config = here.config.Load()) {
    for (const route_rule& route : config->rule_set.routes) {
      longest = std::max(longest, route.timeout);
    }
  }
  return longest;
}

// Waits until no request has been in flight for kQuietTime, at most as long as
// the longest route may take.
awaitable<void> WaitUntilQuiet(const strand& on, const node& here) {
  const millis until =
      steady_clock::Now() + LongestTimeout(here) + kDrainMargin;
  millis quiet_since = steady_clock::Now();
  while (steady_clock::Now() < until) {
    const millis now = steady_clock::Now();
    if (here.in_flight.load() != 0) {
      quiet_since = now;
    } else if (now - quiet_since >= kQuietTime) {
      co_return;
    }
    co_await Sleep(on, kQuietCheck);
  }
}

awaitable<void> ShutDown(std::shared_ptr<node> here,
                         std::shared_ptr<control> loops,
                         std::shared_ptr<tcp::acceptor> callers) {
  const strand on = asio::make_strand(here->context);
  here->draining.store(true);
  here->events.Add(wall_clock::Now(), event_kind::kStopping,
                   here->settings.node, "");
  LOG(INFO) << "leaving: not ready, shards handed over";
  co_await loops->Leave();
  co_await Sleep(on, kNoticeTime);
  boost::system::error_code ignored;
  callers->close(ignored);
  co_await WaitUntilQuiet(on, *here);
  Check(here->in_flight.load() == 0, invariant::kGracefulShutdown);
  LOG(INFO) << "stopped with " << here->in_flight.load()
            << " requests in flight";
  here->context.stop();
}

awaitable<void> ShutDownOnSignal(std::unique_ptr<asio::signal_set> signals,
                                 std::shared_ptr<node> here,
                                 std::shared_ptr<control> loops,
                                 std::shared_ptr<tcp::acceptor> callers) {
  co_await signals->async_wait(asio::use_awaitable);
  co_await ShutDown(std::move(here), std::move(loops), std::move(callers));
}

}  // namespace

void RunDaemon(const proxy_settings& settings) {
  SetTaskFailureLog([](std::string_view task, std::string_view what) {
    LOG(ERROR) << "task " << task << " failed: " << what;
  });
  ReturnFreedMemory();
  asio::io_context context(settings.threads);
  const auto here = std::make_shared<node>(context, settings);
  const auto callers = std::make_shared<tcp::acceptor>(
      Listen(context, {settings.address, settings.port},
             tcp::acceptor::max_listen_connections));
  const auto inner = std::make_shared<tcp::acceptor>(
      Listen(context, {settings.address, settings.inner_port},
             tcp::acceptor::max_listen_connections));
  const auto loops = std::make_shared<control>(here);

  SpawnLogged(context, "shutdown",
              ShutDownOnSignal(
                  std::make_unique<asio::signal_set>(context, SIGTERM, SIGINT),
                  here, loops, callers));
  here->events.Add(wall_clock::Now(), event_kind::kStarted, settings.node,
                   "zone " + settings.zone);
  loops->Start();
  const serve serve_caller = [here](boost::beast::tcp_stream stream) {
    return ServeCaller(here, std::move(stream));
  };
  const serve serve_peer = [here, loops](boost::beast::tcp_stream stream) {
    return ServePeer(here, loops, std::move(stream));
  };
  SpawnLoop(context, "accept_callers",
            [callers, serve_caller] { return Accept(callers, serve_caller); });
  SpawnLoop(context, "accept_peers",
            [inner, serve_peer] { return Accept(inner, serve_peer); });
  LOG(INFO) << "node " << settings.node << " serves callers on "
            << settings.address << ":" << settings.port << " and the fleet on "
            << settings.inner_port;
  std::vector<std::thread> threads;
  for (int i = 1; i < settings.threads; ++i) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace peridotarch
