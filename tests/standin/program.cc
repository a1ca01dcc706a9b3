#include "standin/program.h"

#include <cstdlib>
#include <iostream>
#include <memory>

namespace peridotarch::standin {

namespace po = boost::program_options;

po::variables_map ParseFlags(int argc, char** argv,
                             const po::options_description& flags) {
  po::options_description all("Flags");
  all.add(flags).add_options()("help", "print this text");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, all), values);
    if (values.count("help") != 0) {
      std::cout << all;
      std::exit(0);
    }
    po::notify(values);
  } catch (const po::error& bad) {
    std::cerr << argv[0] << ": " << bad.what() << '\n' << all;
    std::exit(kExitUsage);
  }
  return values;
}

void PrintReady(const std::string& program, uint16_t port, uint16_t control) {
  std::cout << "ready " << program << " port=" << port << " control=" << control
            << std::endl;
}

void StopOnSignal(asio::io_context& context) {
  auto signals = std::make_shared<asio::signal_set>(context, SIGTERM, SIGINT);
  signals->async_wait([signals, &context](auto, int) { context.stop(); });
}

}  // namespace peridotarch::standin
