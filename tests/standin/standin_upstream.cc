// All instances of one service, each with its own port, slots and faults.
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "standin/program.h"
#include "standin/target.h"
#include "standin/upstream_instance.h"

namespace peridotarch::standin {
namespace {

using nlohmann::json;

using instance_list = std::vector<std::unique_ptr<upstream_instance>>;

constexpr size_t kRunsInPage = 20'000;

/// The control interface of all instances of the process.
class upstream_control {
 public:
  upstream_control(asio::io_context& context, instance_list& instances,
                   run_ledger& ledger)
      : context_(context), instances_(instances), ledger_(ledger) {}

  [[nodiscard]] bool Deaf() const { return false; }

  asio::awaitable<answer> Handle(const request& message) {
    const target where = ParseTarget(std::string(message.target()));
    if (where.path == "/_runs") {
      const json page = ledger_.Page(where.Number("from", 0),
                                     where.Number("max", kRunsInPage));
      co_return answer{200, page.dump()};
    }
    if (where.path == "/_stats") {
      co_return answer{200, List(&upstream_instance::Stats).dump()};
    }
    if (where.path == "/_hosts") {
      co_return answer{200, List(&upstream_instance::HostEntry).dump()};
    }
    if (message.method() != http::verb::post) {
      co_return answer{404, R"({"error":"no such path"})"};
    }
    co_return Change(where.path, json::parse(message.body()));
  }

 private:
  using describe = json (upstream_instance::*)() const;

  json List(describe member) const {
    json list = json::array();
    for (const auto& instance : instances_) {
      list.push_back((*instance.*member)());
    }
    return list;
  }

  // `instance` names one by its id, or all by "*".
  answer Change(const std::string& path, const json& change) {
    const std::string id = change.at("instance");
    int changed = 0;
    for (const auto& instance : instances_) {
      if (id != "*" && id != instance->settings().id) {
        continue;
      }
      if (path == "/_faults") {
        instance->SetFaults(change);
      } else if (path == "/_drain") {
        const millis linger(change.value("linger_ms", 8000));
        asio::co_spawn(context_, instance->Drain(linger), asio::detached);
      } else if (path == "/_crash") {
        const millis down(change.value("down_ms", 1000));
        asio::co_spawn(context_, instance->Crash(down), asio::detached);
      } else {
        return answer{404, R"({"error":"no such path"})"};
      }
      ++changed;
    }
    return answer{changed > 0 ? 200u : 404u, json{{"changed", changed}}.dump()};
  }

  asio::io_context& context_;
  instance_list& instances_;
  run_ledger& ledger_;
};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    items.push_back(item);
  }
  return items;
}

int Run(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description flags;
  instance_settings common;
  uint16_t control = 0;
  int count = 0;
  int64_t cold_ms = 0;
  std::string zones;
  flags.add_options()("service", po::value(&common.service)->required(),
                      "name of the service; instances are SERVICE-0 and so on")(
      "address", po::value(&common.address)->default_value("127.0.0.1"),
      "address to listen on")("port", po::value(&common.port)->required(),
                              "port of the first instance; others follow")(
      "control-port", po::value(&control)->default_value(0),
      "port for faults and records; 0 for any")(
      "instances", po::value(&count)->default_value(1), "instances to run")(
      "slots", po::value(&common.slots)->default_value(3),
      "requests that an instance runs at a time")(
      "queue", po::value(&common.queue)->default_value(2),
      "requests that wait for a slot; more are shed")(
      "connections", po::value(&common.connection_limit)->default_value(330),
      "open connections of an instance; more are closed")(
      "service-ms", po::value(&common.service_ms)->default_value(5),
      "mean time that work takes")(
      "cold-ms", po::value(&cold_ms)->default_value(0),
      "time after a start in which work takes four times as long")(
      "zones", po::value(&zones)->default_value("a"),
      "availability zones, by turns; comma-separated")(
      "seed", po::value(&common.seed)->default_value(1), "seed of all chance");
  ParseFlags(argc, argv, flags);
  common.cold = millis(cold_ms);
  const std::vector<std::string> zone_list = Split(zones);

  asio::io_context context(1);
  run_ledger ledger;
  instance_list instances;
  for (int i = 0; i < count; ++i) {
    instance_settings one = common;
    one.id = common.service + "-" + std::to_string(i);
    one.port = static_cast<uint16_t>(common.port + i);
    one.zone = zone_list[static_cast<size_t>(i) % zone_list.size()];
    one.seed = common.seed + static_cast<uint64_t>(i);
    instances.push_back(
        std::make_unique<upstream_instance>(context, ledger, one));
    instances.back()->Open();
  }
  upstream_control controller(context, instances, ledger);
  http_server<upstream_control> control_server(context, controller);
  control = control_server.Open(common.address, control);
  StopOnSignal(context);
  PrintReady("standin_upstream", common.port, control);
  context.run();
  return 0;
}

}  // namespace
}  // namespace peridotarch::standin

int main(int argc, char** argv) {
  return peridotarch::standin::Run(argc, argv);
}
