// peridotarchd: one proxy of the fleet.

#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "core/error.h"
#include "core/exit_code.h"
#include "front/front_daemon.h"
#include "platform/boot_settings.h"
#include "proxy/daemon.h"
#include "proxy/settings.h"

namespace {

using peridotarch::exit_code;
using peridotarch::ToInt;

int Run(int argc, char** argv) {
  if (const char* boot = std::getenv(peridotarch::kBootVariable)) {
    peridotarch::RunFrontDaemon(boot);
    return ToInt(exit_code::kOk);
  }
  const auto settings = peridotarch::ReadProxySettings(argc, argv);
  if (!settings.notice.empty()) {
    std::cout << settings.notice;
    return ToInt(exit_code::kOk);
  }
  peridotarch::RunDaemon(settings);
  return ToInt(exit_code::kOk);
}

}  // namespace

int main(int argc, char** argv) {
  // Logs may go to a pipe whose reader has ended.
  std::signal(SIGPIPE, SIG_IGN);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  try {
    return Run(argc, argv);
  } catch (const peridotarch::settings_error& bad) {
    std::cerr << bad.what() << '\n';
    return ToInt(exit_code::kBadSettings);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return ToInt(exit_code::kInternal);
  }
}
