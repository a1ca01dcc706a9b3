#ifndef STANDIN_PROGRAM_H_
#define STANDIN_PROGRAM_H_

#include <boost/program_options.hpp>
#include <cstdint>
#include <string>

#include "standin/http_server.h"

namespace peridotarch::standin {

/// Exit code of a bad flag.
inline constexpr int kExitUsage = 2;

/// Parses the flags; prints the help or the error and leaves the program.
boost::program_options::variables_map ParseFlags(
    int argc, char** argv,
    const boost::program_options::options_description& flags);

/// Prints the line by which scripts know that `program` listens.
void PrintReady(const std::string& program, uint16_t port, uint16_t control);

/// Adds SIGTERM and SIGINT as ways to end `context`.
void StopOnSignal(asio::io_context& context);

}  // namespace peridotarch::standin

#endif  // STANDIN_PROGRAM_H_
