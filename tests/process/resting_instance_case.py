"""Instances reject requests with 503 and Retry-After.

Claim: BUDGET holds: not more than two requests reach an instance from a machine
between half a second after such an answer and the end of that time, with the
store in touch or away, across a cut and a freeze of the machine. The instance
is used again after the rest, which begins without a burst, and after a value
that is no time. Its next start, and another instance at its address, are used
at once. If all instances of a service rest, callers are refused at once.
Excuse: none; the rule would excuse the cut and the freeze.
"""

import asyncio
import time

import standin
from notice_world import Refusals, World
from notices import (Rests, first_return, reached_since, rest_ends,
                     seconds_of, wait_until_reached, wait_until_said)

STAYING = 4
VALUES = [["0.3"], ["0.75"], ["2"], ["5"], [".5"], ["3."]]
BAD_VALUES = [["soon"], ["-5"], ["nan"], ["inf"], ["1e9"], [""], ["5,5"],
              ["0"], ["Sat, 05 Dec 2026 12:00:00 GMT"], ["0x10"], ["5 s"]]
TWO_VALUES = [["0.4", "3"], ["3", "0.4"], ["soon", "3"], ["3", "soon"]]
ENDLESS = ["1000000000"]
SERVES_S = 1.0  # between two rests
BAD_FOR_S = 1.0
USED_WITHIN_S = 5.0  # half the longest rest in use may be added to it
DISRUPTION_REST = ["4"]
CALM_S = 0.5  # after a rest: no more requests than slots
CALLERS = 8  # of each machine, of the service that rests as a whole
DEADLINE_MS = 9000  # of these callers: a third is longer than their rest
ANNEX_VALUES = [["1.5"], ["2.5"]]
ANNEX_SECONDS = 14.0


async def rest_by_turns(instance, values, until):
    """Each second rejection does not say that nothing has run."""
    while time.monotonic() < until:
        instance.rest = values
        await asyncio.sleep(max(0.3, seconds_of(values)))
        instance.rest = None
        await asyncio.sleep(SERVES_S)
        instance.rest_runs = not instance.rest_runs


async def rest_once(instances, values, seconds=BAD_FOR_S):
    for instance in instances:
        instance.rest = values
    await asyncio.gather(asyncio.sleep(seconds), wait_until_said(instances))
    for instance in instances:
        instance.rest = None


class Cases:
    """The instances of each kind of rest, and the verdicts."""

    def __init__(self, world, annexes):
        self.world, self.annexes = world, annexes
        self.is_broken = False

    async def add(self):
        add = self.world.add_all
        self.turns = await add([f"turns-{value[0]}" for value in VALUES])
        self.bad = await add([f"bad-{n}" for n in range(len(BAD_VALUES))])
        self.two = await add([f"two-{n}" for n in range(len(TWO_VALUES))])
        self.away, self.cut, self.frozen = [
            await add([f"{kind}-{n}" for n in range(2)])
            for kind in ("away", "cut", "frozen")]
        self.endless = await add(["endless-0", "endless-1", "endless-2"])

    async def play(self):
        world = self.world
        await asyncio.gather(
            rest_once(self.endless, ENDLESS),
            *(rest_by_turns(one, values, time.monotonic() + 14)
              for one, values in zip(self.turns, VALUES)),
            *(rest_once([one], values)
              for one, values in zip(self.bad + self.two,
                                     BAD_VALUES + TWO_VALUES)))
        await world.set_store(False)
        await rest_once(self.away, DISRUPTION_REST)
        await asyncio.sleep(4)
        await world.set_store(True)
        await asyncio.sleep(2)
        await asyncio.gather(rest_once(self.cut, DISRUPTION_REST),
                             world.cut(6.0))
        await asyncio.sleep(3)
        await rest_once(self.frozen, DISRUPTION_REST)
        await world.freeze(1.5)
        await asyncio.sleep(3)

    async def replace_endless(self):
        """A new start, and another instance at the address, are free; the one
        that stays is used once a minute is over."""
        again, other, stays = self.endless
        started = [await self.world.replace(again, again.name),
                   await self.world.replace(other, "endless-next")]
        for one in started:
            self.check_used(one, await wait_until_reached(one, USED_WITHIN_S))
        end = max(rest_ends(self.world.fleet, stays).values())
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        self.check_used(stays, await wait_until_reached(
            stays, USED_WITHIN_S + 2))

    def check_used(self, instance, took_s):
        self.is_broken = self.is_broken or took_s is None
        self.world.say(f"used again, {instance.name}: "
                       f"{'no' if took_s is None else f'{took_s:.2f} s'}")

    async def check_all_used(self):
        since = time.monotonic()
        await asyncio.sleep(USED_WITHIN_S)
        unused = [one.name for one in self.world.fleet.instances
                  if one.service == "desk" and not reached_since(one, since)]
        self.is_broken = self.is_broken or bool(unused)
        self.world.say(f"instances without a request in the last "
                       f"{USED_WITHIN_S} s: {unused}")

    def judge(self):
        fleet = self.world.fleet
        for kind, group in [("by turns", self.turns), ("bad", self.bad),
                            ("two headers", self.two), ("away", self.away),
                            ("cut", self.cut), ("frozen", self.frozen),
                            ("endless", self.endless),
                            ("as a whole", self.annexes)]:
            rests = {one.name: Rests(fleet, one) for one in group}
            broken = {name: one.broken for name, one in rests.items()
                      if one.broken}
            bursts = [burst for one in group
                      for burst in self.bursts(one)]
            self.is_broken = self.is_broken or bool(broken or bursts)
            self.world.say(
                f"BUDGET {'broken' if broken else 'held'}, {kind}: rests "
                f"{sum(one.count for one in rests.values())}, requests in them "
                f"{sum(len(one.in_rest) for one in rests.values())}, broken "
                f"{broken}; bursts after them: {bursts}")

    def bursts(self, instance):
        """Requests that met more than the slots can run, after a rest."""
        ends = list(rest_ends(self.world.fleet, instance).values())
        return [(instance.name, busy) for at, _, busy in instance.reached
                if busy > instance.slots
                and any(end <= at < end + CALM_S for end in ends)]


async def rest_as_a_whole(annexes, until):
    while time.monotonic() < until:
        await asyncio.gather(*(
            rest_once([one], values, 0.5)
            for one, values in zip(annexes, ANNEX_VALUES)))
        await asyncio.sleep(4.0)


async def case(make):
    world = World(make)
    await world.open()
    await world.add_all([f"stay-{number}" for number in range(STAYING)])
    annexes = [await world.add(f"annex-{number}", "annex")
               for number in range(3)]
    annexes[2].leaving = "reply"
    cases = Cases(world, annexes[:2])
    await cases.add()
    await world.start()
    await asyncio.sleep(2)
    refusals = Refusals(world, lambda machine: first_return(
        world.fleet, annexes, machine), DEADLINE_MS)
    until = time.monotonic() + ANNEX_SECONDS
    callers = refusals.start(CALLERS, until)
    turns = asyncio.ensure_future(rest_as_a_whole(annexes, until))
    await cases.play()
    await asyncio.gather(turns, *callers)
    is_wrong = refusals.judge_all("all instances of a service rest or leave")
    await cases.replace_endless()
    await cases.check_all_used()
    cases.judge()
    world.finish()
    return cases.is_broken or is_wrong


standin.main(__file__, case, 150)
