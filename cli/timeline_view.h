#ifndef CLI_TIMELINE_VIEW_H_
#define CLI_TIMELINE_VIEW_H_

#include <optional>
#include <string>
#include <vector>

#include "core/timeline.h"

namespace peridotarch {

/// Which events to show; an empty field lets all pass.
struct event_filter {
  std::optional<event_kind> kind = std::nullopt;
  std::string subject = "";  ///< Part of the subject.
  std::string node = "";
};

/// Returns the events of all processes in one order: by hybrid time, then by
/// node. An event that has been read twice appears once.
std::vector<event> MergeEvents(const std::vector<std::vector<event>>& lists);

/// Returns the events that pass.
std::vector<event> Filtered(const std::vector<event>& events,
                            const event_filter& filter);

/// Returns the wall clock in UTC, like "2026-01-31T09:05:00.123Z".
std::string ToUtc(millis wall);

/// Renders one line an event.
std::string ToText(const std::vector<event>& events);

/// Renders a self-contained SVG picture: a lane for each node, a mark for each
/// event, its words as the mark's title.
std::string ToSvg(const std::vector<event>& events);

}  // namespace peridotarch

#endif  // CLI_TIMELINE_VIEW_H_
