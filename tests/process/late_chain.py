"""The times between a change and a request that came too late for it."""

import math
import os
import time

from delays import longest

# What a node logs of its reads, beside the changes themselves.
READS = ["peer_read_failed", "store_lost", "store_reached", "nodes_changed",
         "records_served_slowly", "task_failed"]

LOG_STEP_MS = 1  # of the times in a log


class Followed:
    """A topic, and how a node logs that a change is in force."""

    def __init__(self, topic, event, field, offset_before):
        self.topic, self.event, self.field = topic, event, field
        self.offset_before = offset_before  # the log has the one that follows

    def has(self, line, change):
        return (line.get("event") == self.event and
                line[self.field] - self.offset_before >= change.number)


INSTANCES = Followed("keyed.servers", "instances_changed", "offset", 1)
CONFIG = Followed("keyed.op", "config_in_force", "version", 0)


class LateChains:
    """Describes late requests, with all times in seconds after the store's
    acknowledgement of the change."""

    def __init__(self, report, logs, standin):
        self.report, self.logs, self.standin = report, logs, standin
        self.probes = {one[4]: one for one in report.probes}
        self.leavings = {one.name: one for one in report.leavings}
        self.kept_from_running = 0  # late requests
        self.to_wall = time.time() - time.monotonic()

    def print(self, text):
        self.report.fleet.record(text)
        print(text)

    def of_arrival(self, arrived, name, request, read):
        """A request that reached an instance after its leaving (DRAIN)."""
        change = self.leavings[name]
        text = (f"late: {request} at {name}, offset {change.number}, reached "
                f"it at {arrived - change.at:.3f}, read there at "
                f"{read - change.at:.3f}")
        if request not in self.probes:
            return text + "; by an unknown node"
        return "; ".join([text] + self.chain(
            self.probes[request], change, INSTANCES, arrived + self.to_wall))

    def of_request(self, *probe):
        """A request that was handled by an older version (CONFIG)."""
        change = probe[1]
        return "; ".join([f"late: {probe[4]} for version {change.number}"]
                         + self.chain(probe, change, CONFIG,
                                      probe[3] + self.to_wall))

    def chain(self, probe, change, followed, end):
        number, _, route, sent, _, result = probe
        proxy = self.report.fleet.proxies[number]
        start = change.at_ms / 1000
        ran, waited = self.report.use.of_process(proxy.process.pid, start, end)
        own, others = self.report.use.cores(start, end)
        late = end - start - self.report.bound_s
        if waited > late and others > os.cpu_count() / 2:
            self.kept_from_running += 1
        return [
            f"by edge-{number} ({proxy.zone}) on {route}: {result}, sent at "
            f"{sent - change.at:.3f}",
            f"the store's answers with it {self.answers(change, followed)}",
            f"first node {self.first(change, followed, None)}",
            f"first of the zone {self.first(change, followed, proxy.zone)}",
            f"this node {self.in_force(number, change, followed)}",
            *self.lines(number, start, end),
            "delay of the stand-ins "
            f"{longest(self.report.delays.seen, start, end):.3f}, of the store "
            f"{longest(self.standin['delays'], start, end):.3f}",
            f"this node ran {ran:.3f} and waited {waited:.3f} for a processor",
            f"the case used {own:.1f} and other programs {others:.1f} of "
            f"{os.cpu_count()} processors"]

    def sent_in_spite(self, arrivals):
        """Returns by how many ms requests reached an instance after the node
        that sent them had its leaving in force."""
        late = [self.known_for_ms(*one) for one in arrivals]
        return sorted(ms for ms in late if ms > LOG_STEP_MS)

    def known_for_ms(self, arrived, name, request, _):
        """For how long the sender had the leaving in force, if positive."""
        change = self.leavings.get(name)
        if not change or request not in self.probes:
            return -math.inf
        number = self.probes[request][0]
        known_ms = next((line["at_ms"] for line in self.logs[number]
                         if INSTANCES.has(line, change)), math.inf)
        return (arrived + self.to_wall) * 1000 - known_ms

    def answers(self, change, followed):
        """The store's first answers with the record."""
        start = change.at_ms / 1000
        found = sorted((answered - start, asked - start)
                       for topic, first, asked, answered, end
                       in self.standin["reads"]
                       if topic == followed.topic and answered >= start)
        return [f"{answered:.3f} (asked {asked:.3f})"
                for answered, asked in found[:3]]

    def in_force(self, number, change, followed):
        for line in self.logs[number]:
            if followed.has(line, change):
                return (f"{(line['at_ms'] - change.at_ms) / 1000:.3f} "
                        f"from {line['source']}, behind "
                        f"{line['behind_ms']} ms")
        return "never"

    def first(self, change, followed, zone):
        """The node of a zone, or of all, that had the change first."""
        found = min(((line["at_ms"], number)
                     for number, lines in enumerate(self.logs)
                     if zone in (None, self.report.fleet.proxies[number].zone)
                     for line in lines if followed.has(line, change)),
                    default=None)
        if found is None:
            return "none"
        return (f"edge-{found[1]} at "
                f"{self.in_force(found[1], change, followed)}")

    def lines(self, number, start, end):
        for line in self.logs[number]:
            at = line.get("at_ms", 0) / 1000
            if line.get("event") in READS and start <= at <= end:
                rest = {key: value for key, value in line.items()
                        if key not in ("at_ms", "event", "node")}
                yield f"{line['event']} at {at - start:.3f} {rest}"
