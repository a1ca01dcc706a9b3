// Callers: open-loop load with a check of every answer.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "core/error.h"
#include "standin/load_generator.h"
#include "standin/program.h"

namespace peridotarch::standin {
namespace {

int Run(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description flags;
  load_settings settings;
  std::string mix_file;
  std::string out_file;
  int64_t timeout_ms = 0;
  flags.add_options()("name", po::value(&settings.name)->default_value("load"),
                      "prefix of the tags of requests")(
      "targets-file", po::value(&settings.targets_file)->required(),
      "JSON array of ADDRESS:PORT, read again as it changes")(
      "mix", po::value(&mix_file)->required(),
      "JSON file with the kinds of requests")(
      "rate", po::value(&settings.rate)->default_value(100),
      "requests per second, repeats not counted")(
      "count", po::value(&settings.count)->default_value(1000),
      "requests at most")("seconds",
                          po::value(&settings.seconds)->default_value(60),
                          "time at most")(
      "connections", po::value(&settings.connections)->default_value(200),
      "requests under way at once")(
      "repeat", po::value(&settings.repeat)->default_value(0),
      "share of keyed requests that are sent again")(
      "timeout-ms", po::value(&timeout_ms)->default_value(10'000),
      "time after which a caller gives up")(
      "seed", po::value(&settings.seed)->default_value(1),
      "seed of all chance")("log", po::value(&settings.log_file),
                            "file for one JSON line per send")(
      "out", po::value(&out_file), "file for the summary; also printed");
  ParseFlags(argc, argv, flags);
  settings.timeout = millis(timeout_ms);

  asio::io_context context(1);
  const load_mix mix(mix_file);
  load_generator generator(context, mix, settings);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { generator.Stop(); });
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        co_await generator.Run();
        signals.cancel();
      },
      asio::detached);
  context.run();

  const std::string summary = generator.summary().ToJson().dump(1);
  std::cout << summary << '\n';
  if (!out_file.empty()) {
    std::ofstream(out_file) << summary << '\n';
  }
  return 0;
}

}  // namespace
}  // namespace peridotarch::standin

int main(int argc, char** argv) {
  try {
    return peridotarch::standin::Run(argc, argv);
  } catch (const peridotarch::settings_error& bad) {
    std::cerr << "load_tool: " << bad.what() << '\n';
    return peridotarch::standin::kExitUsage;
  }
}
