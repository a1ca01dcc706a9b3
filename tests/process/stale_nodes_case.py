"""A deployment of three zones gets a large configuration, storms of versions
and single ones, while instances leave and join beside them.

Claim: CONFIG, DENIED and DRAIN hold at every node: each version and each
leaving is in force within the bounds after its acknowledgement.
Excuse: none; all processes, links and the store are without impairment.

NODES, ROUTES and INSTANCES set the size, STORMS the storms ("PERIODxSECONDS",
separated by commas, or none) and SINGLES the versions after them. SMALL=1 is
the control: one route and a single version. QUIET=1 keeps the instances as they
are. CORES limits each node to a share of a core (allotment.py).
"""

import asyncio
import os
import pathlib
import random
import subprocess
import sys
import time

import standin
from staleness import Change, Report

ALLOTMENT = pathlib.Path(__file__).resolve().parent / "allotment.py"
SMALL = bool(os.environ.get("SMALL"))
NODES = int(os.environ.get("NODES", "123"))
ROUTES = int(os.environ.get("ROUTES", "1" if SMALL else "1500"))
DESKS, ANNEXES = map(int, os.environ.get("INSTANCES", "192,45").split(","))
STORMS = os.environ.get("STORMS", "" if SMALL else "0.06x1.5,0.33x4")
SINGLES = int(os.environ.get("SINGLES", "1" if SMALL else "3"))
LEAVING = 0 if os.environ.get("QUIET") else 12  # at a time
CORES = float(os.environ.get("CORES", "0"))
ZONES = ["za", "zb", "zc"]
SERVICES = ["desk", "annex"]
BOUND_S = 2.5  # config_apply_s and drain_s
SETTLE_S = 6.0  # after each disruption
STARTS_WITHIN_S = 60
WORK_S = 0.02
PAUSE_S = 0.35  # of a prober
HEARTBEAT_S = 1.5
HEARTBEAT_PARTS = 15
LEAVES_AFTER_S = 4.0  # of its drain report: drain_s and a little longer


class Operator:
    """Writes versions. Each one adds a route and moves another one."""

    def __init__(self, fleet, report):
        self.fleet, self.report = fleet, report
        self.routes = [standin.route("steady", "safe", "desk")]
        self.written = 0

    def add_base(self):
        self.routes += [standin.route(f"base{number}", "safe", "desk")
                        for number in range(ROUTES)]

    async def write(self):
        await self.fleet.put_config(self.routes, SERVICES)

    async def write_next(self):
        self.written += 1
        added, moved = f"added{self.written}", None
        self.routes.append(standin.route(added, "safe", "desk"))
        if self.written < ROUTES:
            moved = self.routes[self.written]
            moved["service"] = "annex"
        await self.write()
        self.report.versions.append(Change(
            self.fleet.version, added, self.fleet.store.acknowledged,
            moved and moved["name"]))

    async def storm(self, period_s, seconds):
        start = time.monotonic()
        for number in range(round(seconds / period_s)):
            await asyncio.sleep(start + number * period_s - time.monotonic())
            await self.write_next()


class Servers:
    """The instances, their heartbeats, and their leaving and joining."""

    def __init__(self, fleet, report):
        self.fleet, self.report = fleet, report
        self.alive = {}

    async def add(self, count, service):
        added = []
        for _ in range(count):
            number = len(self.fleet.instances)
            instance = standin.Instance(
                self.fleet, f"i-{number:04}", service, ZONES[number % 3],
                lambda headers, path: (WORK_S, 200, b"done"), slots=8,
                queue=64)
            await instance.start()
            self.fleet.instances.append(instance)
            added.append(instance)
        await self.announce(added)
        self.alive.update((one.name, one) for one in added)

    async def announce(self, instances):
        return await self.fleet.store.append(
            "keyed.servers", [(one.name, one.entry("ready"))
                              for one in instances])

    async def beat(self):
        part = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S / HEARTBEAT_PARTS)
            part = (part + 1) % HEARTBEAT_PARTS
            await self.announce([one for one in self.alive.values()
                                 if int(one.name[2:]) % HEARTBEAT_PARTS
                                 == part])

    async def leave(self, instance):
        del self.alive[instance.name]
        offset = await instance.announce("draining")
        self.report.leavings.append(Change(offset, instance.name,
                                           self.fleet.store.acknowledged))
        await asyncio.sleep(LEAVES_AFTER_S)
        await instance.withdraw()
        await asyncio.sleep(1)
        instance.close()

    async def replace(self, count):
        if not count:
            return
        leaving = random.sample([one for one in self.alive.values()
                                 if one.service == "desk"], count)
        await self.add(count, "desk")
        await asyncio.gather(*(self.leave(one) for one in leaving))


