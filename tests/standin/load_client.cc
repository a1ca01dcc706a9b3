#include "standin/load_client.h"

#include <algorithm>
#include <utility>

namespace peridotarch::standin {
namespace {

tcp::endpoint ToEndpoint(const std::string& name) {
  const size_t colon = name.rfind(':');
  return {asio::ip::make_address(name.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(name.substr(colon + 1)))};
}

void Classify(boost::system::error_code code, bool some, load_record& record) {
  if (code == beast::error::timeout) {
    record.result = load_result::kTimeout;
  } else {
    record.result = some ? load_result::kCut : load_result::kClosed;
  }
}

std::string Field(const response& reply, const char* name) {
  const auto found = reply.find(name);
  return found == reply.end() ? "" : std::string(found->value());
}

}  // namespace

void load_client::SetTargets(std::vector<std::string> targets) {
  targets_ = std::move(targets);
}

asio::awaitable<load_client::stream_ptr> load_client::Connect(
    size_t target, load_record& record) {
  const std::vector<std::string> names = targets_;
  for (size_t tries = 0; tries < names.size(); ++tries) {
    record.target = names[(target + tries) % names.size()];
    auto& kept = idle_[record.target];
    if (!kept.empty()) {
      stream_ptr stream = std::move(kept.back());
      kept.pop_back();
      record.reused = true;
      co_return stream;
    }
    auto stream = std::make_unique<beast::tcp_stream>(context_);
    stream->expires_after(std::chrono::milliseconds(timeout_.count()));
    boost::system::error_code code;
    co_await stream->async_connect(ToEndpoint(record.target), Into(code));
    if (!code) {
      stream->socket().set_option(tcp::no_delay(true), code);
      record.reused = false;
      co_return stream;
    }
  }
  co_return nullptr;
}

asio::awaitable<response> load_client::Exchange(stream_ptr& stream,
                                                request& message,
                                                load_record& record) {
  boost::system::error_code code;
  stream->expires_after(std::chrono::milliseconds(timeout_.count()));
  record.sent = wall_clock::Now();
  co_await http::async_write(*stream, message, Into(code));
  if (code) {
    Classify(code, false, record);
    co_return response{};
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(64ull << 20);
  co_await http::async_read(*stream, buffer, parser, Into(code));
  if (code) {
    Classify(code, parser.got_some(), record);
    co_return response{};
  }
  record.result = load_result::kWhole;
  co_return parser.release();
}

asio::awaitable<response> load_client::Send(request message, size_t target,
                                            load_record& record) {
  stream_ptr stream = co_await Connect(target, record);
  if (!stream) {
    record.result = load_result::kUnreachable;
    co_return response{};
  }
  message.set(http::field::host, record.target);
  message.prepare_payload();
  response reply = co_await Exchange(stream, message, record);
  if (record.result != load_result::kWhole) {
    co_return reply;
  }
  record.status = reply.result_int();
  record.verdict = Field(reply, "Request-Verdict");
  record.reason = Field(reply, "Request-Reason");
  if (reply.keep_alive()) {
    stream->expires_never();
    idle_[record.target].push_back(std::move(stream));
  }
  co_return reply;
}

}  // namespace peridotarch::standin
