#include "cli/bench.h"
#include "cli/command.h"
#include "cli/config_commands.h"
#include "cli/status.h"
#include "cli/timeline.h"

namespace peridotarch {

const std::vector<command>& Commands() {
  static const std::vector<command> table = WithConfigCommands({
      {"status", "",
       "Each service's capacity against its floor, and each proxy",
       "Asks every proxy in the host list. For each service: healthy slots, "
       "all slots,\nthe floor, and each instance that is not open with the "
       "reason. For each proxy:\nthe revision in force, the nodes it sees and "
       "whom it doubts.\n\nNeeds --hosts and --fleet-key. With --json: one "
       "object.\nExit codes: 0; 1 a service is below its floor; 2 settings; "
       "3 no proxy answers.\n",
       StatusCommand},
      {"timeline",
       "[--since SPAN] [--kind KIND] [--subject TEXT] [--node ID] [--svg FILE]",
       "Changes of state in all proxies, in one order",
       "Merges the events that the proxies keep, by their hybrid time.\n"
       "  --since SPAN    only the latest, such as 90s, 15m or 2h\n"
       "  --kind KIND     only one kind, such as instance_ejected\n"
       "  --subject TEXT  only subjects that contain the text\n"
       "  --node ID       only one proxy\n"
       "  --svg FILE      write a picture in place of text\n\n"
       "Needs --hosts and --fleet-key. With --json: one array.\n"
       "Exit codes: 0; 2 settings; 3 no proxy answers.\n",
       TimelineCommand},
      {"bench", "[--repeat N]",
       "Seeded scenarios of all decisions, folded into one number",
       "Prints one number a package and \"Bench: N\" for all. The number "
       "changes only\nwhen a decision does. Times go to the error output.\n"
       "  --repeat N   run N times and compare, 1 to 1000\n\n"
       "Exit codes: 0; 1 two repeats differ; 2 settings.\n",
       BenchCommand},
  });
  return table;
}

}  // namespace peridotarch
