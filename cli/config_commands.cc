#include "cli/config_commands.h"

#include "cli/command.h"
#include "cli/config_check.h"
#include "cli/config_diff.h"
#include "cli/config_explain.h"
#include "cli/config_history.h"
#include "cli/config_publish.h"

namespace peridotarch {

std::vector<command> WithConfigCommands(const std::vector<command>& others) {
  std::vector<command> all = {
      {"check", "FILE", "Every error of a rules file",
       "Prints FILE:LINE:COLUMN, what was found, what is allowed and the "
       "nearest valid\nword. Needs no platform. With --json: one object.\n"
       "Exit codes: 0 no error; 1 errors; 2 settings.\n",
       CheckCommand},
      {"diff", "FILE", "What publishing a rules file would change",
       "Compares with the newest revision in the log.\n\n"
       "Needs --log and --fleet-key. With --json: one object.\n"
       "Exit codes: 0 no difference; 1 differences; 2 settings; 3 the log does "
       "not answer.\n",
       DiffCommand},
      {"publish", "FILE [--base N] [--on-conflict stop|rebase]",
       "Makes a rules file the next revision, in force on every proxy",
       "  --base N               the revision that the file was made from; or "
       "a first\n                         line '# base N', as history --show "
       "prints it. Not\n                         needed for the first "
       "revision.\n"
       "  --on-conflict rebase   carry the edits over to a newer revision when "
       "no line\n                         is touched by both\n\n"
       "Waits until the revision is in force on every live proxy and names "
       "those that\nare behind. Needs --log, --hosts and --fleet-key. With "
       "--json: one object.\n"
       "Exit codes: 0; 1 the file has errors; 2 settings, or no base named; "
       "3 the log does\nnot answer; 4 conflict; 5 unknown, run it again; "
       "6 not yet in force everywhere.\n",
       PublishCommand},
      {"rollback", "--to N", "Publishes the text of an older revision anew",
       "The text becomes a new revision with the next number. As publish "
       "else.\nExit codes: as publish; 1 the revision is not in the log.\n",
       RollbackCommand},
      {"history", "[--show N]", "The revisions that the log keeps",
       "One line for each record: offset, time, revision, what it did, "
       "author.\n"
       "  --show N   the text of revision N, with the line that names it as "
       "the base\n\nNeeds --log and --fleet-key. With --json: one object.\n"
       "Exit codes: 0; 1 the revision is not in the log; 2 settings; 3 the log "
       "does not answer.\n",
       HistoryCommand},
      {"explain", "METHOD PATH [--team NAME] [--file FILE]",
       "The rules that a request falls under",
       "Prints the route, its service, the team's limit and the instances with "
       "what is\nsaid of them by hand; each rule with its line.\n"
       "  --file FILE   use this file in place of the newest revision\n\n"
       "Needs --log and --fleet-key, or --file; --hosts for the instances. "
       "With --json:\none object. Exit codes: 0; 1 no route; 2 settings; 3 no "
       "answer.\n",
       ExplainCommand},
  };
  all.insert(all.end(), others.begin(), others.end());
  return all;
}

}  // namespace peridotarch
