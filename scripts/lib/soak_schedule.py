"""Faults of a soak, drawn from a seed: signals, links, store, instances and
versions. The kinds are the methods of soak_faults.Faults."""

from dataclasses import dataclass

from fault_schedule import QUIET_START_S, Schedule, Step

LINKS = ("front", "peer", "store", "instance")
LINK_FAULTS = (
    ("is slow", {"delay_s": 0.15}), ("is very slow", {"delay_s": 0.6}),
    ("is reset", {"reset": True}), ("is cut inwards", {"cut": "in"}),
    ("is cut outwards", {"cut": "out"}), ("goes silent", {"silence": True}),
    ("is cut", {"cut": "both"}))
STORE_FAULTS = (
    ("store answers nothing", {"how": "silent"}),
    ("store answers 503", {"how": "error"}),
    ("store is slow", {"how": "slow"}),
    ("store loses answers", {"how": "loses"}),
    ("store turns nodes away with 503", {"how": "error", "some": True}),
    ("store turns nodes away with 429", {"how": "limit", "some": True}),
    ("store closes nodes' connections", {"how": "close", "some": True}),
    ("store does not answer some nodes", {"how": "silent", "some": True}),
    ("store forgets its history", {"how": "forgets"}))
LEAVINGS = ("drains", "is removed", "only says that it leaves")
INSTANCE_FAULTS = ("asks for rest", "hangs", "answers errors")
LEAVING_S = 6.0
RESTART_S = 1.5
STOP_S = 7.5  # grace_s and a little longer
MOST_NODES_ILL = 0.5  # of the nodes, at a time
MOST_INSTANCES_ILL = 0.4  # of a service


@dataclass(frozen=True)
class Service:
    name: str
    instances: int


@dataclass(frozen=True)
class Platform:
    """What the schedule must know of the deployment."""

    nodes: int
    services: tuple
    name: str = "platform"


class SoakSchedule(Schedule):
    """Draws the steps of one soak. They may overlap; one node or instance has
    one fault at a time."""

    def _draw(self, every_s):
        self.spans = []  # (target, start, end) of what is drawn
        self._series(every_s)
        self._fill(3.0 * every_s, self._stop)
        self._fill(2.0 * every_s, self._leave)
        self._fill(4.0 * every_s, self._pause)
        self._fill(4.0 * every_s, self._kill)
        self._fill(4.0 * every_s, self._reload)
        self._fill(6.0 * every_s, self._store)
        self._fill(2.0 * every_s, self._instance)
        self._fill(3.0 * every_s, self._restart)
        self._fill(1.2 * every_s, self._write)
        self._fill(0.5 * every_s, self._link)

    def _series(self, every_s):
        """Stops some nodes one after the other, and writes versions shortly
        one after the other."""
        at = QUIET_START_S + self.random.uniform(0, 4 * every_s)
        for number in range(max(2, self.user.nodes // 3)):
            self._stop(at + 2 * number)
        at = QUIET_START_S + self.random.uniform(0, self.end / 2)
        for number in range(5):
            self._write(at + 0.15 * number)

    def _free(self, targets, most, at, until):
        """Returns a target without a fault in that time, or None when as many
        as `most` have one."""
        ill = {one for one, start, end in self.spans
               if one in targets and start <= until and end >= at}
        if len(ill) >= most:
            return None
        chosen = self.random.choice([one for one in targets
                                     if one not in ill])
        self.spans.append((chosen, at, until + 1))
        return chosen

    def _free_node(self, at, until):
        nodes = [("node", number) for number in range(self.user.nodes)]
        chosen = self._free(nodes, MOST_NODES_ILL * len(nodes), at, until)
        return None if chosen is None else chosen[1]

    def _free_instance(self, at, until):
        service = self.random.choice(self.user.services)
        return self._free([(service.name, number)
                           for number in range(service.instances)],
                          MOST_INSTANCES_ILL * service.instances, at, until)

    def _node_step(self, kind, name, at, until):
        number = self._free_node(at, until)
        if number is not None:
            self.steps.append(Step(at, kind, name, until, instance=number))

    def _stop(self, at):
        """The node may use its whole grace period before it is started."""
        if at + STOP_S < self.end:
            self._node_step("stop", "node is stopped (SIGTERM)", at,
                            at + STOP_S)

    def _kill(self, at):
        self._node_step("kill", "node is killed", at,
                        self._length(0.3, RESTART_S, at))

    def _pause(self, at):
        self._node_step("pause", "node is paused (SIGSTOP)", at,
                        self._length(0.3, 4, at))

    def _reload(self, at):
        self._node_step("reload", "node is told to reload (SIGHUP)", at, at)

    def _write(self, at):
        self.steps.append(Step(at, "write", "operator writes a version", at))

    def _store(self, at):
        name, fault = self.random.choice(STORE_FAULTS)
        until = self._length(0.5, 3, at)
        if self._free(["store"], 1, at, until) is None:
            return
        if fault.get("some"):
            fault = {**fault, "nodes": sorted(self.random.sample(
                range(self.user.nodes), max(1, self.user.nodes // 3)))}
        self.steps.append(Step(at, "store", name, until, fault=fault))

    def _link(self, at):
        link = self.random.choice(LINKS)
        name, fault = self.random.choice(LINK_FAULTS)
        until = self._length(0.5, 4, at)
        if link == "instance":
            chosen = self._free_instance(at, until)
            if chosen is not None:
                self.steps.append(Step(at, "link", f"instance link {name}",
                                       until, *chosen, fault))
            return
        number = self._free_node(at, until)
        if number is not None:
            self.steps.append(Step(at, "link", f"{link} link {name}", until,
                                   link, number, fault))

    def _instance(self, at):
        until = self._length(1, 4, at)
        chosen = self._free_instance(at, until)
        if chosen is not None:
            name = self.random.choice(INSTANCE_FAULTS)
            self.steps.append(Step(at, "instance", f"instance {name}", until,
                                   *chosen, {"how": name}))

    def _leave(self, at):
        until = at + LEAVING_S
        chosen = self._free_instance(at, until)
        if chosen is not None and until < self.end:
            name = self.random.choice(LEAVINGS)
            self.steps.append(Step(at, "leave", f"instance {name}", until,
                                   *chosen, {"how": name}))

    def _restart(self, at):
        until = self._length(0.2, RESTART_S, at)
        chosen = self._free_instance(at, until)
        if chosen is not None:
            same = self.random.random() < 0.5
            self.steps.append(Step(
                at, "restart", "instance restarts " +
                ("under its id" if same else "under a new id"), until,
                *chosen, {"same_id": same}))
