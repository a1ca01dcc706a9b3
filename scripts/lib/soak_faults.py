"""Applies the steps of a soak's schedule, and notes what it impaired when."""

import asyncio
import signal
import time

from soak_fleet import now_ms

SERVES_ON_S = 2.0  # beyond drain_s
GRACE_MARGIN_S = 1.0
DOWN_S = 0.4  # between the end of a stopped process and its start


class Impairments:
    """Spans in which something was impaired, as (target, kind, start, end).

    A target is "core", ("node", number) or an instance's place. Times are
    milliseconds; an open span has no end yet."""

    def __init__(self):
        self.spans = []

    def begin(self, target, kind):
        span = [target, kind, now_ms(), None]
        self.spans.append(span)
        return span

    @staticmethod
    def end(span):
        span[3] = now_ms()

    def overlapping(self, target, start, end):
        """Returns the kinds of impairment of the target in that time."""
        return {kind for one, kind, begin, finish in self.spans
                if one == target and begin <= end and
                (finish is None or finish >= start)}

    def last_end(self):
        return max((finish or 0 for *_, finish in self.spans), default=0)


class Faults:
    """One method for each kind of step."""

    def __init__(self, fleet, schedule):
        self.fleet, self.schedule = fleet, schedule
        self.impairments = Impairments()
        self.applied, self.failures = [], []
        self.crashes = []  # processes that did not end well when stopped
        self.stops = []  # (node, kind, time) of planned work
        self.leavings = []  # of the store: name, boot, acked, stable
        self.ended = []  # (instance, boot, time)

    async def run(self):
        self.begin_at = time.monotonic()
        await asyncio.gather(*(self._apply(step)
                               for step in self.schedule.steps))

    async def _until(self, at):
        await asyncio.sleep(max(0.0, self.begin_at + at - time.monotonic()))

    async def _apply(self, step):
        await self._until(step.at)
        self.fleet.record(f"fault begins: {step}")
        try:
            await getattr(self, f"_{step.kind}")(step)
            self.applied.append(step)
        except Exception as failure:  # A broken harness must be seen.
            self.failures.append(f"{step}: {type(failure).__name__} {failure}")
        self.fleet.record(f"fault has ended: {step}")

    async def _stop(self, step):
        node = self.fleet.proxies[step.instance]
        span = self.impairments.begin(("node", step.instance), "stop")
        self.stops.append((step.instance, "stop", now_ms()))
        node.is_expected_to_end = True
        node.signal(signal.SIGKILL if self.fleet.broken == "planned-stop"
                    else signal.SIGTERM)
        grace_s = self.fleet.bounds["grace_s"] + GRACE_MARGIN_S
        until = time.monotonic() + grace_s
        while node.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if node.process.poll() is None:
            self.fleet.record(f"edge-{node.number} outlives its grace period")
            node.kill()
        elif node.process.returncode != 0 and not self.fleet.broken:
            self.crashes.append(f"edge-{node.number} ended with "
                                f"{node.process.returncode} after SIGTERM")
        await asyncio.sleep(DOWN_S)
        node.start(first_start=False)
        self.impairments.end(span)

    async def _kill(self, step):
        node = self.fleet.proxies[step.instance]
        span = self.impairments.begin(("node", step.instance), "kill")
        node.is_expected_to_end = True
        node.kill()
        await self._until(step.until)
        node.start(first_start=False)
        self.impairments.end(span)

    async def _pause(self, step):
        node = self.fleet.proxies[step.instance]
        span = self.impairments.begin(("node", step.instance), "pause")
        node.signal(signal.SIGSTOP)
        await self._until(step.until)
        node.signal(signal.SIGCONT)
        self.impairments.end(span)

    async def _reload(self, step):
        self.stops.append((step.instance, "reload", now_ms()))
        self.fleet.proxies[step.instance].signal(signal.SIGHUP)

    async def _write(self, _step):
        await self.fleet.operator.write_next()

    async def _store(self, step):
        kind = "refuses some" if step.fault.get("some") else "store"
        span = (None if step.fault["how"] == "forgets"
                else self.impairments.begin("core", kind))
        self.fleet.store.impair(**step.fault)
        await self._until(step.until)
        self.fleet.store.heal()
        if span:
            self.impairments.end(span)

    async def _link(self, step):
        if step.service in self.fleet.proxies[0].links:
            target = ("node", step.instance)
            link = self.fleet.proxies[step.instance].links[step.service]
        else:
            target = (step.service, step.instance)
            link = self.fleet.place[target].link
        span = self.impairments.begin(target, "link")
        link.impair(**step.fault)
        await self._until(step.until)
        if self.fleet.broken != "recovery":
            link.heal()
        self.impairments.end(span)

    def _instance_of(self, step):
        place = (step.service, step.instance)
        return place, self.fleet.place[place]

    async def _instance(self, step):
        place, instance = self._instance_of(step)
        span = self.impairments.begin(place, step.fault["how"])
        instance.how = step.fault["how"]
        if instance.how == "asks for rest":
            instance.rest_s = min(2.0, step.until - step.at)
        await self._until(step.until)
        instance.how, instance.rest_s = "", 0.0
        self.impairments.end(span)

    async def _restart(self, step):
        place, instance = self._instance_of(step)
        span = self.impairments.begin(place, "restart")
        self._end_instance(instance)
        await self._until(step.until)
        name = instance.name if step.fault["same_id"] else None
        if name is None:
            await instance.withdraw()
        await self.fleet.add_instance(*place, instance.link, name)
        self.impairments.end(span)

    def _end_instance(self, instance):
        instance.beats = False
        self.ended.append((instance.name, instance.boot, now_ms()))
        instance.close()

    async def _leave(self, step):
        """The store is told, or only the answers say it."""
        place, instance = self._instance_of(step)
        span = self.impairments.begin(place, "leave")
        how = step.fault["how"]
        if self.fleet.broken != "leaving":
            instance.notices = [("Server-Leaving", "1")]
        if how == "drains":
            instance.state = "draining"
            await instance.announce("draining")
        elif how == "is removed":
            instance.beats = False
            await instance.withdraw()
        if how != "only says that it leaves":
            self.leavings.append({"instance": instance.name,
                                  "incarnation": instance.boot,
                                  "acked": now_ms()})
        serves_s = self.fleet.bounds["drain_s"] + SERVES_ON_S
        await asyncio.sleep(serves_s)
        instance.beats = False
        await instance.withdraw()
        self._end_instance(instance)
        await self._until(step.until)
        await self.fleet.add_instance(*place, instance.link)
        self.impairments.end(span)
