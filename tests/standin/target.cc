#include "standin/target.h"

namespace peridotarch::standin {

uint64_t target::Number(const std::string& name, uint64_t fallback) const {
  const auto found = query.find(name);
  return found == query.end() ? fallback : std::stoull(found->second);
}

target ParseTarget(std::string_view text) {
  target parsed;
  const size_t mark = text.find('?');
  parsed.path = std::string(text.substr(0, mark));
  if (mark == std::string_view::npos) {
    return parsed;
  }
  std::string_view rest = text.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view item = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    const size_t equals = item.find('=');
    if (equals != std::string_view::npos) {
      parsed.query[std::string(item.substr(0, equals))] =
          std::string(item.substr(equals + 1));
    }
  }
  return parsed;
}

}  // namespace peridotarch::standin
