// Requests with random framing, read with a small memory budget.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <sstream>
#include <string>

#include "proxy/http_session.h"

namespace peridotarch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr uint64_t kTotal = 64 << 10;
constexpr int kRequests = 400;
constexpr std::string_view kHexDigits = "0123456789abcdefg;";

std::string RandomText(std::mt19937& random, size_t most) {
  return std::string(random() % (most + 1), 'x');
}

std::string RandomChunk(std::mt19937& random) {
  const std::string bytes = RandomText(random, 20'000);
  std::ostringstream size;
  size << std::hex << bytes.size();
  std::string chunk = size.str();
  if (random() % 4 == 0) {
    chunk += ";e=" + RandomText(random, 300);
  }
  return chunk + "\r\n" + bytes + "\r\n";
}

std::string RandomRequest(std::mt19937& random) {
  std::string bytes = "PUT /a HTTP/1.1\r\nHost: x\r\n";
  if (random() % 3 == 0) {
    bytes +=
        "Content-Length: " + std::to_string(random() % 200'000) + "\r\n\r\n";
    bytes += RandomText(random, 200'000);
  } else {
    bytes += "Transfer-Encoding: chunked\r\n\r\n";
    for (auto left = random() % 12; left > 0; --left) {
      bytes += RandomChunk(random);
    }
    bytes += "0\r\n";
    for (auto left = random() % 6; left > 0; --left) {
      bytes += "T" + std::to_string(left) + ": " + RandomText(random, 9'000);
      bytes += "\r\n";
    }
    bytes += "\r\n";
  }
  for (auto left = random() % 4; left > 1; --left) {
    bytes[random() % bytes.size()] = kHexDigits[random() % kHexDigits.size()];
  }
  bytes.resize(random() % 4 == 0 ? random() % bytes.size() : bytes.size());
  return bytes;
}

awaitable<void> ReadOnce(std::shared_ptr<http_session> session,
                         std::shared_ptr<memory_budget> budget) {
  if (co_await session->WaitForBytes()) {
    auto memory = std::make_shared<memory_reservation>(
        budget, memory_kind::kRequest, [] {}, boot_clock::Now());
    co_await session->ReadInBlocks(read_limits(), std::move(memory));
  }
}

// What a request holds is bounded by the budget whatever its framing, and is
// given back when it ends.
TEST_CASE("request framing: no request holds more than the budget") {
  const auto seed = std::random_device{}();
  INFO("seed " << seed);
  std::mt19937 random(seed);
  const auto budget =
      std::make_shared<memory_budget>(memory_limits{kTotal, kTotal / 2});
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  for (int i = 0; i < kRequests; ++i) {
    tcp::socket caller(context);
    caller.connect(acceptor.local_endpoint());
    auto session = std::make_shared<http_session>(
        boost::beast::tcp_stream(acceptor.accept()));
    asio::co_spawn(context, ReadOnce(std::move(session), budget),
                   asio::detached);
    const std::string bytes = RandomRequest(random);
    asio::async_write(
        caller, asio::buffer(bytes),
        [&caller](const boost::system::error_code& failure, size_t) {
          boost::system::error_code ignored;
          if (!failure) {
            caller.shutdown(tcp::socket::shutdown_send, ignored);
          }
        });
    context.restart();
    context.run();
    CHECK(budget->in_use() == 0);
  }
  CHECK(budget->peak() <= kTotal);
  CHECK(budget->peak() > kTotal / 2);  // the requests have counted
}

}  // namespace
}  // namespace peridotarch
