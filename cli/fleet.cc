#include "cli/fleet.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <thread>

#include "cli/settings.h"
#include "core/error.h"
#include "inner/rpc/rpc_client.h"
#include "platform/blocking.h"

namespace peridotarch {

namespace {

// Enough that a few proxies that do not answer do not hold up the others.
constexpr size_t kCallsAtOnce = 32;

fleet_answer CallOne(const cli_settings& settings, const host& proxy,
                     const std::string& request) {
  fleet_answer answer{proxy, "", ""};
  try {
    answer.result =
        RpcResult(CallProxy({proxy.address, proxy.port}, settings.fleet_key,
                            request, settings.timeout));
  } catch (const std::exception& failure) {
    answer.failure = failure.what();
  }
  return answer;
}

}  // namespace

void RequireFleet(const cli_settings& settings) {
  RequireServer(settings, "hosts", settings.hosts_host);
}

std::vector<host> ReadFleet(const cli_settings& settings) {
  std::vector<host> proxies =
      ReadHosts({settings.hosts_host, settings.hosts_port}).hosts;
  std::erase_if(proxies,
                [](const host& each) { return each.service != kFleetService; });
  std::sort(
      proxies.begin(), proxies.end(),
      [](const host& left, const host& right) { return left.id < right.id; });
  return proxies;
}

std::vector<fleet_answer> CallFleet(const cli_settings& settings,
                                    const std::vector<host>& proxies,
                                    const std::string& method,
                                    const std::string& params_json) {
  const std::string request = RpcRequest(method, params_json);
  std::vector<fleet_answer> answers(proxies.size());
  std::atomic<size_t> next = 0;
  std::vector<std::jthread> callers;
  const size_t count = std::min(kCallsAtOnce, proxies.size());
  for (size_t i = 0; i < count; ++i) {
    callers.emplace_back([&] {
      for (size_t at = next++; at < proxies.size(); at = next++) {
        answers[at] = CallOne(settings, proxies[at], request);
      }
    });
  }
  callers.clear();
  return answers;
}

}  // namespace peridotarch
