// The platform's balancer: passes TCP connections to proxies that are ready.
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "standin/program.h"

namespace peridotarch::standin {
namespace {

using nlohmann::json;

constexpr millis kCheckInterval{250};
constexpr millis kCheckTimeout{1'000};
constexpr size_t kRelayBytes = 16'384;

/// One proxy behind the balancer.
struct backend {
  std::string address;
  uint16_t port = 0;
  bool ready = false;
  bool checking = false;
  uint64_t connections = 0;

  [[nodiscard]] std::string name() const {
    return address + ":" + std::to_string(port);
  }
};

using shared_socket = std::shared_ptr<tcp::socket>;
using shared_backend = std::shared_ptr<backend>;

// Passes bytes one way; the end of the stream is passed on as well.
asio::awaitable<void> Relay(shared_socket from, shared_socket to) {
  std::vector<char> buffer(kRelayBytes);
  boost::system::error_code code;
  boost::system::error_code ignored;
  while (!code) {
    const size_t count =
        co_await from->async_read_some(asio::buffer(buffer), Into(code));
    if (count > 0) {
      co_await asio::async_write(*to, asio::buffer(buffer.data(), count),
                                 Into(ignored));
      if (ignored) {
        break;
      }
    }
  }
  if (code == asio::error::eof) {
    to->shutdown(tcp::socket::shutdown_send, ignored);
    co_return;
  }
  // A reset is passed on as a reset.
  to->set_option(asio::socket_base::linger(true, 0), ignored);
  to->close(ignored);
  from->close(ignored);
}

/// Chooses among the ready proxies by turns.
class balancer {
 public:
  balancer(asio::io_context& context, const std::vector<std::string>& names)
      : context_(context), acceptor_(context) {
    SetBackends(names);
  }

  uint16_t Open(const std::string& address, uint16_t port) {
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    asio::co_spawn(context_, AcceptLoop(), asio::detached);
    asio::co_spawn(context_, CheckLoop(), asio::detached);
    return acceptor_.local_endpoint().port();
  }

  /// Replaces the proxies; those that stay keep their state.
  void SetBackends(const std::vector<std::string>& names) {
    std::vector<shared_backend> next;
    for (const std::string& name : names) {
      next.push_back(Find(name));
    }
    backends_ = std::move(next);
  }

  [[nodiscard]] json Stats() const {
    json list = json::array();
    for (const auto& one : backends_) {
      list.push_back({{"backend", one->name()},
                      {"ready", one->ready},
                      {"connections", one->connections}});
    }
    return list;
  }

  [[nodiscard]] bool Deaf() const { return false; }

  asio::awaitable<answer> Handle(const request& message) {
    if (message.target() == "/_set") {
      const json change = json::parse(message.body());
      SetBackends(change.at("backends").get<std::vector<std::string>>());
    }
    co_return answer{200, Stats().dump()};
  }

 private:
  shared_backend Find(const std::string& name) const {
    for (const auto& present : backends_) {
      if (present->name() == name) {
        return present;
      }
    }
    const size_t colon = name.rfind(':');
    auto fresh = std::make_shared<backend>();
    fresh->address = name.substr(0, colon);
    fresh->port = static_cast<uint16_t>(std::stoi(name.substr(colon + 1)));
    return fresh;
  }

  asio::awaitable<void> AcceptLoop() {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(context_);
      boost::system::error_code code;
      co_await acceptor_.async_accept(*socket, Into(code));
      if (!code) {
        asio::co_spawn(context_, Pass(socket), asio::detached);
      }
    }
  }

  asio::awaitable<void> Pass(shared_socket caller) {
    auto proxy = std::make_shared<tcp::socket>(context_);
    for (size_t tries = 0; tries < backends_.size(); ++tries) {
      const shared_backend one = backends_[++turn_ % backends_.size()];
      if (!one->ready) {
        continue;
      }
      boost::system::error_code code;
      const tcp::endpoint endpoint(asio::ip::make_address(one->address),
                                   one->port);
      co_await proxy->async_connect(endpoint, Into(code));
      if (code) {
        one->ready = false;
        proxy = std::make_shared<tcp::socket>(context_);
        continue;
      }
      ++one->connections;
      caller->set_option(tcp::no_delay(true), code);
      proxy->set_option(tcp::no_delay(true), code);
      asio::co_spawn(context_, Relay(caller, proxy), asio::detached);
      asio::co_spawn(context_, Relay(proxy, caller), asio::detached);
      co_return;
    }
  }

  asio::awaitable<void> CheckLoop() {
    while (true) {
      for (const auto& one : backends_) {
        if (!one->checking) {
          asio::co_spawn(context_, CheckReady(one), asio::detached);
        }
      }
      co_await Sleep(kCheckInterval);
    }
  }

  asio::awaitable<void> CheckReady(shared_backend one) {
    one->checking = true;
    bool ready = false;
    try {
      beast::tcp_stream stream(context_);
      stream.expires_after(std::chrono::milliseconds(kCheckTimeout.count()));
      co_await stream.async_connect(
          tcp::endpoint(asio::ip::make_address(one->address), one->port),
          asio::use_awaitable);
      request check(http::verb::get, "/ready", 11);
      check.set(http::field::host, one->name());
      check.keep_alive(false);
      co_await http::async_write(stream, check, asio::use_awaitable);
      beast::flat_buffer buffer;
      response reply;
      co_await http::async_read(stream, buffer, reply, asio::use_awaitable);
      ready = reply.result() == http::status::ok;
    } catch (const std::exception&) {
      ready = false;
    }
    one->ready = ready;
    one->checking = false;
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  std::vector<shared_backend> backends_;
  size_t turn_ = 0;
};

int Run(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description flags;
  std::string address;
  uint16_t port = 0;
  uint16_t control = 0;
  std::vector<std::string> backends;
  flags.add_options()(
      "address", po::value(&address)->default_value("127.0.0.1"),
      "address to listen on")("port", po::value(&port)->default_value(0),
                              "port for callers; 0 for any")(
      "control-port", po::value(&control)->default_value(0),
      "port to replace the proxies; 0 for any")(
      "backend", po::value(&backends)->composing(),
      "a proxy's ADDRESS:PORT; may be repeated");
  ParseFlags(argc, argv, flags);

  asio::io_context context(1);
  balancer proxies(context, backends);
  port = proxies.Open(address, port);
  http_server<balancer> control_server(context, proxies);
  control = control_server.Open(address, control);
  StopOnSignal(context);
  PrintReady("standin_balancer", port, control);
  context.run();
  return 0;
}

}  // namespace
}  // namespace peridotarch::standin

int main(int argc, char** argv) {
  return peridotarch::standin::Run(argc, argv);
}
