"""How late the nodes of a deployment follow the records of the store."""

import asyncio
import collections
import json
import os
import resource
import time

import stamps
from delays import LoopDelays, ProcessorUse, worst
from late_chain import LateChains


class Change:
    """A record: a version, or the leaving of an instance.

    The store's acknowledgement was given at `given_s` of the wall clock."""

    def __init__(self, number, name, given_s, moved=None):
        self.number = number  # the version, or the offset of the record
        self.name = name  # of the route that was added, or the instance
        self.moved = moved  # the route that goes to another service
        self.at = stamps.monotonic(given_s)
        self.at_ms = given_s * 1000


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))]


class Report:
    """Gathers what the stand-ins saw and judges it by the rules."""

    def __init__(self, fleet, bound_s):
        self.fleet, self.bound_s = fleet, bound_s
        self.versions, self.leavings = [], []
        self.probes = []  # (node, change, route, sent at, request, result)
        self.delays = LoopDelays()
        self.use = None  # of the processors

    async def watch_delays(self):
        """A stand-in that is late itself would blame the nodes."""
        self.use = ProcessorUse(
            [os.getpid(), self.fleet.store.process.pid]
            + [proxy.process.pid for proxy in self.fleet.proxies])
        await asyncio.gather(self.delays.watch(), self.use.watch())

    async def verdict(self):
        ran_at = {request: name for _, name, request in self.fleet.runs}
        services = {one.name: one.service for one in self.fleet.instances}
        late = [one for one in self.probes
                if one[1] and one[3] > one[1].at + self.bound_s]
        refused = [one for one in late if one[5] == 404]
        old = [one for one in late if one[2] == one[1].moved
               and services.get(ran_at.get(one[4])) == "desk"]
        draining = self.late_arrivals()
        self.print_rule("CONFIG", len(refused) + len(old),
                        f"refused 404: {len(refused)}, run by the old "
                        f"service: {len(old)}, of {len(late)} requests at "
                        f"{len({one[0] for one in refused + old})} nodes")
        denied = [one for one in self.probes if one[5] in (400, 403, 404)
                  and (not one[1] or one in refused)]
        allowed = 5 + len(self.probes) / 500
        self.print_rule("DENIED", max(0, len(denied) - allowed),
                        f"{len(denied)} of {len(self.probes)}, "
                        f"allowed {allowed:.0f}")
        self.print_rule("DRAIN", len(draining),
                        f"{len(draining)} arrivals at "
                        f"{len({one[1] for one in draining})} of "
                        f"{len(self.leavings)} instances that leave")
        logs = [self.read_log(proxy) for proxy in self.fleet.proxies]
        self.print_logs(logs)
        standin = await self.fleet.store.call("GET /-/standin")
        self.print_late(LateChains(self, logs, standin), refused + old,
                        draining)
        self.print_own(standin)
        return bool(refused or old or draining or len(denied) > allowed)

    def print_late(self, chains, requests, arrivals):
        """The last line tells a busy machine from a fault of the nodes; the
        rules count these requests all the same."""
        for one in requests:
            chains.print(chains.of_request(*one))
        for one in arrivals:
            chains.print(chains.of_arrival(*one))
        in_spite = chains.sent_in_spite(self.fleet.arrivals)
        print(f"sent to an instance by a node that had its leaving in force: "
              f"{len(in_spite)}, up to {max(in_spite, default=0):.0f} ms later")
        if requests or arrivals:
            print(f"other programs kept {chains.kept_from_running} of the "
                  f"{len(requests) + len(arrivals)} late requests' nodes from "
                  "running for longer than they were late")

    def late_arrivals(self):
        left = {change.name: change.at for change in self.leavings}
        return [one for one in self.fleet.arrivals
                if one[1] in left and one[0] > left[one[1]] + self.bound_s]

    @staticmethod
    def print_rule(rule, broken, text):
        print(f"{rule} {'broken' if broken else 'held'}: {text}")

    def print_logs(self, logs):
        end_ms = time.time() * 1000
        self.print_lags("versions", self.versions, end_ms, [
            [(line["at_ms"], line["version"]) for line in lines
             if line.get("event") == "config_in_force"] for lines in logs])
        self.print_lags("leavings", self.leavings, end_ms, [
            [(line["at_ms"], line["offset"] - 1) for line in lines
             if line.get("event") == "instances_changed"] for lines in logs])
        failed = collections.defaultdict(collections.Counter)
        for lines in logs:
            for line in lines:
                if line.get("event") == "peer_read_failed":
                    failed[line["topic"]][line["peer"]] += 1
        for topic, peers in sorted(failed.items()):
            print(f"peer_read_failed {topic}: {peers.total()} at "
                  f"{len(peers)} peers, {dict(peers.most_common(12))}")
        if not failed:
            print("peer_read_failed: 0")

    def print_lags(self, what, changes, end_ms, steps_of_nodes):
        """For each node the first step that has a change counts."""
        behind, all_lags, first_lags, rows = set(), [], [], []
        for change in changes:
            lags = []
            for node, steps in enumerate(steps_of_nodes):
                at_ms = next((at for at, number in steps
                              if number >= change.number), end_ms)
                lags.append((at_ms - change.at_ms) / 1000)
                if lags[-1] > self.bound_s:
                    behind.add(node)
            all_lags += lags
            first_lags.append(min(lags))
            rows.append(f"{change.number} {min(lags):.2f} "
                        f"{quantile(lags, 0.5):.2f} {max(lags):.2f} "
                        f"{sum(lag > self.bound_s for lag in lags)}")
        if not changes:
            return
        print(f"{what}: {len(changes)}; nodes behind: {len(behind)} of "
              f"{len(steps_of_nodes)}; s until in force: median "
              f"{quantile(all_lags, 0.5):.2f}, 0.99 "
              f"{quantile(all_lags, 0.99):.2f}, longest {max(all_lags):.2f}; "
              f"at the first node: longest {max(first_lags):.2f}")
        for row in rows:  # number, first, median and last node, nodes behind
            self.fleet.record(f"{what}: {row}")

    @staticmethod
    def read_log(proxy):
        lines = []
        for line in proxy.log.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                try:
                    lines.append(json.loads(line))
                except json.JSONDecodeError:
                    pass  # the last line of a process that runs
        return lines

    def print_own(self, standin):
        for proxy in self.fleet.proxies:
            proxy.kill()
        used = resource.getrusage(resource.RUSAGE_CHILDREN)
        own, others = self.use.cores(0, time.time())
        results = collections.Counter(str(one[5]) for one in self.probes)
        print(f"answers: {dict(results)}; longest delay of the "
              f"stand-ins {worst(self.delays.seen):.2f} s, of the store "
              f"{worst(standin['delays']):.2f} s, of an append "
              f"{self.fleet.store.longest_s:.2f} s; processor time of the "
              f"nodes {used.ru_utime + used.ru_stime:.1f} s")
        print(f"processors used by the case {own:.1f}, by other programs "
              f"{others:.1f}, of {os.cpu_count()}")
