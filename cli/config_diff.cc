#include "cli/config_diff.h"

#include <nlohmann/json.hpp>

#include "cli/arguments.h"
#include "cli/config_file.h"
#include "cli/config_log.h"
#include "cli/settings.h"
#include "config/line_diff.h"
#include "core/error.h"
#include "core/exit_code.h"

namespace peridotarch {

int DiffCommand(const cli_settings& settings,
                const std::vector<std::string>& args, std::ostream& out,
                std::ostream& err) {
  const arguments parsed(args, {}, 1);
  if (parsed.words().empty()) {
    throw settings_error("diff: missing; allowed is the path of a rules file");
  }
  const config_file file = ReadConfigFile(parsed.words().front());
  const revision head = ReadConfigLog(settings, false).head;
  const auto edits = DiffLines(head.snapshot->text, file.text);
  const std::string shown = FormatEdits(head.snapshot->text, edits);
  if (settings.json) {
    out << nlohmann::json{{"head", head.id.number},
                          {"changes", edits.size()},
                          {"diff", shown}}
               .dump(2)
        << '\n';
  } else {
    out << shown;
    err << edits.size() << " changes from revision " << ToText(head.id) << '\n';
  }
  return ToInt(edits.empty() ? exit_code::kOk : exit_code::kFailed);
}

}  // namespace peridotarch
