#include "cli/command.h"

namespace peridotarch {

const std::vector<command>& Commands() {
  static const std::vector<command> table = {};
  return table;
}

}  // namespace peridotarch
