#include "front/front_daemon.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "core/error.h"
#include "core/invariant.h"
#include "front/caller_session.h"
#include "front/front_node.h"
#include "front/peer_reporter.h"
#include "front/store_watch.h"
#include "platform/boot_settings.h"
#include "platform/call_wire.h"
#include "proxy/executor.h"
#include "proxy/listener.h"

namespace peridotarch {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kBacklog = 512;
constexpr millis kAcceptPause(50);
constexpr millis kProbeIdle(10'000);
// The balancer takes a node out after two missed checks a second apart.
constexpr millis kNoticeTime(2'500);
constexpr millis kCloseMargin(1'600);  // idle connections, before the kill
constexpr millis kEndMargin(400);      // the process, before the kill
constexpr millis kQuietCheck(50);
constexpr millis kFileCheck(5'000);

using serve = std::function<awaitable<void>(boost::beast::tcp_stream)>;

awaitable<void> Accept(tcp::acceptor& acceptor, serve run) {
  const asio::any_io_executor on = acceptor.get_executor();
  while (acceptor.is_open()) {
    error_code failure;
    tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      // Out of descriptors, or the caller left in the backlog.
      co_await Sleep(on, kAcceptPause);
      continue;
    }
    socket.set_option(tcp::no_delay(true), failure);
    auto session = run(boost::beast::tcp_stream(std::move(socket)));
    asio::co_spawn(on, std::move(session), asio::detached);
  }
}

http_response AnswerProbe(front_node& here, const http_request& request) {
  constexpr int kHttp11 = 11;
  if (request.target() == "/metrics") {
    http_response answer(http::status::ok, kHttp11);
    answer.set(http::field::content_type, "text/plain; version=0.0.4");
    answer.body() = here.counters.ToText();
    answer.prepare_payload();
    return answer;
  }
  if (store_mirror::IsAsked(request.target())) {
    return here.mirror.Answer(request.target());
  }
  http_response answer(
      here.Ready() ? http::status::ok : http::status::service_unavailable,
      kHttp11);
  answer.body() = here.Ready() ? "ready\n" : "not ready\n";
  answer.prepare_payload();
  return answer;
}

// Serves the balancer's checks, the scraping of metrics and the nodes that
// cannot reach the store.
awaitable<void> ServeProbe(std::shared_ptr<front_node> here,
                           boost::beast::tcp_stream stream) {
  http_session session(std::move(stream));
  read_limits limits;
  limits.idle = kProbeIdle;
  for (;;) {
    const read_outcome read = co_await session.Read(limits);
    if (!read.request) {
      break;
    }
    http_response answer = AnswerProbe(*here, *read.request);
    const bool more =
        co_await session.Write(std::move(answer), read.request->keep_alive());
    if (!more) {
      break;
    }
  }
  session.Close();
}

// Not ready first; callers' open connections are served until the balancer
// has taken the node out, then those that are idle are closed.
awaitable<void> ShutDown(std::shared_ptr<front_node> here,
                         std::shared_ptr<peer_reporter> peers) {
  const asio::any_io_executor on = here->context.get_executor();
  const millis begun = boot_clock::Now();
  const millis end = begun + here->settings.shutdown_grace - kEndMargin;
  here->draining = true;
  here->stops_at = end;
  here->log.Write("stopping", {{"in_flight", here->in_flight},
                               {"connections", here->sessions.size()}});
  peers->AnnounceLeaving();
  const auto close_at =
      std::max(begun + kNoticeTime,
               begun + here->settings.shutdown_grace - kCloseMargin);
  while (boot_clock::Now() < end) {
    const millis now = boot_clock::Now();
    if (now >= close_at) {
      const std::vector<caller_session*> open(here->sessions.begin(),
                                              here->sessions.end());
      for (caller_session* session : open) {
        session->CloseIfIdle();
      }
    }
    const bool noticed = now >= begun + kNoticeTime;
    if (noticed && here->in_flight == 0 && here->sessions.empty()) {
      break;
    }
    co_await Sleep(on, kQuietCheck);
  }
  here->Verify(here->in_flight == 0, invariant::kGracefulShutdown, "");
  here->log.Write("stopped", {{"in_flight", here->in_flight}});
  here->context.stop();
}

void LogSettings(front_node& here, std::string_view event) {
  const node_settings& now = here.settings;
  here.log.Write(event, {{"zone", now.zone},
                         {"incarnation", here.incarnation},
                         {"retry_ratio", now.retries.ratio},
                         {"retry_slack", now.retries.slack},
                         {"retry_window_ms", now.retries.window.count()},
                         {"grace_ms", now.shutdown_grace.count()}});
}

// A bad file leaves the settings in force.
void Reload(front_node& here, const std::string& path) {
  try {
    const node_settings fresh = ReadBootSettings(path);
    here.retries.SetLimits(fresh.retries);
    here.settings.retries = fresh.retries;
    here.settings.shutdown_grace = fresh.shutdown_grace;
    LogSettings(here, "reloaded");
  } catch (const settings_error& bad) {
    here.log.Write("reload_refused", {{"error", bad.what()}});
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// The platform may change the file without a signal.
awaitable<void> ReloadOnChange(std::shared_ptr<front_node> here,
                               std::string path) {
  const asio::any_io_executor on = here->context.get_executor();
  std::string known = ReadFile(path);
  for (;;) {
    co_await Sleep(on, kFileCheck);
    std::string text = ReadFile(path);
    if (text != known) {
      known = std::move(text);
      Reload(*here, path);
    }
  }
}

awaitable<void> ReloadOnHangUp(std::shared_ptr<front_node> here,
                               std::string path) {
  asio::signal_set hang_up(here->context, SIGHUP);
  for (;;) {
    co_await hang_up.async_wait(asio::use_awaitable);
    Reload(*here, path);
  }
}

}  // namespace

void RunFrontDaemon(const std::string& settings_path) {
  const node_settings settings = ReadBootSettings(settings_path);
  asio::io_context context(1);
  const auto seed = static_cast<uint64_t>(wall_clock::Now().count());
  const auto here = std::make_shared<front_node>(context, settings,
                                                 seed ^ KeyOf(settings.node));
  LogSettings(*here, "started");
  std::signal(SIGPIPE, SIG_IGN);
  tcp::acceptor callers = Listen(context, settings.callers, kBacklog);
  tcp::acceptor ready = Listen(context, settings.ready, kBacklog);
  tcp::acceptor metrics =
      Listen(context, {settings.callers.host, settings.metrics_port}, kBacklog);
  tcp::acceptor control = Listen(context, settings.control, kBacklog);
  const auto peers = std::make_shared<peer_reporter>(here);
  const auto watch = std::make_shared<store_watch>(here);
  asio::signal_set stop(context, SIGTERM, SIGINT);
  stop.async_wait([&](const error_code& failure, int) {
    if (!failure) {
      asio::co_spawn(context, ShutDown(here, peers), asio::detached);
    }
  });
  asio::co_spawn(context, ReloadOnHangUp(here, settings_path), asio::detached);
  asio::co_spawn(context, ReloadOnChange(here, settings_path), asio::detached);
  peers->Start([watch](const std::string& peer) { watch->CatchUp(peer); });
  watch->Start([peers](const host_port& peer) { peers->AddPeer(peer); });
  const serve probe = [here](boost::beast::tcp_stream stream) {
    return ServeProbe(here, std::move(stream));
  };
  const serve caller = [here](boost::beast::tcp_stream stream) {
    return ServeCallerConnection(here, std::move(stream));
  };
  asio::co_spawn(context, Accept(ready, probe), asio::detached);
  asio::co_spawn(context, Accept(metrics, probe), asio::detached);
  asio::co_spawn(context, Accept(control, probe), asio::detached);
  asio::co_spawn(context, Accept(callers, caller), asio::detached);
  context.run();
}

}  // namespace peridotarch
