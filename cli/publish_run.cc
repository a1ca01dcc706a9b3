#include "cli/publish_run.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "cli/fleet.h"
#include "cli/settings.h"
#include "core/error.h"
#include "platform/blocking.h"

namespace peridotarch {

namespace {

constexpr int kPageRecords = 256;
constexpr std::chrono::milliseconds kPause{100};

record_id RandomId() {
  std::random_device source;
  record_id id;
  for (uint8_t& byte : id) {
    byte = static_cast<uint8_t>(source());
  }
  return id;
}

// Carries out one step; a failed call is the publisher's to judge.
void Perform(publisher& machine, const publish_step& step, log_client& log) {
  const std::string stream(kConfigStream);
  try {
    if (const auto* append = std::get_if<publish_append>(&step)) {
      log.Append(stream, append->data);
      machine.OnAppended(steady_clock::Now());
      return;
    }
    const auto& read = std::get<publish_read>(step);
    const log_page page = log.Read(stream, read.from, kPageRecords, read.wait);
    machine.OnPage(page, steady_clock::Now());
  } catch (const platform_error&) {
    machine.OnError(steady_clock::Now());
    std::this_thread::sleep_for(kPause);
  }
}

std::vector<node_behind> NodesBehind(const cli_settings& settings,
                                     uint64_t number) {
  std::vector<host> proxies = ReadFleet(settings);
  std::erase_if(proxies,
                [](const host& h) { return h.state != host_state::kLive; });
  std::vector<node_behind> behind;
  for (const fleet_answer& answer :
       CallFleet(settings, proxies, "config_head", "{}")) {
    if (!answer.failure.empty()) {
      behind.push_back({answer.proxy.id, answer.failure});
      continue;
    }
    const auto head = nlohmann::json::parse(answer.result, nullptr, false);
    const auto at = head.is_object() ? head.value("number", uint64_t{0}) : 0;
    if (at < number) {
      behind.push_back({answer.proxy.id, "revision " + std::to_string(at)});
    }
  }
  return behind;
}

}  // namespace

publish_result RunPublish(const cli_settings& settings, std::string text,
                          std::optional<uint64_t> base, bool rebase) {
  publish_request request;
  request.fleet_key = settings.fleet_key;
  request.author = settings.author;
  request.text = std::move(text);
  request.base = base;
  request.rebase = rebase;
  request.id = RandomId();
  request.published_at = wall_clock::Now();
  request.deadline = steady_clock::Now() + settings.timeout;
  publisher machine(std::move(request));
  log_client log({settings.log_host, settings.log_port});
  for (;;) {
    publish_step step = machine.Next(steady_clock::Now());
    if (auto* end = std::get_if<publish_result>(&step)) {
      return std::move(*end);
    }
    Perform(machine, step, log);
  }
}

std::vector<node_behind> WaitInForce(const cli_settings& settings,
                                     uint64_t number, millis deadline) {
  for (;;) {
    std::vector<node_behind> behind;
    try {
      behind = NodesBehind(settings, number);
    } catch (const platform_error& failure) {
      behind = {{"the host list", failure.what()}};
    }
    if (behind.empty() || steady_clock::Now() >= deadline) {
      return behind;
    }
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace peridotarch
