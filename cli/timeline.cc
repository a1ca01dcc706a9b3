#include "cli/timeline.h"

#include <fstream>
#include <ostream>

#include "cli/arguments.h"
#include "cli/fleet.h"
#include "cli/settings.h"
#include "cli/timeline_view.h"
#include "core/error.h"
#include "core/exit_code.h"
#include "inner/report.h"

namespace peridotarch {

namespace {

event_filter ReadFilter(const arguments& parsed) {
  event_filter filter;
  filter.subject = parsed.Text("subject").value_or("");
  filter.node = parsed.Text("node").value_or("");
  const auto kind = parsed.Text("kind");
  if (!kind) {
    return filter;
  }
  filter.kind = FromName<event_kind>(*kind);
  if (!filter.kind) {
    std::string allowed;
    for (const std::string_view name : names_of<event_kind>::kTable) {
      allowed += ' ' + std::string(name);
    }
    throw settings_error("--kind: \"" + *kind +
                         "\" is not allowed; allowed is one of" + allowed);
  }
  return filter;
}

/// Events of the proxies that answered, and how many did.
struct gathered {
  std::vector<std::vector<event>> lists;
  size_t asked = 0;
};

gathered Gather(const cli_settings& settings, millis since, std::ostream& err) {
  gathered all;
  const auto proxies = ReadFleet(settings);
  all.asked = proxies.size();
  for (const auto& answer :
       CallFleet(settings, proxies, "timeline", EncodeTimelineQuery({since}))) {
    try {
      if (!answer.failure.empty()) {
        throw platform_error(answer.failure);
      }
      all.lists.push_back(DecodeEvents(answer.result));
    } catch (const error& failure) {
      err << "peridotarch: no events of " << answer.proxy.id << ": "
          << failure.what() << '\n';
    }
  }
  return all;
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (!file) {
    throw settings_error("--svg: \"" + path +
                         "\" can't be written; allowed is a path that can");
  }
}

}  // namespace

int TimelineCommand(const cli_settings& settings,
                    const std::vector<std::string>& args, std::ostream& out,
                    std::ostream& err) {
  const arguments parsed(args, {"since", "kind", "subject", "node", "svg"}, 0);
  const event_filter filter = ReadFilter(parsed);
  const auto span = parsed.Span("since");
  RequireFleet(settings);
  const millis since = span ? wall_clock::Now() - *span : millis();
  const gathered all = Gather(settings, since, err);
  const auto events = Filtered(MergeEvents(all.lists), filter);
  if (const auto path = parsed.Text("svg")) {
    WriteFile(*path, ToSvg(events));
  } else {
    out << (settings.json ? EncodeEvents(events) + '\n' : ToText(events));
  }
  return ToInt(all.lists.empty() ? exit_code::kUnreachable : exit_code::kOk);
}

}  // namespace peridotarch
