#include "front/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotarch {

namespace {

// Ten times the usual request rate of a node.
constexpr double kLinesPerSecond = 100;
constexpr double kBurstLines = 300;
constexpr double kMillisPerSecond = 1000;

}  // namespace

decision_log::decision_log(std::string node)
    : node_(std::move(node)),
      tokens_(kBurstLines),
      refilled_at_(boot_clock::Now()) {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

bool decision_log::TakeToken(millis now) {
  const auto elapsed = static_cast<double>((now - refilled_at_).count());
  tokens_ = std::min(kBurstLines,
                     tokens_ + elapsed * kLinesPerSecond / kMillisPerSecond);
  refilled_at_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void decision_log::Write(std::string_view event,
                         const nlohmann::ordered_json& fields) {
  if (!TakeToken(boot_clock::Now())) {
    ++omitted_lines_;
    return;
  }
  nlohmann::ordered_json line = {
      {"at_ms", wall_clock::Now().count()}, {"node", node_}, {"event", event}};
  line.update(fields);
  if (omitted_lines_ > 0) {
    line["lines_left_out"] = omitted_lines_;
  }
  std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  text += '\n';
  // A reader that does not keep up loses lines; waiting for it would hold up
  // requests.
  const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
  if (written != static_cast<ssize_t>(text.size())) {
    ++omitted_lines_;
    return;
  }
  omitted_lines_ = 0;
}

}  // namespace peridotarch
