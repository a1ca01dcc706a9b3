"""The instances of one service are replaced while consumers send requests, and
requests that reach a leaving instance too late are counted (DRAIN)."""

import asyncio
import collections
import random
import time

import standin

PROXIES = 4
INSTANCES = 6
CONSUMERS = 16
WORK_S = 0.05
DRAIN_S = 2.0  # of the rule
LEAVES_AFTER_S = 4.0  # of its drain report: drain_s and a little longer
SECONDS = 25


def choose():
    if random.random() < 0.3:
        return "GET", "/status/1"
    return "POST", "/booking/2", b"b" * 300


class Replacement:
    """Begins with `start`; then the case calls `join` and `leave`, and ends
    with `finish`."""

    def __init__(self, make, zones=("za",) * PROXIES):
        self.fleet = make(list(zones))
        self.drained = {}  # name of an instance: when its drain was acknowledged

    async def _add(self, number):
        instance = standin.Instance(
            self.fleet, f"i-{number}", "desk", "za",
            lambda headers, path: (WORK_S, 200, b"done"))
        await instance.start()
        await instance.announce()
        self.fleet.instances.append(instance)
        self.fleet.record(f"instance {instance.name} is ready")
        return instance

    async def start(self):
        fleet = self.fleet
        await fleet.store.start()
        self.old = [await self._add(number) for number in range(INSTANCES)]
        await fleet.put_config([standin.route("status", "safe", "desk"),
                                standin.route("booking", "unsafe", "desk")],
                               ["desk"])
        await fleet.start()
        self.beats = asyncio.ensure_future(fleet.heartbeats())
        until = time.monotonic() + SECONDS
        consumers = [
            standin.Consumer(fleet, fleet.proxies[i % len(fleet.proxies)],
                             lambda: random.expovariate(4))
            for i in range(CONSUMERS)]
        self.tasks = [asyncio.ensure_future(one.run(choose, until))
                      for one in consumers]

    async def join(self):
        """Starts the instances that replace the first ones."""
        for number in range(INSTANCES, 2 * INSTANCES):
            await self._add(number)

    async def _leave(self, instance):
        instance.state = "draining"
        await instance.announce("draining")
        self.drained[instance.name] = time.monotonic()
        self.fleet.record(f"draining of {instance.name} acknowledged")
        await asyncio.sleep(LEAVES_AFTER_S)
        instance.beats = False
        await instance.withdraw()
        instance.close()
        self.fleet.record(f"instance {instance.name} has left")

    async def leave(self):
        """The first instances drain, serve on and leave."""
        await asyncio.gather(*(self._leave(one) for one in self.old))

    async def finish(self):
        """Returns whether a request reached a leaving instance too late."""
        fleet = self.fleet
        gone_at = time.monotonic()
        await asyncio.gather(*self.tasks)
        self.beats.cancel()
        late = [(name, request) for at, name, request, _ in
                fleet.arrivals
                if name in self.drained and at > self.drained[name] + DRAIN_S]
        for name, request in late:
            fleet.record(f"too late at {name}: {request}")
        results = collections.defaultdict(collections.Counter)
        for _, result, sent, _, proxy, _ in fleet.answers:
            if sent > gone_at:
                results[proxy][result] += 1
        by_proxy = {proxy: dict(results[proxy]) for proxy in sorted(results)}
        text = (f"reached a leaving instance over {DRAIN_S} s after the "
                f"acknowledgement: {len(late)}; answers after the old "
                f"instances have left, by proxy: {by_proxy}")
        fleet.record(text)
        print(text)
        return bool(late)
