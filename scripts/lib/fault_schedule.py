"""Schedules of faults, drawn from a seed; the same seed gives the same."""

import random
from dataclasses import dataclass, field

QUIET_START_S = 4
QUIET_END_S = 10
LEAVING_S = 9

UPSTREAM_FAULTS = (
    ("fails", {"fail": 1.0, "health": "ok"}),
    ("half fails", {"fail": 0.5, "health": "ok"}),
    ("slow", {"slow": 25, "health": "ok"}),
    ("flaps", {"fail": 1.0, "flap_ms": 1500, "health": "ok"}),
    ("truncates", {"truncate": 1.0}),
    ("resets", {"reset": 1.0}),
    ("hangs", {"hang": 1.0}),
    ("health lies", {"health": "bad"}),
    ("load lies", {"load": "full"}),
    ("hears nothing", {"cut": "in"}),
    ("is not heard", {"cut": "out"}),
)
GRAY = ("fails", "half fails", "slow", "truncates", "resets", "hangs",
        "hears nothing", "is not heard")
FAULT_PATHS = {"box-ledger": "/boxes", "payout-desk": "/batches",
               "resident-desk": "/visits", "field-ops": "/parts"}
LOG_FAULTS = (
    ("log refuses", {"outage": "refuse"}, {"outage": "none"}),
    ("log hangs", {"outage": "hang"}, {"outage": "none"}),
    ("log answers 503", {"outage": "error"}, {"outage": "none"}),
    ("log is slow", {"delay_ms": 700}, {"delay_ms": 0}),
    ("log shows the past", {"behind": 3}, {"behind": 0}),
    ("log loses answers", {"lose_answers": 5}, {"lose_answers": 0}),
)
HOST_FAULTS = (
    ("host list is stale", {"stale": True}, {"stale": False}),
    ("host list flips back", {"flip_back": True}, {"flip_back": False}),
    ("host list is away", {"away": True}, {"away": False}),
    ("host list lags", {"lag_ms": 4000}, {"lag_ms": 500}),
)


@dataclass(order=True)
class Step:
    """One change at a time; `until` is when it is undone."""

    at: float
    kind: str
    name: str = field(compare=False, default="")
    until: float = field(compare=False, default=0.0)
    service: str = field(compare=False, default="")
    instance: int = field(compare=False, default=-1)
    fault: dict = field(compare=False, default_factory=dict)
    undo: dict = field(compare=False, default_factory=dict)

    def __str__(self):
        where = f" {self.service}-{self.instance}" if self.service else ""
        return f"{self.at:6.1f} to {self.until:6.1f} s  {self.name}{where}"


class Schedule:
    """Draws the steps of one user's site."""

    def __init__(self, seed, user, seconds, every_s):
        self.random = random.Random(f"{seed} {user.name}")
        self.user = user
        self.end = seconds - QUIET_END_S
        self.steps = []
        self.busy_until = {}
        self._draw(every_s)
        self.steps.sort()

    def _draw(self, every_s):
        self._fill(1.0 * every_s, self._upstream)
        self._fill(2.5 * every_s, self._leave)
        self._fill(4.0 * every_s, self._crash)
        self._fill(3.0 * every_s, self._log)
        self._fill(5.0 * every_s, self._hosts)
        self._fill(4.0 * every_s, self._kill)
        self._fill(3.0 * every_s, self._pause)
        self._fill(4.0 * every_s, self._race)

    def _fill(self, mean_s, draw):
        at = QUIET_START_S + self.random.uniform(0, mean_s)
        while at < self.end:
            draw(at)
            at += self.random.uniform(0.5, 1.5) * mean_s

    def _length(self, low, high, at):
        return min(self.end, at + self.random.uniform(low, high))

    def _free_instance(self, at, until):
        """Returns an instance without a fault at that time, or None when the
        service has enough of them."""
        service = self.random.choice(self.user.services)
        ill = [number for number in range(service.instances)
               if self.busy_until.get((service.name, number), 0) > at]
        if len(ill) >= max(1, service.instances // 6):
            return None
        number = self.random.choice(
            [n for n in range(service.instances) if n not in ill])
        self.busy_until[(service.name, number)] = until + 2
        return service.name, number

    def _upstream(self, at):
        until = self._length(4, 10, at)
        chosen = self._free_instance(at, until)
        if chosen is None:
            return
        name, fault = self.random.choice(
            UPSTREAM_FAULTS + (("fails on one path", {}),))
        if not fault:
            fault = {"fail_path": FAULT_PATHS[chosen[0]], "health": "ok"}
        self.steps.append(Step(at, "upstream", name, until, *chosen, fault,
                               {"clear": True}))

    def _leave(self, at):
        until = at + LEAVING_S
        chosen = self._free_instance(at, until)
        if chosen is not None and until < self.end:
            self.steps.append(Step(at, "leave", "leaves", until, *chosen))

    def _crash(self, at):
        until = self._length(1, 3, at)
        chosen = self._free_instance(at, until)
        if chosen is not None:
            self.steps.append(Step(at, "crash", "crashes", until, *chosen))

    def _log(self, at):
        name, fault, undo = self.random.choice(LOG_FAULTS)
        self.steps.append(Step(at, "log", name, self._length(2, 6, at),
                               fault=fault, undo=undo))

    def _hosts(self, at):
        name, fault, undo = self.random.choice(HOST_FAULTS)
        self.steps.append(Step(at, "hosts", name, self._length(3, 8, at),
                               fault=fault, undo=undo))

    def _kill(self, at):
        self.steps.append(Step(at, "kill", "a proxy is killed",
                               self._length(1, 3, at),
                               instance=self.random.randrange(1000)))

    def _pause(self, at):
        self.steps.append(Step(at, "pause", "a proxy is paused",
                               self._length(1, 6, at),
                               instance=self.random.randrange(1000)))

    def _race(self, at):
        self.steps.append(Step(at, "race", "operators race", at))
