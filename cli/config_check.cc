#include "cli/config_check.h"

#include "cli/arguments.h"
#include "cli/config_file.h"
#include "cli/settings.h"
#include "core/error.h"
#include "core/exit_code.h"

namespace peridotarch {

int CheckCommand(const cli_settings& settings,
                 const std::vector<std::string>& args, std::ostream& out,
                 std::ostream& err) {
  const arguments parsed(args, {}, 1);
  if (parsed.words().empty()) {
    throw settings_error("check: missing; allowed is the path of a rules file");
  }
  const std::string& path = parsed.words().front();
  const bool sound =
      ReportProblems(path, ReadConfigFile(path), settings.json, out);
  if (!settings.json) {
    err << path << (sound ? ": no error\n" : ": has errors\n");
  }
  return ToInt(sound ? exit_code::kOk : exit_code::kFailed);
}

}  // namespace peridotarch