async def probe(fleet, proxy, report):
    """Sends requests on new, moved and old routes to one node."""
    consumer = standin.Consumer(fleet, proxy)
    while True:
        await asyncio.sleep(random.uniform(0.5, 1.5) * PAUSE_S)
        newest = report.versions[-4:]
        draw = random.random()
        change = random.choice(newest) if newest and draw < 0.7 else None
        name = "steady"
        if change:
            name = (change.moved if change.moved and draw < 0.25
                    else change.name)
        result = await consumer.call("GET", f"/{name}/{random.random()}")
        if result is not None:
            report.probes.append((proxy.number, change, name, consumer.sent,
                                  consumer.request, result))


def limit(fleet):
    if not CORES:
        return []
    return [subprocess.Popen([sys.executable, str(ALLOTMENT),
                              str(proxy.process.pid), str(CORES)],
                             stdout=subprocess.DEVNULL)
            for proxy in fleet.proxies]


async def play(operator, servers):
    if not SMALL:
        operator.add_base()
        await operator.write_next()
        await asyncio.sleep(SETTLE_S)
    for storm in filter(None, STORMS.split(",")):
        period_s, seconds = map(float, storm.split("x"))
        await asyncio.gather(operator.storm(period_s, seconds),
                             servers.replace(LEAVING))
        await asyncio.sleep(SETTLE_S)
    for _ in range(SINGLES):
        await operator.write_next()
        await servers.replace(LEAVING and 1)
        await asyncio.sleep(1)
    await asyncio.sleep(SETTLE_S)


async def print_answers(fleet, versions):
    """Prints what one reader alone gets that is some versions behind."""
    for missed in (1, 5, 25):
        if missed > versions:
            return
        size, seconds = await asyncio.wait_for(
            fleet.proxies[0].read_records("keyed.op", versions + 1 - missed),
            10)
        print(f"answer with {missed} versions: {size / 1000:.0f} kB "
              f"in {seconds:.3f} s")


async def case(make):
    fleet = make([ZONES[number % 3] for number in range(NODES)])
    fleet.bounds = fleet.bounds | {"config_apply_s": BOUND_S,
                                   "drain_s": BOUND_S}
    fleet.store = standin.RemoteStore()
    await fleet.store.start()
    report = Report(fleet, BOUND_S)
    operator, servers = Operator(fleet, report), Servers(fleet, report)
    await servers.add(DESKS, "desk")
    await servers.add(ANNEXES, "annex")
    await operator.write()
    tasks = [asyncio.ensure_future(servers.beat())]
    started = time.monotonic()
    await fleet.start(STARTS_WITHIN_S)
    await asyncio.sleep(2)
    print(f"{NODES} nodes ready after {time.monotonic() - started:.1f} s")
    limiters = limit(fleet)
    tasks.append(asyncio.ensure_future(report.watch_delays()))
    tasks += [asyncio.ensure_future(probe(fleet, proxy, report))
              for proxy in fleet.proxies]
    try:
        await play(operator, servers)
    finally:
        for limiter in limiters:
            limiter.terminate()
    for task in tasks:
        if task.done():
            await task  # a failed task makes the case void
        task.cancel()
    for proxy in fleet.proxies:
        if proxy.process.poll() is not None:
            print(f"edge-{proxy.number} ended with {proxy.process.returncode}")
    await print_answers(fleet, len(report.versions))
    return await report.verdict()


standin.main(__file__, case, 200)
