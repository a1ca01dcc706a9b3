#ifndef CLI_BENCH_H_
#define CLI_BENCH_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace peridotarch {

struct cli_settings;

/// Runs `peridotarch bench`: seeded scenarios of all decision packages, folded
/// into one number.
int BenchCommand(const cli_settings& settings,
                 const std::vector<std::string>& args, std::ostream& out,
                 std::ostream& err);

}  // namespace peridotarch

#endif  // CLI_BENCH_H_
