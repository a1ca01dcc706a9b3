"""Three machines, instances with notices and their consumers, and the
disruptions of a machine in between."""

import asyncio
import random
import signal
import time

import standin
from delays import LoopDelays, worst
from notices import NoticeInstance

MACHINES = 3
CONSUMERS = 8  # of each machine
REQUESTS_PER_S = 60  # of each machine


def choose():
    draw = random.random()
    if draw < 0.3:
        return "HEAD", "/status/1"
    if draw < 0.7:
        return "GET", "/status/1"
    return "POST", "/booking/2", b"b" * 300


class World:
    """Begins with `add` and `start`, ends with `finish`."""

    def __init__(self, make, machines=MACHINES, requests_per_s=REQUESTS_PER_S):
        self.fleet = make(["za"] * machines)
        self.requests_per_s = requests_per_s
        self.starts = []  # of all instances
        self.own_delay = LoopDelays()
        self.tasks = []
        self.ends_at = 0.0

    async def open(self):
        await self.fleet.store.start()

    async def add(self, name, service="desk", at=None):
        """Starts an instance, at the address of another one that has ended."""
        instance = NoticeInstance(self.fleet, name, service)
        port = int(at.address.split(":")[1]) if at else 0
        await instance.start(port=port)
        await instance.announce()
        self.fleet.instances.append(instance)
        self.starts.append(instance)
        self.fleet.record(f"instance {name} starts at {instance.address}")
        return instance

    async def add_all(self, names):
        return [await self.add(name) for name in names]

    async def replace(self, old, name):
        """Ends an instance; another start, or another id, has its address."""
        old.close()
        self.fleet.instances.remove(old)
        if name != old.name:
            await old.withdraw()
        return await self.add(name, old.service, old)

    async def start(self, limit_s=10):
        await self.fleet.put_config(
            [standin.route("status", "safe", "desk"),
             standin.route("booking", "unsafe", "desk"),
             standin.route("annex", "safe", "annex", timeout_s=20)],
            ["desk", "annex"])
        await self.fleet.start(limit_s)
        self.tasks = [asyncio.ensure_future(self.fleet.heartbeats()),
                      asyncio.ensure_future(self.own_delay.watch())]
        for proxy in self.fleet.proxies:
            for _ in range(CONSUMERS):
                consumer = standin.Consumer(
                    self.fleet, proxy, lambda: random.expovariate(
                        self.requests_per_s / CONSUMERS))
                self.tasks.append(asyncio.ensure_future(
                    consumer.run(choose, float("inf"))))

    async def set_store(self, reachable):
        store = self.fleet.store
        async with store.changed:
            store.down = not reachable
            store.changed.notify_all()
        self.fleet.record(f"store reachable: {reachable}")

    def signal(self, machines, which):
        for proxy in machines:
            proxy.signal(which)
            self.fleet.record(f"{which.name} to edge-{proxy.number}")

    async def cut(self, seconds):
        """The first machine hears neither the store nor its peers."""
        peers = self.fleet.proxies[1:]
        await self.set_store(False)
        self.signal(peers, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(peers, signal.SIGCONT)
        await self.set_store(True)

    async def freeze(self, seconds):
        self.signal(self.fleet.proxies, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(self.fleet.proxies, signal.SIGCONT)

    def finish(self):
        for task in self.tasks:
            if task.done():
                task.result()  # a failed task makes the case void
            task.cancel()
        for proxy in self.fleet.proxies:
            code = proxy.process.poll()
            if code is not None:
                raise standin.CannotRun(
                    f"edge-{proxy.number} ended with {code}")
        self.say(f"the stand-ins' longest delay "
                 f"{worst(self.own_delay.seen):.2f} s; probes: "
                 f"{sum(one.probes for one in self.starts)}")

    def say(self, text):
        self.fleet.record(text)
        print(text, flush=True)


class Refusals:
    """Callers of a service without an instance that takes requests.

    They wait as they are told. `service` returns the instances, and
    `returns_at(machine)` when the first one takes requests of the machine
    again, or None if that is not known yet.
    """

    at_once_s = 0.25

    def __init__(self, world, returns_at, deadline_ms):
        self.world, self.returns_at = world, returns_at
        self.deadline_ms = deadline_ms
        self.asked = 0
        self.wrong = []
        self.waits = []
        self.served_on_return = []

    async def call(self, proxy, until):
        consumer = standin.Consumer(self.world.fleet, proxy,
                                    deadline_ms=self.deadline_ms)
        was_told = False
        while time.monotonic() < until:
            first_return = self.returns_at(proxy.number)
            sent = time.monotonic()
            result = await consumer.call("GET", "/annex/1")
            if first_return is not None and sent < first_return:
                wait = self.judge(consumer, result, sent, first_return)
                was_told = True
                await asyncio.sleep(wait)
                continue
            if was_told and first_return is not None:
                self.served_on_return.append(result == 200)
            was_told = False
            await asyncio.sleep(random.uniform(0.05, 0.15))

    def judge(self, consumer, result, sent, first_return):
        now = time.monotonic()
        headers = consumer.got[0] if consumer.got else {}
        wait = float(headers.get("retry-after", "0"))
        longest = (self.deadline_ms / 1000 - (now - sent)) / 3
        self.asked += 1
        self.waits.append(wait)
        is_leaving = first_return == float("inf")
        is_early = not is_leaving and now + wait < first_return
        is_possible = is_leaving or first_return - sent < longest
        faults = [text for text, is_fault in [
            (f"answered {result}", result != 503),
            (f"after {now - sent:.3f} s", now - sent > self.at_once_s),
            (f"Retry-After {wait} is missing", wait <= 0),
            (f"Retry-After {wait} ends before the first return", is_early),
            (f"Retry-After {wait} is over a third of the time left",
             is_possible and wait > longest)] if is_fault]
        if faults:
            self.wrong.append((consumer.request, faults))
            self.world.fleet.record(f"refusal of {consumer.request} by "
                                    f"edge-{consumer.proxy.number}: {faults}")
        return wait or 0.1

    def start(self, callers, until):
        return [asyncio.ensure_future(self.call(proxy, until))
                for proxy in self.world.fleet.proxies for _ in range(callers)]

    def judge_all(self, what):
        """Returns whether a refusal was wrong."""
        waits = sorted(self.waits) or [0.0]
        served = self.served_on_return
        self.world.say(
            f"{what}: {self.asked} calls, wrong {len(self.wrong)}"
            f"{' ' + str(self.wrong[:3]) if self.wrong else ''}; Retry-After "
            f"{waits[0]:.2f} to {waits[-1]:.2f} s; served on return "
            f"{sum(served)} of {len(served)}")
        if not self.asked:
            raise standin.CannotRun(f"{what}: no call to judge")
        return bool(self.wrong)
