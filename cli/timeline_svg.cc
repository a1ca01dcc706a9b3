#include <algorithm>
#include <array>
#include <map>
#include <sstream>
#include <string_view>

#include "cli/timeline_view.h"

namespace peridotarch {

namespace {

// Lengths in pixels.
constexpr int kWidth = 1400;
constexpr int kLabelWidth = 160;
constexpr int kRightMargin = 20;
constexpr int kLaneHeight = 18;
constexpr int kLegendColumn = 170;
constexpr int kLegendColumns = 7;
constexpr int kLegendRow = 18;
constexpr int kAxisHeight = 30;
constexpr int kMarkRadius = 4;
constexpr int kTicks = 8;

constexpr size_t kKinds = names_of<event_kind>::kTable.size();

// Colour of each kind: green for return, red for loss, yellow for doubt.
constexpr std::array<std::string_view, kKinds> kColours = {
    "#2a9d2a", "#777777", "#1f77b4", "#17becf", "#bcbd22",
    "#8c564b", "#9467bd", "#ffbf00", "#d62728", "#66c266",
    "#e377c2", "#000000", "#ff7f0e", "#a00000", "#006d2c"};

std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        // XML allows no other control characters.
        escaped.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
    }
  }
  return escaped;
}

/// Where things go in the picture.
class layout {
 public:
  explicit layout(const std::vector<event>& events) {
    for (const event& each : events) {
      lanes_.try_emplace(each.node, 0);
    }
    int lane = 0;
    for (auto& [node, number] : lanes_) {
      number = lane++;
    }
    if (!events.empty()) {
      first_ = events.front().at.wall.count();
      span_ = std::max<int64_t>(events.back().at.wall.count() - first_, 1);
    }
  }

  [[nodiscard]] double X(millis wall) const {
    constexpr int kInner = kWidth - kLabelWidth - kRightMargin;
    const auto passed = static_cast<double>(wall.count() - first_);
    return kLabelWidth + kInner * passed / static_cast<double>(span_);
  }
  [[nodiscard]] int Y(const std::string& node) const {
    return Top() + lanes_.at(node) * kLaneHeight + kLaneHeight / 2;
  }
  [[nodiscard]] static int Top() {
    constexpr int kRows = (kKinds + kLegendColumns - 1) / kLegendColumns;
    return kRows * kLegendRow + kAxisHeight;
  }
  [[nodiscard]] int Height() const {
    return Top() + static_cast<int>(lanes_.size()) * kLaneHeight + kLaneHeight;
  }
  [[nodiscard]] millis Tick(int number) const {
    return millis(first_ + span_ * number / kTicks);
  }
  [[nodiscard]] const std::map<std::string, int>& lanes() const {
    return lanes_;
  }

 private:
  std::map<std::string, int> lanes_;
  int64_t first_ = 0;
  int64_t span_ = 1;
};

void Text(std::ostream& out, double x, int y, std::string_view text) {
  out << "<text x=\"" << x << "\" y=\"" << y << "\">" << Escape(text)
      << "</text>\n";
}

void DrawLegend(std::ostream& out) {
  for (size_t i = 0; i < kKinds; ++i) {
    const int x = static_cast<int>(i % kLegendColumns) * kLegendColumn + 10;
    const int y = static_cast<int>(i / kLegendColumns) * kLegendRow + 12;
    out << "<circle cx=\"" << x << "\" cy=\"" << y << "\" r=\"" << kMarkRadius
        << "\" fill=\"" << kColours[i] << "\"/>\n";
    Text(out, x + 2 * kMarkRadius, y + kMarkRadius,
         ToName(static_cast<event_kind>(i)));
  }
}

void DrawAxis(std::ostream& out, const layout& place) {
  const int y = layout::Top() - kLaneHeight / 2;
  for (int i = 0; i <= kTicks; ++i) {
    const double x = place.X(place.Tick(i));
    out << "<line x1=\"" << x << "\" y1=\"" << y << "\" x2=\"" << x
        << "\" y2=\"" << place.Height() << "\" stroke=\"#dddddd\"/>\n";
    // The time of day without the date; the titles of marks have it whole.
    const std::string clock = ToUtc(place.Tick(i)).substr(11, 12);
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\""
        << (i == kTicks ? "end" : "middle") << "\">" << clock << "</text>\n";
  }
}

void DrawLanes(std::ostream& out, const layout& place) {
  for (const auto& [node, number] : place.lanes()) {
    const int y = place.Y(node);
    out << "<line x1=\"" << kLabelWidth << "\" y1=\"" << y << "\" x2=\""
        << kWidth - kRightMargin << "\" y2=\"" << y
        << "\" stroke=\"#eeeeee\"/>\n";
    Text(out, 4, y + kMarkRadius, node);
  }
}

void DrawEvent(std::ostream& out, const layout& place, const event& of) {
  out << "<circle cx=\"" << place.X(of.at.wall) << "\" cy=\""
      << place.Y(of.node) << "\" r=\"" << kMarkRadius << "\" fill=\""
      << kColours[static_cast<size_t>(of.kind)] << "\"><title>"
      << ToUtc(of.at.wall) << ' ' << Escape(of.node) << ' ' << ToName(of.kind)
      << ' ' << Escape(of.subject) << ": " << Escape(of.detail)
      << "</title></circle>\n";
}

}  // namespace

std::string ToSvg(const std::vector<event>& events) {
  const layout place(events);
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << place.Height()
      << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n";
  DrawLegend(out);
  if (!events.empty()) {
    DrawAxis(out, place);
  }
  DrawLanes(out, place);
  for (const event& each : events) {
    DrawEvent(out, place, each);
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace peridotarch
