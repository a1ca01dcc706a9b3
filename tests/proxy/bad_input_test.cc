#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>

#include "proxy/caller_session.h"
#include "proxy/message.h"
#include "proxy/node.h"

namespace peridotarch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// A proxy's caller port without any rules: what is sound gets 503
// not_configured, what is refused never gets that far.
class bare_port {
 public:
  bare_port()
      : node_(std::make_shared<node>(context_, proxy_settings())),
        acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this] { context_.run(); }) {}
  ~bare_port() {
    context_.stop();
    thread_.join();
  }

  // Returns the status line's code, or 0 when the port closed without one.
  int StatusOf(const std::string& sent) {
    tcp::socket client(client_context_);
    client.connect(acceptor_.local_endpoint());
    acceptor_.async_accept(
        asio::make_strand(context_),
        [this](const boost::system::error_code& failure, tcp::socket socket) {
          if (!failure) {
            const auto on = socket.get_executor();
            asio::co_spawn(
                on,
                ServeCaller(node_, boost::beast::tcp_stream(std::move(socket))),
                asio::detached);
          }
        });
    boost::system::error_code ignored;
    asio::write(client, asio::buffer(sent), ignored);
    client.shutdown(tcp::socket::shutdown_send, ignored);
    std::string answer;
    asio::read(client, asio::dynamic_buffer(answer), ignored);
    constexpr size_t kCodeAt = 9;  // "HTTP/1.1 "
    return answer.size() < kCodeAt + 3 ? 0
                                       : std::stoi(answer.substr(kCodeAt, 3));
  }

 private:
  asio::io_context context_;
  // Keeps the thread until the port is destroyed.
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      context_.get_executor()};
  asio::io_context client_context_;
  std::shared_ptr<node> node_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

TEST_CASE("malformed, oversized and ambiguous requests are refused") {
  bare_port port;
  const std::string host = "Host: x\r\n";
  const auto get = [&](const std::string& headers) {
    return port.StatusOf("GET /a HTTP/1.1\r\n" + headers + "\r\n");
  };
  CHECK(get(host) == 503);
  CHECK(port.StatusOf("POST /a HTTP/1.1\r\n" + host +
                      "Content-Length: 2\r\n\r\nhi") == 503);
  CHECK(get("") == 400);
  CHECK(get(host + host) == 400);
  CHECK(get(host + "Content-Length: 1\r\nContent-Length: 2\r\n") == 400);
  CHECK(get(host + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n") ==
        400);
  CHECK(get(host + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") ==
        400);
  CHECK(get(host + "Transfer-Encoding: gzip, chunked\r\n") == 400);
  CHECK(get(host + "Content-Length: -1\r\n") == 400);
  CHECK(get(host + "Content-Length: 1x\r\n") == 400);
  CHECK(get(host + "Content-Length: 18446744073709551616\r\n") == 400);
  CHECK(get(host + "Bad Header\r\n") == 400);
  CHECK(get(host + "Bad Name: x\r\n") == 400);
  CHECK(get(host + "Idempotency-Key: 1-a\r\nIdempotency-Key: 1-b\r\n") == 400);
  CHECK(port.StatusOf("GET http://other/ HTTP/1.1\r\n" + host + "\r\n") == 400);
  CHECK(port.StatusOf("CONNECT x:1 HTTP/1.1\r\n" + host + "\r\n") == 400);
  CHECK(port.StatusOf("nonsense\r\n\r\n") == 400);
  CHECK(get(host + "A: " + std::string(kMaxHeaderBytes, 'a') + "\r\n") == 431);
  CHECK(port.StatusOf("POST /a HTTP/1.1\r\n" + host + "Content-Length: " +
                      std::to_string(kMaxBodyBytes + 1) + "\r\n\r\n") == 413);
}

TEST_CASE("headers of the fleet and of one connection are not passed on") {
  boost::beast::http::fields headers;
  headers.set("Connection", "close, X-Private");
  headers.set("X-Private", "1");
  headers.set("Request-Attempt", "forged");
  headers.set("Inner-Call", "forged");
  headers.set("X-Kept", "1");
  StripForForwarding(headers);
  CHECK(headers.count("X-Kept") == 1);
  for (const char* gone :
       {"Connection", "X-Private", "Request-Attempt", "Inner-Call"}) {
    CHECK(headers.count(gone) == 0);
  }
}

TEST_CASE("a result survives its way from the owner to the entry node") {
  for (size_t i = 1; i < names_of<reason>::kTable.size(); ++i) {
    call_result sent = Refusal(static_cast<reason>(i), millis(2000));
    sent.run_verdict = verdict::kMayHaveRun;
    sent.key_status = 201;
    const bool retry_after = ReplyFor(sent.why).retry_after;
    const call_result got = FromReply(ToReply(sent));
    CHECK(got.why == static_cast<reason>(i));
    CHECK(got.run_verdict == verdict::kMayHaveRun);
    CHECK(got.key_status == 201);
    CHECK(got.retry_after == (retry_after ? millis(2000) : millis(0)));
  }
  CHECK(FromReply(http_response()).why == reason::kOwnerLost);
}

// An upstream's Retry-After in ms did not fit 64 bits.
TEST_CASE("a result with a number that is out of range is read") {
  http_response reply = ToReply(Refusal(reason::kNoCapacity, millis(2000)));
  reply.set("Retry-After", "9223372036854775807");
  reply.set("Request-Key-Status", "99999999999");
  const call_result got = FromReply(std::move(reply));
  CHECK(got.retry_after == millis(INT64_MAX));
  CHECK(got.key_status == 0);
}

TEST_CASE("a reply is whole when its body has the length that it says") {
  http_response reply(boost::beast::http::status::ok, 11);
  reply.body() = "body";
  reply.set("Content-Length", "4");
  CHECK(IsWhole(reply, false));
  reply.set("Content-Length", "5");
  CHECK_FALSE(IsWhole(reply, false));
  CHECK(IsWhole(reply, true));
}

}  // namespace
}  // namespace peridotarch
