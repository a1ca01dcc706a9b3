#include "cli/config_history.h"

#include <nlohmann/json.hpp>

#include "cli/arguments.h"
#include "cli/config_file.h"
#include "cli/config_log.h"
#include "cli/settings.h"
#include "core/exit_code.h"

namespace peridotarch {

namespace {

void PrintJson(const config_history& history, std::ostream& out) {
  nlohmann::json records = nlohmann::json::array();
  for (const applied_record& record : history.records) {
    records.push_back({{"offset", record.offset},
                       {"appended_ms", record.appended_at.count()},
                       {"outcome", ToName(record.outcome)},
                       {"revision", record.id.number},
                       {"chain", ToHex(record.id.chain)},
                       {"author", record.author},
                       {"published_ms", record.published_at.count()}});
  }
  out << nlohmann::json{{"head", history.head.id.number}, {"records", records}}
             .dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
      << '\n';
}

void PrintText(const config_history& history, std::ostream& out) {
  for (const applied_record& record : history.records) {
    out << record.offset << "  " << record.appended_at.count() << "  "
        << ToText(record.id) << "  " << ToName(record.outcome) << "  "
        << record.author << '\n';
  }
  out << "head: revision " << ToText(history.head.id) << " by "
      << history.head.author << '\n';
}

}  // namespace

int HistoryCommand(const cli_settings& settings,
                   const std::vector<std::string>& args, std::ostream& out,
                   std::ostream& err) {
  const arguments parsed(args, {"show"}, 0);
  const int64_t show = parsed.Number("show", 0, INT64_MAX, -1);
  const std::optional<uint64_t> watch =
      show < 0 ? std::nullopt : std::optional(static_cast<uint64_t>(show));
  const config_history history = ReadConfigLog(settings, true, watch);
  if (!watch) {
    settings.json ? PrintJson(history, out) : PrintText(history, out);
    return ToInt(exit_code::kOk);
  }
  if (!history.watched) {
    err << "revision " << show << " is not in the log\n";
    return ToInt(exit_code::kFailed);
  }
  const std::string& text = history.watched->snapshot->text;
  if (settings.json) {
    out << nlohmann::json{{"revision", show}, {"text", text}}.dump(
               2, ' ', false, nlohmann::json::error_handler_t::replace)
        << '\n';
  } else {
    out << BaseLine(*watch) << text;
  }
  return ToInt(exit_code::kOk);
}

}  // namespace peridotarch
