// The platform's append-only log, with faults on request.
#include <openssl/evp.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "standin/log_store.h"
#include "standin/program.h"
#include "standin/target.h"

namespace peridotarch::standin {
namespace {

using nlohmann::json;

constexpr millis kMaxWait{30'000};
constexpr millis kMaxAppendBacklog{1'000};
constexpr double kBurst = 50;

std::string Base64(const std::string& text) {
  std::string out(4 * ((text.size() + 2) / 3) + 1, '\0');
  const int written =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  out.resize(static_cast<size_t>(written));
  return out;
}

/// What the log does wrong, as last asked for.
struct log_faults {
  std::string outage = "none";  ///< none, refuse, hang or error.
  millis delay;                 ///< Added to every answer.
  uint64_t lose_answers = 0;    ///< Appends whose answer is yet to be lost.
  uint64_t behind = 0;          ///< Records that readers do not see.
};

struct log_stats {
  uint64_t appends = 0;
  uint64_t append_bytes = 0;
  uint64_t appends_refused = 0;
  uint64_t answers_lost = 0;
  uint64_t reads = 0;
  uint64_t records_read = 0;
  uint64_t bytes_read = 0;
};

/// The log's HTTP interface.
class log_service {
 public:
  log_service(asio::io_context& context, retention bounds, millis append_time,
              int append_rate)
      : store_(bounds),
        bounds_(bounds),
        append_time_(append_time),
        append_rate_(append_rate),
        context_(context) {}

  [[nodiscard]] bool Deaf() const { return faults_.outage == "hang"; }
  [[nodiscard]] const log_faults& faults() const { return faults_; }

  asio::awaitable<answer> Handle(const request& message) {
    const target where = ParseTarget(std::string(message.target()));
    const std::string prefix = "/streams/";
    const std::string suffix = "/records";
    const std::string& path = where.path;
    if (faults_.outage == "error") {
      co_return answer{503, R"({"error":"away"})"};
    }
    if (!path.starts_with(prefix) || !path.ends_with(suffix) ||
        path.size() <= prefix.size() + suffix.size()) {
      co_return answer{404, R"({"error":"no such path"})"};
    }
    const std::string stream =
        path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    if (message.method() == http::verb::post) {
      co_return co_await Append(stream, message.body());
    }
    co_return co_await Read(stream, where);
  }

  /// Takes a change of faults; the fields that are absent stay as they are.
  void SetFaults(const json& change) {
    faults_.outage = change.value("outage", faults_.outage);
    faults_.delay = millis(change.value("delay_ms", faults_.delay.count()));
    faults_.lose_answers = change.value("lose_answers", faults_.lose_answers);
    faults_.behind = change.value("behind", faults_.behind);
    bounds_.count = change.value("retain_count", bounds_.count);
    bounds_.age = millis(change.value("retain_ms", bounds_.age.count()));
    store_.SetRetention(bounds_);
    if (change.value("reset", false)) {
      store_.Reset();
    }
    WakeReaders();
  }

  [[nodiscard]] json Faults() const {
    return {{"outage", faults_.outage},
            {"delay_ms", faults_.delay.count()},
            {"lose_answers", faults_.lose_answers},
            {"behind", faults_.behind},
            {"retain_count", bounds_.count},
            {"retain_ms", bounds_.age.count()}};
  }

  [[nodiscard]] json Stats() const {
    return {{"appends", stats_.appends},
            {"append_bytes", stats_.append_bytes},
            {"appends_refused", stats_.appends_refused},
            {"answers_lost", stats_.answers_lost},
            {"reads", stats_.reads},
            {"records_read", stats_.records_read},
            {"bytes_read", stats_.bytes_read}};
  }

  json Records(const std::string& stream) {
    json list = json::array();
    for (const kept_record& kept : store_.History(stream)) {
      list.push_back({{"epoch", kept.epoch},
                      {"offset", kept.record.offset},
                      {"time", kept.record.appended_at.count()},
                      {"data", Base64(kept.record.data)}});
    }
    return {{"records", list}};
  }

 private:
  // Appends are spaced to the rate that the platform sustains; a caller that
  // would wait too long is refused before any effect.
  asio::awaitable<answer> Append(std::string stream, std::string data) {
    const millis wait = TakeToken();
    if (wait > kMaxAppendBacklog) {
      tokens_ += 1;
      ++stats_.appends_refused;
      co_return answer{503, R"({"error":"too many appends"})"};
    }
    co_await Sleep(wait + append_time_ + faults_.delay);
    ++stats_.appends;
    stats_.append_bytes += data.size();
    const uint64_t offset =
        store_.Append(stream, std::move(data), wall_clock::Now());
    WakeReaders();
    if (faults_.lose_answers > 0) {
      --faults_.lose_answers;
      ++stats_.answers_lost;
      answer lost;
      lost.end = ending::kClosed;
      co_return lost;
    }
    co_return answer{200, json{{"offset", offset}}.dump()};
  }

  asio::awaitable<answer> Read(std::string stream, target where) {
    const uint64_t from = where.Number("from", 0);
    const size_t max = where.Number("max", 1000);
    const millis wait(static_cast<int64_t>(where.Number("wait_ms", 0)));
    const millis until = steady_clock::Now() + std::min(wait, kMaxWait);
    ++stats_.reads;
    if (faults_.delay > millis(0)) {
      co_await Sleep(faults_.delay);
    }
    log_page page;
    while (true) {
      page = store_.Read(stream, from, max, faults_.behind, wall_clock::Now());
      const millis now = steady_clock::Now();
      // A reader ahead of the log must learn of it at once.
      if (!page.records.empty() || page.next < from || now >= until) {
        break;
      }
      co_await AwaitAppend(until - now);
    }
    co_return PageAnswer(page);
  }

  // Returns how long an append has to wait for its turn.
  millis TakeToken() {
    const millis now = steady_clock::Now();
    const auto elapsed = static_cast<double>((now - refilled_).count());
    tokens_ = std::min(kBurst, tokens_ + elapsed * append_rate_ / 1000);
    refilled_ = now;
    tokens_ -= 1;
    return millis(
        static_cast<int64_t>(std::max(0.0, -tokens_ * 1000 / append_rate_)));
  }

  asio::awaitable<void> AwaitAppend(millis span) {
    asio::steady_timer timer(context_);
    timer.expires_after(std::chrono::milliseconds(span.count()));
    waiting_.insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(Into(ignored));
    waiting_.erase(&timer);
  }

  void WakeReaders() {
    for (asio::steady_timer* timer : waiting_) {
      timer->cancel();
    }
  }

  answer PageAnswer(const log_page& page) {
    json list = json::array();
    for (const log_record& record : page.records) {
      list.push_back({{"offset", record.offset},
                      {"time", record.appended_at.count()},
                      {"data", Base64(record.data)}});
    }
    const json body = {
        {"first", page.first}, {"next", page.next}, {"records", list}};
    answer reply{200, body.dump()};
    stats_.records_read += page.records.size();
    stats_.bytes_read += reply.body.size();
    return reply;
  }

  log_store store_;
  retention bounds_;
  const millis append_time_;
  const int append_rate_;
  asio::io_context& context_;
  std::set<asio::steady_timer*> waiting_;
  log_faults faults_;
  log_stats stats_;
  double tokens_ = kBurst;
  millis refilled_ = steady_clock::Now();
};

/// Listens or not, as the fault of the moment asks.
class log_control {
 public:
  log_control(log_service& service, http_server<log_service>& server,
              std::string address, uint16_t port)
      : service_(service),
        server_(server),
        address_(std::move(address)),
        port_(port) {}

  [[nodiscard]] bool Deaf() const { return false; }

  asio::awaitable<answer> Handle(const request& message) {
    const target where = ParseTarget(std::string(message.target()));
    if (where.path == "/_faults" && message.method() == http::verb::post) {
      service_.SetFaults(json::parse(message.body()));
      ApplyOutage();
      co_return answer{200, service_.Faults().dump()};
    }
    if (where.path == "/_faults") {
      co_return answer{200, service_.Faults().dump()};
    }
    if (where.path == "/_stats") {
      co_return answer{200, service_.Stats().dump()};
    }
    if (where.path == "/_records") {
      const auto found = where.query.find("stream");
      const std::string stream =
          found == where.query.end() ? "config" : found->second;
      co_return answer{200, service_.Records(stream).dump()};
    }
    co_return answer{404, R"({"error":"no such path"})"};
  }

 private:
  void ApplyOutage() {
    const bool refuse = service_.faults().outage == "refuse";
    if (refuse && server_.open()) {
      server_.Close();
      server_.ResetConnections();
    } else if (!refuse && !server_.open()) {
      server_.Open(address_, port_);
    }
  }

  log_service& service_;
  http_server<log_service>& server_;
  const std::string address_;
  const uint16_t port_;
};

int Run(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description flags;
  std::string address;
  uint16_t port = 0;
  uint16_t control = 0;
  retention bounds;
  int64_t retain_ms = 0;
  int64_t append_ms = 0;
  int append_rate = 0;
  flags.add_options()("address",
                      po::value(&address)->default_value("127.0.0.1"),
                      "address to listen on")(
      "port", po::value(&port)->default_value(0), "port of the log; 0 for any")(
      "control-port", po::value(&control)->default_value(0),
      "port for faults and records; 0 for any")(
      "retain-count", po::value(&bounds.count)->default_value(100'000),
      "records kept in a stream")(
      "retain-ms", po::value(&retain_ms)->default_value(86'400'000),
      "age up to which a record is kept")(
      "append-ms", po::value(&append_ms)->default_value(2),
      "time that an append takes")("append-rate",
                                   po::value(&append_rate)->default_value(600),
                                   "appends per second that the log sustains");
  ParseFlags(argc, argv, flags);
  bounds.age = millis(retain_ms);

  asio::io_context context(1);
  log_service service(context, bounds, millis(append_ms), append_rate);
  http_server<log_service> server(context, service);
  port = server.Open(address, port);
  log_control controller(service, server, address, port);
  http_server<log_control> control_server(context, controller);
  control = control_server.Open(address, control);
  StopOnSignal(context);
  PrintReady("standin_log", port, control);
  context.run();
  return 0;
}

}  // namespace
}  // namespace peridotarch::standin

int main(int argc, char** argv) {
  return peridotarch::standin::Run(argc, argv);
}
