#include "random_instance.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace peridotarch {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::array<size_t, 8> kBodyLengths = {0,   0,     0,      1,
                                                200, 5'000, 70'000, 300'000};
constexpr double kRefusedShare = 0.1;
constexpr const char* kDigest = "X-Response-Seal: 1\r\n";

std::string Chunked(const std::string& body, size_t chunk) {
  std::string bytes;
  for (size_t at = 0; at < body.size(); at += chunk) {
    const std::string piece = body.substr(at, chunk);
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
    bytes += size.data() + piece + "\r\n";
  }
  return bytes + "0\r\n\r\n";
}

}  // namespace

random_instance::random_instance(asio::io_context& context,
                                 request_ledger& ledger, random_bits& random)
    : context_(context),
      acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}),
      ledger_(ledger),
      random_(random) {
  acceptor_.non_blocking(true);
}

// Thousands of schedules would leave as many connections in TIME_WAIT.
random_instance::~random_instance() {
  Accept();
  for (connection& one : connections_) {
    Reset(one);
  }
}

uint16_t random_instance::port() const {
  return acceptor_.local_endpoint().port();
}

void random_instance::Accept() {
  for (;;) {
    error_code failure;
    tcp::socket socket(context_);
    acceptor_.accept(socket, failure);
    if (failure) {
      return;
    }
    socket.non_blocking(true);
    socket.set_option(tcp::no_delay(true));
    connections_.emplace_back(std::move(socket));
  }
}

void random_instance::Receive() {
  Accept();
  for (connection& one : connections_) {
    std::array<char, 4096> bytes{};
    error_code failure;
    while (one.socket.is_open() && !failure) {
      const size_t size = one.socket.read_some(asio::buffer(bytes), failure);
      one.received.append(bytes.data(), size);
    }
    TakeRequest(one);
    if (failure != asio::error::would_block) {
      error_code ignored;
      one.socket.close(ignored);
    }
  }
  std::erase_if(connections_,
                [](const auto& one) { return !one.socket.is_open(); });
}

// An instance that takes a request runs it at once, or never.
void random_instance::TakeRequest(connection& one) {
  error_code failure;
  http::request_parser<http::string_body> parser;
  parser.eager(true);
  const size_t used = one.received.empty()
                          ? 0
                          : parser.put(asio::buffer(one.received), failure);
  if (used == 0 || failure || !parser.is_done()) {
    return;
  }
  one.received.erase(0, used);
  one.request_id = std::string(parser.get()["X-Request-Id"]);
  one.refuses = random_.Unit() < kRefusedShare;
  request_record& record = ledger_[one.request_id];
  ++record.received;
  record.runs += one.refuses ? 0 : 1;
}

std::string random_instance::MakeBody(const std::string& id) {
  const size_t length = kBodyLengths.at(random_.Below(kBodyLengths.size()));
  std::string body = id + '.' + std::to_string(random_.Below(1'000'000));
  body.resize(length, static_cast<char>('a' + random_.Below(26)));
  return body;
}

std::string random_instance::MakeAnswer(const std::string& id, int status,
                                        const std::string& body,
                                        const std::string& headers) {
  const bool is_chunked = random_.Below(4) == 0;
  return "HTTP/1.1 " + std::to_string(status) + " Word\r\nX-Request-Id: " + id +
         "\r\n" + headers +
         (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" +
                           Chunked(body, 1 + random_.Below(9'000))
                     : "Content-Length: " + std::to_string(body.size()) +
                           "\r\n\r\n" + body);
}

void random_instance::BeginAnswer(connection& one) {
  const std::string id = std::exchange(one.request_id, "");
  const std::string body = MakeBody(id);
  if (one.refuses) {
    one.to_send = MakeAnswer(id, 503, body, "X-Not-Executed: 1\r\n");
    return;
  }
  const auto kind = random_.Below(20);
  if (kind == 0) {
    Reset(one);
    return;
  }
  const bool has_failed = kind == 1;
  const int status = has_failed ? 500 : 200;
  one.to_send = MakeAnswer(id, status, body, has_failed ? "" : kDigest);
  if (kind == 2) {  // cut short
    one.to_send.resize(random_.Below(one.to_send.size()));
    one.ends_after = true;
    return;
  }
  ledger_[id].answers.emplace(status, body);
  if (kind == 3) {
    one.to_send.insert(0, "HTTP/1.1 102 Processing\r\n\r\n");
  } else if (kind == 4) {
    one.to_send.insert(0, MakeAnswer("stray", 200, body, kDigest));
  } else if (kind == 5) {
    one.to_send += MakeAnswer("stray", 200, body, kDigest);
  } else if (kind == 6) {
    one.ends_after = true;
  }
}

void random_instance::Reset(connection& one) {
  error_code ignored;
  one.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  one.socket.close(ignored);
}

void random_instance::SendSome(connection& one, size_t limit) {
  error_code failure;
  while (limit > 0 && !one.to_send.empty() && !failure) {
    const size_t sent = one.socket.write_some(
        asio::buffer(one.to_send.data(), std::min(limit, one.to_send.size())),
        failure);
    one.to_send.erase(0, sent);
    limit -= sent;
  }
  if (failure && failure != asio::error::would_block) {
    one.socket.close(failure);
  } else if (one.to_send.empty() && std::exchange(one.ends_after, false)) {
    one.socket.close(failure);
  }
}

void random_instance::Act(bool whole) {
  Receive();
  for (connection& one : connections_) {
    if (one.to_send.empty() && !one.request_id.empty() &&
        (whole || random_.Below(2) == 0)) {
      BeginAnswer(one);
    }
    if (!one.socket.is_open() || one.to_send.empty()) {
      continue;
    }
    if (whole || random_.Below(2) == 0) {
      SendSome(one, one.to_send.size());
    } else if (random_.Below(20) == 0) {
      Reset(one);
    } else {
      SendSome(one, random_.Below(one.to_send.size() + 1));
    }
  }
}

}  // namespace peridotarch
