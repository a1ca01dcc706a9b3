#include "standin/http_server.h"

#include <algorithm>

namespace peridotarch::standin {
namespace {

constexpr size_t kChunkBytes = 1000;

void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

std::string Head(const request& message, const answer& reply) {
  std::string head = "HTTP/1.1 " + std::to_string(reply.status) + " " +
                     std::string(http::obsolete_reason(
                         static_cast<http::status>(reply.status))) +
                     "\r\nContent-Type: " + reply.content_type + "\r\n";
  for (const auto& [name, value] : reply.headers) {
    head += name + ": " + value + "\r\n";
  }
  if (reply.close || !message.keep_alive()) {
    head += "Connection: close\r\n";
  }
  if (reply.chunked) {
    head += "Transfer-Encoding: chunked\r\n\r\n";
  } else {
    head += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n";
  }
  return head;
}

std::string Chunks(const std::string& body) {
  std::string text;
  char size[20];
  for (size_t at = 0; at < body.size(); at += kChunkBytes) {
    const size_t count = std::min(kChunkBytes, body.size() - at);
    std::snprintf(size, sizeof size, "%zx\r\n", count);
    text += size;
    text.append(body, at, count);
    text += "\r\n";
  }
  return text + "0\r\n\r\n";
}

// Waits until the client gives up, so that a hanging answer holds its
// connection for no longer.
asio::awaitable<void> AwaitEnd(tcp::socket& socket) {
  char sink[256];
  boost::system::error_code code;
  while (!code) {
    co_await socket.async_read_some(asio::buffer(sink), Into(code));
  }
}

}  // namespace

asio::awaitable<bool> SendAnswer(tcp::socket& socket, const request& message,
                                 const answer& reply) {
  if (reply.end == ending::kReset) {
    Reset(socket);
    co_return false;
  }
  if (reply.end == ending::kClosed) {
    co_return false;
  }
  if (reply.end == ending::kHang) {
    co_await AwaitEnd(socket);
    co_return false;
  }
  std::string text = Head(message, reply);
  if (message.method() != http::verb::head) {
    text += reply.chunked ? Chunks(reply.body) : reply.body;
  }
  if (reply.end == ending::kTruncated) {
    text.resize(text.size() - reply.body.size() / 2 - 1);
  }
  co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
  co_return reply.end == ending::kWhole && !reply.close && message.keep_alive();
}

}  // namespace peridotarch::standin
