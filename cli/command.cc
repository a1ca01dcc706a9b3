#include "cli/command.h"

#include <algorithm>
#include <exception>

#include "cli/settings.h"
#include "config/words.h"
#include "core/error.h"
#include "core/exit_code.h"
#include "core/version.h"

namespace peridotarch {

namespace {

const command* Find(std::string_view name) {
  const auto& all = Commands();
  const auto found =
      std::find_if(all.begin(), all.end(),
                   [&](const command& each) { return each.name == name; });
  return found == all.end() ? nullptr : &*found;
}

void PrintHelp(std::ostream& out) {
  constexpr size_t kNameColumn = 12;
  out << "Usage: peridotarch [SETTINGS] COMMAND [WORDS]\n\nCommands:\n";
  for (const command& each : Commands()) {
    const std::string padding(kNameColumn - each.name.size(), ' ');
    out << "  " << each.name << padding << each.summary << '\n';
  }
  out << "\n`peridotarch COMMAND --help` says more of one.\n\n"
      << CliSettingsHelp();
}

void PrintHelp(const command& of, std::ostream& out) {
  out << "Usage: peridotarch " << of.name << (of.usage.empty() ? "" : " ")
      << of.usage << "\n\n"
      << of.summary << ".\n\n"
      << of.help;
}

int RejectCommand(const std::string& name, std::ostream& err) {
  std::vector<std::string_view> names;
  for (const command& each : Commands()) {
    names.push_back(each.name);
  }
  const auto nearest = NearestWord(name, names);
  err << "peridotarch: no command \"" << name << '"';
  if (!nearest.empty()) {
    err << "; did you mean " << nearest << '?';
  }
  err << " See peridotarch --help.\n";
  return ToInt(exit_code::kBadSettings);
}

int Dispatch(const cli_invocation& invocation, std::ostream& out,
             std::ostream& err) {
  if (invocation.version) {
    out << "peridotarch " << kVersion << '\n';
    return ToInt(exit_code::kOk);
  }
  if (invocation.command.empty()) {
    PrintHelp(invocation.help ? out : err);
    return ToInt(invocation.help ? exit_code::kOk : exit_code::kBadSettings);
  }
  const command* chosen = Find(invocation.command);
  if (chosen == nullptr) {
    return RejectCommand(invocation.command, err);
  }
  if (invocation.help) {
    PrintHelp(*chosen, out);
    return ToInt(exit_code::kOk);
  }
  return chosen->run(invocation.settings, invocation.args, out, err);
}

}  // namespace

int RunCli(int argc, const char* const* argv, std::ostream& out,
           std::ostream& err) {
  try {
    return Dispatch(ReadCliSettings(argc, argv), out, err);
  } catch (const settings_error& failure) {
    err << failure.what() << '\n';
    return ToInt(exit_code::kBadSettings);
  } catch (const platform_error& failure) {
    err << "peridotarch: " << failure.what() << '\n';
    return ToInt(exit_code::kUnreachable);
  } catch (const std::exception& failure) {
    err << "peridotarch: " << failure.what() << '\n';
    return ToInt(exit_code::kInternal);
  }
}

}  // namespace peridotarch
