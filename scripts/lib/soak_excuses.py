"""What a soak has recorded, and the excuses that the platform's rules grant.
Times are milliseconds."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

BREAKS_OFF = {"link", "restart", "hangs"}
TIMEOUT_MS = 2000  # of all routes, below the consumers' deadline
AFTER_STOP_MS = 3000


@dataclass
class Seen:
    """What the stand-ins recorded in one run."""

    sends: list
    runs: list
    arrivals: list
    versions: list
    impairments: object
    bounds: dict
    margin: int
    stops: list = field(default_factory=list)
    leavings: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    starts: dict = field(default_factory=dict)  # node: times
    place_of: dict = field(default_factory=dict)
    ended_by_itself: list = field(default_factory=list)
    finished: int = 0


class Excuses:
    """Finds what was impaired around a request."""

    def __init__(self, seen):
        self.seen = seen
        self.send_of = {send["tag"]: send for send in seen.sends}
        self.runs_of, self.arrivals_of = defaultdict(list), defaultdict(list)
        self.arrivals_at = defaultdict(list)
        for run in seen.runs:
            self.runs_of[run["tag"]].append(run)
        for one in seen.arrivals:
            self.arrivals_of[one["tag"]].append(one)
            if not one["misdirected"]:
                self.arrivals_at[one["instance"],
                                 one["incarnation"]].append(one)
        self.judged = Counter()  # of each promise that has excuses
        self.contact = self.bound("contact_s")

    def bound(self, name):
        return int(self.seen.bounds[name] * 1000)

    def kinds(self, target, start, end):
        return self.seen.impairments.overlapping(target, start, end)

    def in_touch(self, node, start, end):
        start -= self.contact
        return not (self.kinds(("node", node), start, end) or
                    self.kinds("core", start, end))

    def held_up(self, name, at):
        """The link of an instance was cut or harmed shortly before."""
        place = self.seen.place_of.get(name)
        return "link" in self.kinds(place, at - self.contact, at)

    def _planned(self, send):
        """Returns the time of planned work around a request, or None."""
        for node, kind, at in self.seen.stops:
            if node != send["node"] or send["done"] < at:
                continue
            until = at + (self.bound("grace_s") + 1000 if kind == "stop"
                          else self.bound("config_apply_s"))
            if send["sent"] <= until:
                return at
        return None

    def _has_reason(self, send, planned_at):
        """The instance broke off, the time was up, or the grace period."""
        sent, done, margin = send["sent"], send["done"], self.seen.margin
        if done - sent >= TIMEOUT_MS - margin:
            return True
        names = {one["instance"] for one in self.arrivals_of[send["tag"]]}
        late = planned_at + self.bound("grace_s") * 5 // 6
        return (any(name in names and sent <= at <= done
                    for name, _, at in self.seen.ended) or
                any(BREAKS_OFF & self.kinds(self.seen.place_of.get(name),
                                            sent, done) for name in names) or
                (sent <= planned_at + AFTER_STOP_MS and
                 any(run["until"] >= late and done >= late
                     for run in self.runs_of[send["tag"]])))

    def _config_bound(self, node, sent, at):
        """Returns the bound for a machine that must keep it, else None."""
        bound = self.bound("config_apply_s")
        if self.kinds(("node", node), sent - self.contact, at):
            return None
        core = self.kinds("core", sent - self.contact, at)
        if not core:
            return bound
        bound += self.bound("max_skew_s")
        if "store" in self.kinds("core", sent - bound - self.contact, at):
            return None
        return bound
