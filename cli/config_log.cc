#include "cli/config_log.h"

#include <string>

#include "cli/settings.h"
#include "config/log_follower.h"
#include "core/error.h"
#include "platform/blocking.h"

namespace peridotarch {

namespace {

constexpr int kPageRecords = 256;

}  // namespace

void RequireLog(const cli_settings& settings) {
  RequireServer(settings, "log", settings.log_host);
}

config_history ReadConfigLog(const cli_settings& settings, bool whole,
                             std::optional<uint64_t> watch) {
  RequireLog(settings);
  log_client log({settings.log_host, settings.log_port});
  log_follower follower(settings.fleet_key, whole);
  if (watch) {
    follower.Watch(*watch);
  }
  const millis deadline = steady_clock::Now() + settings.timeout;
  config_history history;
  while (!follower.caught_up()) {
    if (steady_clock::Now() >= deadline) {
      throw platform_error("the log was not read to its end in time");
    }
    const log_page page =
        log.Read(std::string(kConfigStream), follower.next_offset(),
                 kPageRecords, millis(0));
    for (applied_record& applied :
         follower.OnPage(page, steady_clock::Now()).applied) {
      history.records.push_back(std::move(applied));
    }
    if (follower.found_no_snapshot()) {
      follower.StartAtOldest();
    }
  }
  history.head = follower.head();
  history.watched = follower.watched();
  return history;
}

}  // namespace peridotarch
