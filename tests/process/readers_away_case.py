"""The store turns away a third of the machines, first those that read it for
the others, and serves the rest. Meanwhile a version moves a route, and an
instance begins to drain.

Claim: machines that the store serves follow both within config_apply_s and
drain_s (CONFIG, DRAIN). Guards against nodes that go on relying on a reader
after its reads have stopped.

HARMS names the ways in which the machines are turned away (store_path.Harm),
one round each; ZONES the zone of each node. AWAY=one turns away one reader,
AWAY=zone all that read in one zone, AWAY=share (the default) a third of the
machines. With TROUBLE=0 none is turned away. Printed as well is when the others
had the version in force, by their logs.
"""

import asyncio
import json
import os
import random
import time

import standin
from store_path import Harm, StorePath

APPLY_S = 2.0  # config_apply_s
DRAIN_S = 2.0  # drain_s
SHARE = 0.35
AWAY_S = 5.0
CALM_S = 5.0
ZONES = os.environ.get("ZONES", "za,za,za,zb,zb,zb,zc,zc,zc").split(",")
AWAY = os.environ.get("AWAY", "share")
HARMS = [Harm(name) for name in
         os.environ.get("HARMS", "silent,open,busy,late,reset").split(",")]


class Round:
    """One change of the configuration and one leaving, with machines away."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.before, self.after = f"old-{number}", f"new-{number}"
        self.leaving = None
        self.away = []

    async def start(self):
        """Starts two instances of each service; the route is at the old one."""
        for service in (self.before, self.after):
            for number in range(2):
                instance = standin.Instance(
                    self.fleet, f"i-{service}-{number}", service, "za",
                    lambda *_: (0.01, 200, b"tally"))
                await instance.start()
                await instance.announce()
                self.fleet.instances.append(instance)
        self.leaving = self.fleet.instances[-1]
        await self.route_to(self.before)

    async def route_to(self, service):
        await self.fleet.put_config(
            [standin.route("tally", "safe", service),
             standin.route("next", "safe", self.after)],
            [self.before, self.after])

    async def play(self, paths, harm):
        readers = sorted(range(len(paths)), key=lambda one: -paths[one].calls)
        if AWAY == "one":
            self.away = readers[:1]
        elif AWAY == "zone":
            self.away = [one for one in readers if paths[one].calls > 1
                         and ZONES[one] == ZONES[readers[0]]]
        else:
            self.away = readers[:int(SHARE * len(paths))]
        self.fleet.record(f"{harm.value}: machines {self.away}")
        for number in self.away:
            paths[number].set_harm(harm if standin.TROUBLE else Harm.NONE)
        await asyncio.sleep(random.uniform(0, 0.3))
        await self.route_to(self.after)
        self.moved = self.fleet.acknowledged
        self.moved_wall = time.time()
        self.version = self.fleet.version
        self.leaving.state = "draining"
        await self.leaving.announce("draining")
        self.drained = time.monotonic()
        await asyncio.sleep(AWAY_S)
        for number in self.away:
            paths[number].set_harm(Harm.NONE)

    def in_force(self):
        """Returns after how many seconds the other machines had the version in
        force, sorted."""
        times = []
        for proxy in self.fleet.proxies:
            if proxy.number in self.away:
                continue
            for line in proxy.log.read_text(errors="replace").splitlines():
                if '"config_in_force"' in line:
                    entry = json.loads(line)
                    if (entry["version"] == self.version
                            and entry["at_ms"] / 1000 > self.moved_wall - 1):
                        times.append(entry["at_ms"] / 1000 - self.moved_wall)
        return sorted(times) or [float("nan")]

    def late(self):
        """Returns how late the requests of the other machines were."""
        config, drain = [0.0], [0.0]
        for at, name, request in self.fleet.runs:
            number, sent = self.fleet.sent[request]
            if number in self.away:
                continue
            if self.before in name:
                config.append(sent - self.moved)
            if name == self.leaving.name:
                drain.append(at - self.drained)
        return max(config), max(drain)


async def case(make):
    fleet = make(ZONES)
    await fleet.store.start()
    paths = []
    for proxy in fleet.proxies:
        paths.append(StorePath(fleet.store))
        await paths[-1].start()
        proxy.store_port = paths[-1].port
    first = Round(fleet, 0)
    await first.start()
    await fleet.start()
    beats = asyncio.ensure_future(fleet.heartbeats())
    until = time.monotonic() + 100
    tasks = []
    for proxy in fleet.proxies:
        consumer = standin.Consumer(fleet, proxy, lambda: 0.05)
        tasks.append(asyncio.ensure_future(consumer.run(
            lambda: ("GET", random.choice(["/tally/1", "/next/1"])), until)))
    is_broken = False
    for number, harm in enumerate(HARMS):
        this = Round(fleet, number) if number else first
        if number:
            await this.start()
        await asyncio.sleep(CALM_S - 1)
        for path in paths:
            path.calls = 0
        began = time.monotonic()
        await asyncio.sleep(1.5)
        calls = sum(path.calls for path in paths) / (time.monotonic() - began)
        await this.play(paths, harm)
        config, drain = this.late()
        times = this.in_force()
        print(f"{harm.value}: {len(this.away)} machines away, last at the old "
              f"service {config:.2f} s, at the leaving instance {drain:.2f} s "
              f"after the acknowledgement; in force at {len(times)} others, "
              f"p50 {times[len(times) // 2]:.2f} p99 "
              f"{times[len(times) * 99 // 100]:.2f} most {times[-1]:.2f} s; "
              f"{calls:.1f} calls a second before")
        is_broken |= config > APPLY_S or drain > DRAIN_S
    for task in tasks:
        task.cancel()
    beats.cancel()
    return is_broken


standin.main(__file__, case)
