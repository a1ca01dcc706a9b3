#include "request_schedule.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <nlohmann/json.hpp>

#include "core/names.h"
#include "request/reason.h"

namespace peridotarch {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t kInstances = 3;
constexpr int kSlots = 2;
constexpr int kMaxAttempts = 2;
constexpr int kSteps = 60;
// Beyond the longest deadline, and the time in which connections are closed.
constexpr int kMaxEndTurns = 80;
constexpr millis kEndTurn(100);
// Around the time after which an attempt counts as slow.
constexpr std::array<millis, 8> kSpans = {millis(1),   millis(10),  millis(249),
                                          millis(250), millis(251), millis(300),
                                          millis(400), millis(700)};

}  // namespace

request_schedule::request_schedule(uint64_t seed) : random_(seed) {
  world_.AddRoute("/box/", true, millis(50));
  world_.AddRoute("/pay/", false, millis(50));
  for (size_t i = 0; i < kInstances; ++i) {
    instances_.push_back(
        std::make_unique<random_instance>(outside_, ledger_, random_));
    world_.AddEntry(front_world::MakeEntry("i-" + std::to_string(i),
                                           instances_.back()->port(), kSlots));
  }
  AddCallers();
}

void request_schedule::AddCallers() {
  const uint64_t count = 1 + random_.Below(3);
  for (uint64_t i = 0; i < count; ++i) {
    auto one = std::make_unique<caller>(outside_);
    one->id = "r" + std::to_string(i);
    one->is_idempotent = random_.Below(3) != 0;
    one->socket.connect(world_.caller_endpoint());
    one->socket.non_blocking(true);
    callers_.push_back(std::move(one));
  }
}

void request_schedule::Send(caller& one) {
  const std::string text =
      (one.is_idempotent ? "GET /box/" : "PUT /pay/") + one.id +
      " HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: " + one.id +
      "\r\nX-Deadline-Ms: " + std::to_string(100 + random_.Below(900)) +
      "\r\nContent-Length: " +
      (one.is_idempotent ? "0\r\n\r\n" : "3\r\n\r\nabc");
  one.socket.write_some(asio::buffer(text));
  one.has_sent = true;
}

// Callers end their half of the connection, close it, or reset it.
void request_schedule::Leave(caller& one) {
  error_code ignored;
  one.has_left = true;
  const auto way = random_.Below(3);
  if (way == 0) {
    one.socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    return;
  }
  if (way == 1) {
    Reset(one);
  }
  one.socket.close(ignored);
}

void request_schedule::Reset(caller& one) {
  error_code ignored;
  one.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  one.socket.close(ignored);
}

void request_schedule::Turn(uint64_t handlers) {
  for (uint64_t i = 0; i < handlers; ++i) {
    world_.context.poll_one();
  }
}

void request_schedule::Advance(millis span) {
  clock_.Advance(world_.context, span);
}

void request_schedule::Coincide() {
  Advance(kSpans.at(random_.Below(kSpans.size())));
  if (random_.Below(3) == 0) {
    Turn(1 + random_.Below(3));
  }
  for (const auto& instance : instances_) {
    instance->Act(true);
  }
  caller& one = *callers_[random_.Below(callers_.size())];
  if (one.has_sent && !one.has_left && random_.Below(6) == 0) {
    Leave(one);
  }
  Turn(1 + random_.Below(8));
}

void request_schedule::Step() {
  caller& one = *callers_[random_.Below(callers_.size())];
  if (!one.has_sent) {
    Send(one);
    return;
  }
  switch (random_.Below(12)) {
    case 0:
      Advance(kSpans.at(random_.Below(kSpans.size())));
      return;
    case 1:
      Coincide();
      return;
    case 2:
      if (!one.has_left && random_.Below(8) == 0) {
        Leave(one);
      }
      return;
    case 3:
    case 4:
      instances_[random_.Below(instances_.size())]->Act(false);
      return;
    case 5:
      ReceiveAnswers();
      return;
    default:
      Turn(1 + random_.Below(4));
  }
}

void request_schedule::ReceiveAnswers() {
  for (const auto& one : callers_) {
    std::array<char, 16 << 10> bytes{};
    error_code failure;
    while (one->socket.is_open() && !failure) {
      const size_t size = one->socket.read_some(asio::buffer(bytes), failure);
      one->received.append(bytes.data(), size);
    }
    one->closed = one->closed || failure != asio::error::would_block;
  }
}

bool request_schedule::IsAnswered() const {
  return std::all_of(callers_.begin(), callers_.end(), [](const auto& one) {
    return one->has_left || one->closed || !one->received.empty();
  });
}

void request_schedule::Finish() {
  for (const auto& one : callers_) {
    if (!one->has_sent && !one->has_left) {
      Send(*one);
    }
  }
  bool has_closed = false;
  for (int i = 0; i < kMaxEndTurns; ++i) {
    world_.context.poll();
    ReceiveAnswers();
    for (const auto& instance : instances_) {
      instance->Receive();
    }
    if (IsAnswered() && world_.node->in_flight == 0) {
      if (has_closed && world_.node->sessions.empty()) {
        return;
      }
      for (const auto& one : callers_) {
        ReceiveAnswers();
        Reset(*one);
      }
      has_closed = true;
    }
    Advance(kEndTurn);
  }
}

std::string request_schedule::CheckOwnAnswer(
    const http_response& answer, const request_record& record) const {
  const auto body = nlohmann::json::parse(answer.body(), nullptr, false);
  const auto why = body.is_object() ? FromName<reason>(body.value("error", ""))
                                    : std::nullopt;
  if (!why) {
    return "an answer that no instance gave";
  }
  const reply_rule rule = ReplyFor(*why);
  if (rule.status != static_cast<int>(answer.result_int())) {
    return "a status that does not fit its reason";
  }
  if (rule.run_verdict == verdict::kNotRun && record.runs > 0) {
    return "not run is stated, but an instance has run it";
  }
  return "";
}

std::string request_schedule::CheckAnswer(const caller& one) {
  const request_record& record = ledger_[one.id];
  if (!one.is_idempotent && record.runs > 1) {
    return "ran twice";
  }
  if (record.received > kMaxAttempts) {
    return "reached too many instances";
  }
  if (one.has_left) {
    return "";
  }
  error_code failure;
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  const size_t used = one.received.empty()
                          ? 0
                          : parser.put(asio::buffer(one.received), failure);
  if (used == 0 || failure || !parser.is_done()) {
    return "no whole answer";
  }
  if (used != one.received.size()) {
    return "bytes behind the answer";
  }
  const http_response& answer = parser.get();
  if (answer["X-Request-Id"] != one.id) {
    return "the answer to another request";
  }
  const int status = static_cast<int>(answer.result_int());
  if (record.answers.contains({status, answer.body()})) {
    return "";
  }
  return CheckOwnAnswer(answer, record);
}

std::string request_schedule::CheckEnd() {
  for (const auto& one : callers_) {
    const std::string problem = CheckAnswer(*one);
    if (!problem.empty()) {
      return one->id + ": " + problem;
    }
  }
  if (world_.node->in_flight != 0 || !world_.node->sessions.empty()) {
    return "a request or a connection never ended";
  }
  return "";
}

std::string request_schedule::Run() {
  for (int i = 0; i < kSteps; ++i) {
    Step();
  }
  Finish();
  return CheckEnd();
}

}  // namespace peridotarch
