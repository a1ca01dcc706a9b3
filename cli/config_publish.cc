#include "cli/config_publish.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cli/arguments.h"
#include "cli/config_file.h"
#include "cli/config_log.h"
#include "cli/fleet.h"
#include "cli/publish_run.h"
#include "cli/settings.h"
#include "core/error.h"
#include "core/exit_code.h"

namespace peridotarch {

namespace {

constexpr millis kMinInForceWait{3000};

exit_code CodeOf(publish_outcome outcome) {
  switch (outcome) {
    case publish_outcome::kAccepted:
    case publish_outcome::kUnchanged:
      return exit_code::kOk;
    case publish_outcome::kConflict:
      return exit_code::kConflict;
    case publish_outcome::kNeedBase:
      return exit_code::kBadSettings;
    case publish_outcome::kUnknown:
      return exit_code::kUnknown;
    case publish_outcome::kLogBehind:
    case publish_outcome::kLogAway:
      return exit_code::kUnreachable;
  }
  return exit_code::kInternal;
}

std::string Explain(const publish_result& result) {
  const std::string head = ToText(result.head.id);
  const std::string by = " by " + result.head.author;
  switch (result.outcome) {
    case publish_outcome::kAccepted:
      return "revision " + head + " is accepted" +
             (result.rebased ? ", rebased onto the revision before it" : "");
    case publish_outcome::kUnchanged:
      return "revision " + head + " has this text already";
    case publish_outcome::kConflict:
      return "conflict: revision " + head + by +
             " came first; nothing was changed";
    case publish_outcome::kNeedBase:
      return "the log is at revision " + head +
             "; name the revision that the file was made from: --base N or a "
             "first line '# base N'";
    case publish_outcome::kLogBehind:
      return "the log answers with revision " + head +
             ", older than the base; it was reset or its answer is out of "
             "date; nothing was changed";
    case publish_outcome::kUnknown:
      return "the append's answer was lost and the record is not in the log "
             "yet; it may still be accepted. Run the same command again";
    case publish_outcome::kLogAway:
      return "the log does not answer; nothing was changed";
  }
  return "";
}

void ShowConflict(const publish_result& result, std::ostream& out) {
  if (!result.base) {
    out << "the base is no longer in the log's latest records; see "
           "peridotarch history --show "
        << result.head.id.number << '\n';
    return;
  }
  const std::string& base = result.base->snapshot->text;
  out << "their changes since revision " << result.base->id.number << ":\n"
      << FormatEdits(base, result.theirs) << "yours:\n"
      << FormatEdits(base, result.mine);
  out << (result.mergeable
              ? "no line is touched by both; to carry yours over: publish "
                "again with --on-conflict rebase\n"
              : "both touch the same lines; edit anew from peridotarch "
                "history --show " +
                    std::to_string(result.head.id.number) + "\n");
}

nlohmann::json AsJson(const publish_result& result) {
  nlohmann::json value{{"outcome", ToName(result.outcome)},
                       {"revision", result.head.id.number},
                       {"chain", ToHex(result.head.id.chain)},
                       {"rebased", result.rebased}};
  if (result.outcome == publish_outcome::kConflict) {
    value["by"] = result.head.author;
    value["mergeable"] = result.mergeable;
  }
  if (result.base) {
    const std::string& base = result.base->snapshot->text;
    value["base"] = result.base->id.number;
    value["theirs"] = FormatEdits(base, result.theirs);
    value["mine"] = FormatEdits(base, result.mine);
  }
  return value;
}

void ShowBehind(const std::vector<node_behind>& behind, std::ostream& err) {
  for (const node_behind& node : behind) {
    err << "not in force on " << node.node << ": " << node.state << '\n';
  }
}

// Publishes, waits and reports; both commands end here.
int Finish(const cli_settings& settings, const std::string& text,
           std::optional<uint64_t> base, bool rebase, std::ostream& out,
           std::ostream& err) {
  const millis begin = steady_clock::Now();
  const publish_result result = RunPublish(settings, text, base, rebase);
  exit_code code = CodeOf(result.outcome);
  std::vector<node_behind> behind;
  if (code == exit_code::kOk) {
    const millis now = steady_clock::Now();
    const millis deadline =
        std::max(begin + settings.timeout, now + kMinInForceWait);
    behind = WaitInForce(settings, result.head.id.number, deadline);
    code = behind.empty() ? exit_code::kOk : exit_code::kNotInForce;
  }
  const millis took = steady_clock::Now() - begin;
  if (settings.json) {
    nlohmann::json value = AsJson(result);
    value["took_ms"] = took.count();
    value["behind"] = nlohmann::json::array();
    for (const node_behind& node : behind) {
      value["behind"].push_back({{"node", node.node}, {"state", node.state}});
    }
    out << value.dump(2) << '\n';
    return ToInt(code);
  }
  (CodeOf(result.outcome) == exit_code::kOk ? out : err)
      << Explain(result) << '\n';
  if (result.outcome == publish_outcome::kConflict) {
    ShowConflict(result, out);
  }
  ShowBehind(behind, err);
  if (code == exit_code::kOk) {
    out << "in force on every live proxy after " << took.count() << " ms\n";
  }
  return ToInt(code);
}

}  // namespace

int PublishCommand(const cli_settings& settings,
                   const std::vector<std::string>& args, std::ostream& out,
                   std::ostream& err) {
  const arguments parsed(args, {"base", "on-conflict"}, 1);
  if (parsed.words().empty()) {
    throw settings_error(
        "publish: missing; allowed is the path of a rules file");
  }
  const std::string on_conflict = parsed.Text("on-conflict").value_or("stop");
  if (on_conflict != "stop" && on_conflict != "rebase") {
    throw settings_error("--on-conflict: \"" + on_conflict +
                         "\" is not allowed; allowed is stop or rebase");
  }
  RequireLog(settings);
  RequireFleet(settings);
  const std::string& path = parsed.words().front();
  const config_file file = ReadConfigFile(path);
  if (!ReportProblems(path, file, false, err)) {
    err << path << ": has errors; nothing was published\n";
    return ToInt(exit_code::kFailed);
  }
  std::optional<uint64_t> base = file.base;
  if (parsed.Text("base")) {
    base = static_cast<uint64_t>(parsed.Number("base", 0, INT64_MAX, 0));
  }
  return Finish(settings, file.text, base, on_conflict == "rebase", out, err);
}

int RollbackCommand(const cli_settings& settings,
                    const std::vector<std::string>& args, std::ostream& out,
                    std::ostream& err) {
  const arguments parsed(args, {"to"}, 0);
  const int64_t number = parsed.Number("to", 1, INT64_MAX, 0);
  if (number == 0) {
    throw settings_error("--to: missing; allowed is a revision's number");
  }
  RequireFleet(settings);
  const config_history history =
      ReadConfigLog(settings, true, static_cast<uint64_t>(number));
  if (!history.watched) {
    err << "revision " << number << " is not in the log; see peridotarch "
        << "history\n";
    return ToInt(exit_code::kFailed);
  }
  return Finish(settings, history.watched->snapshot->text,
                history.head.id.number, false, out, err);
}

}  // namespace peridotarch
