#ifndef TESTS_FRONT_FRONT_WORLD_H_
#define TESTS_FRONT_FRONT_WORLD_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "front/caller_session.h"
#include "front/front_node.h"
#include "platform/call_wire.h"
#include "platform/http_client.h"
#include "proxy/executor.h"
#include "proxy/http_session.h"

namespace peridotarch {

/// A server on loopback that answers each request with the bytes that a
/// function returns. It closes the connection if there are no bytes.
class raw_server {
 public:
  using handler = std::function<std::string(const http_request&)>;

  raw_server(boost::asio::io_context& context, handler answer)
      : answer_(std::move(answer)),
        acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    boost::asio::co_spawn(context, Accept(), boost::asio::detached);
  }

  [[nodiscard]] uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }
  void Stop() { acceptor_.close(); }

  int served = 0;
  int open_connections = 0;

 private:
  awaitable<void> Accept() {
    for (;;) {
      boost::system::error_code failure;
      auto socket = co_await acceptor_.async_accept(
          boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      if (failure) {
        co_return;
      }
      boost::asio::co_spawn(
          acceptor_.get_executor(),
          ServeConnection(boost::beast::tcp_stream(std::move(socket))),
          boost::asio::detached);
    }
  }

  awaitable<void> ServeConnection(boost::beast::tcp_stream stream) {
    http_session session(std::move(stream));
    ++open_connections;
    read_limits limits;
    limits.idle = millis(5'000);
    for (;;) {
      const read_outcome read = co_await session.Read(limits);
      if (!read.request) {
        break;
      }
      ++served;
      const std::string bytes = answer_(*read.request);
      if (bytes.empty()) {
        break;
      }
      boost::system::error_code failure;
      co_await boost::asio::async_write(
          session.stream(), boost::asio::buffer(bytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    }
    session.Close();
    --open_connections;
  }

  const handler answer_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

/// Returns the bytes of an instance's answer.
inline std::string InstanceAnswer(const std::string& id, int status,
                                  const std::string& body,
                                  const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " Word\r\nX-Request-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
         headers + "\r\n" + body;
}

inline std::string RequestId(const http_request& request) {
  return std::string(request["X-Request-Id"]);
}

/// Returns the answer of a sound instance, with the body "body".
inline std::string SoundAnswer(const http_request& request) {
  return InstanceAnswer(RequestId(request), 200, "body",
                        "X-Response-Seal: 1\r\n");
}

/// A node with callers and instances, all on loopback.
class front_world {
 public:
  explicit front_world(uint64_t answer_bytes = node_settings().answer_bytes)
      : front_world(WithAnswerBytes(answer_bytes)) {}
  explicit front_world(node_settings settings) {
    settings.node = "edge-1";
    settings.zone = "a";
    settings.retries = {0.2, 58, millis(10'000)};
    node = std::make_shared<front_node>(context, settings, 1);
    acceptor_ = std::make_unique<boost::asio::ip::tcp::acceptor>(
        context, boost::asio::ip::tcp::endpoint(
                     boost::asio::ip::make_address("127.0.0.1"), 0));
    boost::asio::co_spawn(context, Accept(), boost::asio::detached);
  }

  /// Adds a route from the paths below `prefix` to a service.
  void AddRoute(const std::string& prefix, bool idempotent,
                millis objective = millis(100), millis timeout = millis(1'000),
                const std::string& service = "s") {
    host_route route;
    route.name = prefix;
    route.host = "box.example";
    route.prefix = prefix;
    route.idempotent = idempotent;
    route.timeout = timeout;
    route.latency_objective = objective;
    route.max_attempts = 2;
    route.services = {{service, 1}};
    config_.routes.push_back(route);
    PutConfigInForce();
  }

  /// The same for a route that needs no key.
  void AddOpenRoute(const std::string& prefix) {
    AddRoute(prefix, false);
    config_.routes.back().is_open = true;
    PutConfigInForce();
  }

  /// Sets the longest body that a caller may send.
  void SetMaxBody(size_t bytes) {
    config_.limits.body_bytes = bytes;
    PutConfigInForce();
  }

  /// Adds a team with one key.
  void AddTeam(const std::string& name, const std::string& key,
               std::optional<int> priority = {}) {
    team added;
    added.name = name;
    added.keys = {Sha256(key)};
    added.priority = priority;
    RequireKeys();
    config_.teams->push_back(added);
    PutConfigInForce();
  }

  /// The same without a team: no key is valid.
  void RequireKeys() {
    if (!config_.teams) {
      config_.teams.emplace();
    }
    PutConfigInForce();
  }

  /// Starts an instance of a service.
  raw_server& AddInstance(raw_server::handler answer,
                          const std::string& service = "s") {
    servers_.push_back(
        std::make_unique<raw_server>(context, std::move(answer)));
    instance_entry entry = MakeEntry("i-" + std::to_string(servers_.size()),
                                     servers_.back()->port());
    entry.service = service;
    AddEntry(entry);
    return *servers_.back();
  }

  /// Returns the entry of an instance of service "s" on loopback.
  static instance_entry MakeEntry(const std::string& id, uint16_t port,
                                  int slots = 3) {
    instance_entry entry;
    entry.id = id;
    entry.service = "s";
    entry.address = "127.0.0.1";
    entry.port = port;
    entry.zone = "a";
    entry.slots = slots;
    return entry;
  }

  /// Adds an entry to the list of instances.
  void AddEntry(const instance_entry& entry) {
    entries_.push_back(entry);
    node->selector.SetInstances(entries_, boot_clock::Now());
    node->instances_known = true;
  }

  /// Sends a request as a caller and returns the answer. The test fails if
  /// none arrives in time.
  http_response SendRequest(boost::beast::http::verb method,
                            const std::string& target,
                            const std::string& id = "r1") {
    // An answer may still arrive after the wait for it has ended.
    const auto answer = std::make_shared<std::optional<http_response>>();
    StartRequest(method, target, id, [answer](const http_response& received) {
      *answer = received;
    });
    RunUntil([&answer] { return answer->has_value(); });
    REQUIRE(answer->has_value());
    return **answer;
  }

  /// Sends a request as a caller; calls `on_answer` with the answer.
  void StartRequest(boost::beast::http::verb method, const std::string& target,
                    const std::string& id,
                    std::function<void(const http_response&)> on_answer) {
    http_request request(method, target, 11);
    if (!id.empty()) {
      request.set("X-Request-Id", id);
    }
    request.set("X-Deadline-Ms", "900");
    for (const auto& [name, value] : caller_headers) {
      request.insert(name, value);
    }
    request.body() = caller_body;
    boost::asio::co_spawn(context,
                          SendAndRead(std::move(request), std::move(on_answer)),
                          boost::asio::detached);
  }

  /// The node gets SIGTERM: its process ends after `time_left`, and the
  /// balancer notices after `unnoticed`.
  void StartShutdown(millis time_left, millis unnoticed = millis(5'000)) const {
    const millis now = boot_clock::Now();
    node->draining = true;
    node->shutdown = {now + unnoticed, now + time_left};
  }

  /// Runs the event loop until `done` returns true, for at most two seconds.
  void RunUntil(const std::function<bool()>& done,
                millis limit = millis(2'000)) {
    const millis end = boot_clock::Now() + limit;
    while (!done() && boot_clock::Now() < end) {
      context.run_for(std::chrono::milliseconds(5));
    }
  }

  [[nodiscard]] boost::asio::ip::tcp::endpoint caller_endpoint() const {
    return acceptor_->local_endpoint();
  }

  using header = std::pair<std::string, std::string>;

  boost::asio::io_context context;
  std::shared_ptr<front_node> node;
  std::vector<header> caller_headers;  ///< Of each request, beside the usual.
  std::string caller_body;             ///< Of each request.

 private:
  static node_settings WithAnswerBytes(uint64_t answer_bytes) {
    node_settings settings;
    settings.answer_bytes = answer_bytes;
    return settings;
  }

  void PutConfigInForce() {
    config_.version = config_.version.value() + 1;
    node->routes.Store(std::make_shared<const route_index>(config_));
  }

  awaitable<void> Accept() {
    for (;;) {
      auto socket =
          co_await acceptor_->async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(
          context,
          ServeCallerConnection(node,
                                boost::beast::tcp_stream(std::move(socket))),
          boost::asio::detached);
    }
  }

  awaitable<void> SendAndRead(
      http_request request,
      std::function<void(const http_response&)> on_answer) {
    boost::beast::tcp_stream stream(context);
    co_await stream.async_connect(acceptor_->local_endpoint(),
                                  boost::asio::use_awaitable);
    request.set(boost::beast::http::field::host, "box.example");
    request.prepare_payload();
    co_await boost::beast::http::async_write(stream, request,
                                             boost::asio::use_awaitable);
    boost::beast::flat_buffer buffer;
    boost::beast::http::response_parser<boost::beast::http::string_body> answer;
    answer.skip(request.method() == boost::beast::http::verb::head);
    co_await boost::beast::http::async_read(stream, buffer, answer,
                                            boost::asio::use_awaitable);
    on_answer(answer.release());
  }

  fleet_config config_;
  std::vector<std::unique_ptr<raw_server>> servers_;
  std::vector<instance_entry> entries_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
};

}  // namespace peridotarch

#endif  // TESTS_FRONT_FRONT_WORLD_H_
