// The platform's list of live and leaving hosts, which lags.
#include <deque>
#include <nlohmann/json.hpp>

#include "standin/program.h"
#include "standin/target.h"

namespace peridotarch::standin {
namespace {

using nlohmann::json;

/// One state of the list and when it came about.
struct list_version {
  millis since;
  json hosts = json::array();
};

/// Keeps the versions of the list and shows one that is old enough.
class host_directory {
 public:
  [[nodiscard]] bool Deaf() const { return deaf_; }

  asio::awaitable<answer> Handle(const request& message) {
    if (message.target() != "/hosts") {
      co_return answer{404, R"({"error":"no such path"})"};
    }
    if (away_) {
      co_return answer{503, R"({"error":"away"})"};
    }
    const list_version& shown = Visible(wall_clock::Now());
    const json body = {{"as_of", shown.since.count()}, {"hosts", shown.hosts}};
    co_return answer{200, body.dump()};
  }

  /// Replaces (`hosts`), upserts (`edit`) or takes out (`remove`) entries.
  void Set(const json& change, millis now) {
    list_version next{now, versions_.back().hosts};
    if (change.contains("hosts")) {
      next.hosts = change["hosts"];
    }
    for (const json& entry : change.value("edit", json::array())) {
      Upsert(next.hosts, entry);
    }
    for (const json& entry : change.value("remove", json::array())) {
      Remove(next.hosts, entry);
    }
    versions_.push_back(std::move(next));
  }

  void SetFaults(const json& change, millis now) {
    if (change.value("stale", frozen_) && !frozen_) {
      frozen_version_ = Visible(now);
    }
    lag_ = millis(change.value("lag_ms", lag_.count()));
    frozen_ = change.value("stale", frozen_);
    flip_back_ = change.value("flip_back", flip_back_);
    away_ = change.value("away", away_);
    deaf_ = change.value("hang", deaf_);
  }

  [[nodiscard]] json Newest() const { return versions_.back().hosts; }

 private:
  static bool SameHost(const json& left, const json& right) {
    return left.at("service") == right.at("service") &&
           left.at("id") == right.at("id");
  }

  static void Upsert(json& hosts, const json& entry) {
    for (json& present : hosts) {
      if (SameHost(present, entry)) {
        present.update(entry);
        return;
      }
    }
    hosts.push_back(entry);
  }

  static void Remove(json& hosts, const json& entry) {
    json rest = json::array();
    for (const json& present : hosts) {
      if (!SameHost(present, entry)) {
        rest.push_back(present);
      }
    }
    hosts = std::move(rest);
  }

  // While it flips back, every other answer is the version before.
  const list_version& Visible(millis now) {
    if (frozen_) {
      return frozen_version_;
    }
    while (versions_.size() > 2 && versions_[2].since + lag_ <= now) {
      versions_.pop_front();
    }
    size_t shown = 0;
    while (shown + 1 < versions_.size() &&
           versions_[shown + 1].since + lag_ <= now) {
      ++shown;
    }
    flip_ = flip_back_ && !flip_;
    return versions_[flip_ && shown > 0 ? shown - 1 : shown];
  }

  std::deque<list_version> versions_ = {list_version{}};
  list_version frozen_version_;
  millis lag_;
  bool frozen_ = false;
  bool flip_back_ = false;
  bool flip_ = false;
  bool away_ = false;
  bool deaf_ = false;
};

/// The control interface of the list.
class host_control {
 public:
  explicit host_control(host_directory& directory) : directory_(directory) {}

  [[nodiscard]] bool Deaf() const { return false; }

  asio::awaitable<answer> Handle(const request& message) {
    if (message.target() == "/_set") {
      directory_.Set(json::parse(message.body()), wall_clock::Now());
    } else if (message.target() == "/_faults") {
      directory_.SetFaults(json::parse(message.body()), wall_clock::Now());
    } else if (message.target() != "/_newest") {
      co_return answer{404, R"({"error":"no such path"})"};
    }
    co_return answer{200, json{{"hosts", directory_.Newest()}}.dump()};
  }

 private:
  host_directory& directory_;
};

int Run(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description flags;
  std::string address;
  uint16_t port = 0;
  uint16_t control = 0;
  int64_t lag_ms = 0;
  flags.add_options()(
      "address", po::value(&address)->default_value("127.0.0.1"),
      "address to listen on")("port", po::value(&port)->default_value(0),
                              "port of the list; 0 for any")(
      "control-port", po::value(&control)->default_value(0),
      "port for changes and faults; 0 for any")(
      "lag-ms", po::value(&lag_ms)->default_value(0),
      "time until a change is visible");
  ParseFlags(argc, argv, flags);

  asio::io_context context(1);
  host_directory directory;
  directory.SetFaults(json{{"lag_ms", lag_ms}}, wall_clock::Now());
  http_server<host_directory> server(context, directory);
  port = server.Open(address, port);
  host_control controller(directory);
  http_server<host_control> control_server(context, controller);
  control = control_server.Open(address, control);
  StopOnSignal(context);
  PrintReady("standin_hosts", port, control);
  context.run();
  return 0;
}

}  // namespace
}  // namespace peridotarch::standin

int main(int argc, char** argv) {
  return peridotarch::standin::Run(argc, argv);
}
