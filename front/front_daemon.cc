#include "front/front_daemon.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/invariant.h"
#include "core/task_failure.h"
#include "front/admin_service.h"
#include "front/caller_session.h"
#include "front/freshness_exchange.h"
#include "front/front_node.h"
#include "front/peer_reporter.h"
#include "front/store_watch.h"
#include "front/usage_reporter.h"
#include "platform/boot_settings.h"
#include "platform/call_wire.h"
#include "proxy/executor.h"
#include "proxy/listener.h"
#include "proxy/spawn.h"

namespace peridotarch {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kBacklog = 512;
constexpr millis kAcceptRetryDelay(50);
// The balancer removes a node after two failed checks, one second apart.
constexpr millis kBalancerNoticeTime(2'500);
constexpr millis kExitMargin(400);  // before the platform kills the process
constexpr millis kDrainPollInterval(50);
constexpr millis kFilePollInterval(5'000);
constexpr size_t kAdminFraction = 4;  // of the connections of callers

using connection_handler =
    std::function<awaitable<void>(boost::beast::tcp_stream)>;

awaitable<void> AcceptConnections(std::shared_ptr<tcp::acceptor> acceptor,
                                  connection_handler handle_connection) {
  const asio::any_io_executor executor = acceptor->get_executor();
  while (acceptor->is_open()) {
    error_code failure;
    tcp::socket socket = co_await acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      // The process is out of file descriptors, or the caller disconnected
      // while in the backlog.
      co_await Sleep(executor, kAcceptRetryDelay);
      continue;
    }
    socket.set_option(tcp::no_delay(true), failure);
    auto session =
        handle_connection(boost::beast::tcp_stream(std::move(socket)));
    SpawnLogged(executor, "connection", std::move(session));
  }
}

// Reports not ready at once, so that the balancer removes the node. Callers'
// open connections are served until the balancer has had time for that; idle
// ones are then closed, since their callers reach other nodes by new ones.
awaitable<void> ShutDown(std::shared_ptr<front_node> node,
                         std::shared_ptr<peer_reporter> peers) {
  const asio::any_io_executor executor = node->context.get_executor();
  const millis started_at = boot_clock::Now();
  const millis balancer_noticed_at = started_at + kBalancerNoticeTime;
  const millis exit_at =
      started_at + node->settings.shutdown_grace - kExitMargin;
  node->draining = true;
  node->shutdown = {balancer_noticed_at, exit_at};
  node->log.Write("stopping", {{"in_flight", node->in_flight},
                               {"connections", node->sessions.size()}});
  peers->AnnounceLeaving();
  while (boot_clock::Now() < exit_at) {
    if (boot_clock::Now() >= balancer_noticed_at) {
      const std::vector<caller_session*> open(node->sessions.begin(),
                                              node->sessions.end());
      for (caller_session* session : open) {
        session->CloseIfIdle();
      }
      if (node->in_flight == 0 && node->sessions.empty()) {
        break;
      }
    }
    co_await Sleep(executor, kDrainPollInterval);
  }
  node->Verify(node->in_flight == 0, invariant::kGracefulShutdown, "");
  node->log.Write("stopped", {{"in_flight", node->in_flight}});
  node->context.stop();
}

awaitable<void> ShutDownOnSignal(std::unique_ptr<asio::signal_set> signals,
                                 std::shared_ptr<front_node> node,
                                 std::shared_ptr<peer_reporter> peers) {
  co_await signals->async_wait(asio::use_awaitable);
  co_await ShutDown(std::move(node), std::move(peers));
}

void LogSettings(front_node& node, std::string_view event) {
  const node_settings& settings = node.settings;
  node.log.Write(event, {{"zone", settings.zone},
                         {"incarnation", node.incarnation},
                         {"retry_ratio", settings.retries.ratio},
                         {"retry_slack", settings.retries.slack},
                         {"retry_window_ms", settings.retries.window.count()},
                         {"grace_ms", settings.shutdown_grace.count()}});
}

// Keeps the current settings if the file is invalid.
void ReloadSettings(front_node& node, const std::string& path) {
  try {
    const node_settings reloaded = ReadBootSettings(path);
    node.retries.SetLimits(reloaded.retries);
    node.settings.retries = reloaded.retries;
    node.settings.shutdown_grace = reloaded.shutdown_grace;
    LogSettings(node, "reloaded");
  } catch (const settings_error& failure) {
    node.log.Write("reload_refused", {{"error", failure.what()}});
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Polls the file, since the platform may change it without a signal.
awaitable<void> ReloadOnChange(std::shared_ptr<front_node> node,
                               std::string path) {
  const asio::any_io_executor executor = node->context.get_executor();
  std::string loaded = ReadFile(path);
  for (;;) {
    co_await Sleep(executor, kFilePollInterval);
    std::string current = ReadFile(path);
    if (current != loaded) {
      loaded = std::move(current);
      ReloadSettings(*node, path);
    }
  }
}

awaitable<void> ReloadOnHangUp(std::shared_ptr<front_node> node,
                               std::string path) {
  asio::signal_set hangup(node->context, SIGHUP);
  for (;;) {
    co_await hangup.async_wait(asio::use_awaitable);
    ReloadSettings(*node, path);
  }
}

}  // namespace

void RunFrontDaemon(const std::string& settings_path) {
  ReturnFreedMemory();
  const node_settings settings = ReadBootSettings(settings_path);
  asio::io_context context(1);
  const auto seed = static_cast<uint64_t>(wall_clock::Now().count());
  const auto node = std::make_shared<front_node>(context, settings,
                                                 seed ^ KeyOf(settings.node));
  node->max_connections = std::min(node->max_connections,
                                   ConnectionsForDescriptors(settings.max_fds));
  SetTaskFailureLog([weak = std::weak_ptr(node)](std::string_view task,
                                                 std::string_view what) {
    if (const auto alive = weak.lock()) {
      alive->log.Write("task_failed", {{"task", task}, {"error", what}});
    }
  });
  LogSettings(*node, "started");
  const auto listen = [&context](const host_port& where) {
    return std::make_shared<tcp::acceptor>(Listen(context, where, kBacklog));
  };
  const auto callers = listen(settings.callers);
  const auto ready = listen(settings.ready);
  const auto metrics = listen({settings.callers.host, settings.metrics_port});
  const auto control = listen(settings.control);
  const auto peers = std::make_shared<peer_reporter>(node);
  const auto store = std::make_shared<store_watch>(node);
  SpawnLogged(context, "shutdown",
              ShutDownOnSignal(
                  std::make_unique<asio::signal_set>(context, SIGTERM, SIGINT),
                  node, peers));
  SpawnLoop(context, "reload_on_hangup", [node, settings_path] {
    return ReloadOnHangUp(node, settings_path);
  });
  SpawnLoop(context, "reload_on_change", [node, settings_path] {
    return ReloadOnChange(node, settings_path);
  });
  std::make_shared<freshness_exchange>(node)->Start();
  std::make_shared<usage_reporter>(node)->Start();
  peers->Start([store](const peer_ahead& peer) { store->CatchUp(peer); });
  store->Start([peers](const host_port& peer) { peers->AddPeer(peer); });
  const auto admin = std::make_shared<admin_service>(
      node, node->max_connections / kAdminFraction);
  const connection_handler serve_admin =
      [admin](boost::beast::tcp_stream stream) {
        return admin->Serve(std::move(stream));
      };
  const connection_handler serve_caller =
      [node](boost::beast::tcp_stream stream) {
        return ServeCallerConnection(node, std::move(stream));
      };
  for (const auto& acceptor : {ready, metrics, control}) {
    SpawnLoop(context, "accept", [acceptor, serve_admin] {
      return AcceptConnections(acceptor, serve_admin);
    });
  }
  SpawnLoop(context, "accept", [callers, serve_caller] {
    return AcceptConnections(callers, serve_caller);
  });
  context.run();
}

}  // namespace peridotarch
