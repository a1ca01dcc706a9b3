#include "front/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotarch {

namespace {

constexpr double kLinesPerSecond = 100;  // ten times a node's usual requests
constexpr double kBurstLines = 300;
constexpr double kMillisPerSecond = 1000;

}  // namespace

decision_log::decision_log(std::string node)
    : node_(std::move(node)),
      tokens_(kBurstLines),
      refilled_(boot_clock::Now()) {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

bool decision_log::TakeToken(millis now) {
  const auto passed = static_cast<double>((now - refilled_).count());
  tokens_ = std::min(kBurstLines,
                     tokens_ + passed * kLinesPerSecond / kMillisPerSecond);
  refilled_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void decision_log::Write(std::string_view event,
                         const nlohmann::ordered_json& fields) {
  if (!TakeToken(boot_clock::Now())) {
    ++left_out_;
    return;
  }
  nlohmann::ordered_json line = {
      {"at_ms", wall_clock::Now().count()}, {"node", node_}, {"event", event}};
  line.update(fields);
  if (left_out_ > 0) {
    line["lines_left_out"] = left_out_;
  }
  std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  text += '\n';
  // A reader that does not keep up loses lines; waiting for it would hold up
  // requests.
  const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
  if (written != static_cast<ssize_t>(text.size())) {
    ++left_out_;
    return;
  }
  left_out_ = 0;
}

}  // namespace peridotarch
