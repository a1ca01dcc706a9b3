"""Instances say in their answers that they are leaving, while the store lists
them as ready.

Claim: DRAIN holds: no request that a consumer sent later than drain_s after a
machine had passed on such an answer reaches the instance from that machine,
with the store in touch or away, across a cut and a freeze of the machine. The
next start of the instance, and another instance at its address, are used. If
all instances of a service are leaving, callers are refused at once.
Excuse: none; the rule would excuse the freeze.
"""

import asyncio
import time

import standin
from notice_world import Refusals, World
from notices import (DRAIN_S, FORMS, first_return, leaving_told,
                     sent_to_leaving, wait_until_reached, wait_until_said)

STAYING = 4
PHASE_S = 5.0  # drain_s, and time for each form of answer
FREEZE_S = 3.0
USED_WITHIN_S = 4.0  # drain_s and a turn of the other instances
CALLERS = 2  # of each machine, of the service that leaves as a whole
DEADLINE_MS = 1500  # of these callers
PHASES = ["touch", "away", "cut", "frozen"]


def leave(instances, forms=FORMS):
    for instance, form in zip(instances, forms):
        instance.leaving = form
        instance.fleet.record(f"instance {instance.name} is leaving: {form}")


class Leavings:
    """The leaving instances of each phase, and the verdicts."""

    def __init__(self, world):
        self.world = world
        self.groups = {}
        self.is_broken = False

    async def add(self):
        for phase in PHASES:
            self.groups[phase] = await self.world.add_all(
                [f"{phase}-{form}" for form in FORMS])

    async def play(self):
        world = self.world
        leave(self.groups["touch"])
        await wait_until_said(self.groups["touch"])
        await asyncio.sleep(PHASE_S)
        await world.set_store(False)
        leave(self.groups["away"])
        await wait_until_said(self.groups["away"])
        await asyncio.sleep(PHASE_S)
        await world.set_store(True)
        await asyncio.sleep(2)
        leave(self.groups["cut"])
        await world.cut(PHASE_S)
        await wait_until_said(self.groups["cut"])
        await asyncio.sleep(3)
        leave(self.groups["frozen"])
        await wait_until_said(self.groups["frozen"])
        await world.freeze(FREEZE_S)
        await asyncio.sleep(PHASE_S)

    async def replace_all(self):
        """Every second one starts again, the others' addresses are reused."""
        old = [one for group in self.groups.values() for one in group]
        started = [await self.world.replace(
            one, one.name if number % 2 else f"{one.name}-next")
            for number, one in enumerate(old)]
        times = await asyncio.gather(*(
            wait_until_reached(one, USED_WITHIN_S) for one in started))
        unused = [one.name for one, took in zip(started, times) if took is None]
        self.is_broken = self.is_broken or bool(unused)
        self.world.say(f"starts after a leaving: {len(started)}, not used "
                       f"within {USED_WITHIN_S} s: {unused}; longest "
                       f"{max((t for t in times if t), default=0):.2f} s")

    def judge(self):
        fleet = self.world.fleet
        for phase, group in self.groups.items():
            late = {one.name: len(sent_to_leaving(fleet, one, DRAIN_S))
                    for one in group}
            later = sum(len(sent_to_leaving(fleet, one, 0)) for one in group)
            told = sum(len(leaving_told(fleet, one)) for one in group)
            answers = sum(len(one.told_leaving) for one in group)
            total = sum(late.values())
            self.is_broken = self.is_broken or total > 0
            self.world.say(
                f"DRAIN {'broken' if total else 'held'}, {phase}: sent over "
                f"{DRAIN_S} s after the machine was told: {total} "
                f"{late if total else ''}; sent after it: {later}; instances "
                f"told {told} machines in {answers} answers")


async def case(make):
    world = World(make)
    await world.open()
    await world.add_all([f"stay-{number}" for number in range(STAYING)])
    annexes = [await world.add(f"annex-{number}", "annex")
               for number in range(2)]
    leavings = Leavings(world)
    await leavings.add()
    await world.start()
    await asyncio.sleep(2)
    leave(annexes, ["reply", "reply"])
    refusals = Refusals(world, lambda machine: first_return(
        world.fleet, annexes, machine), DEADLINE_MS)
    callers = refusals.start(CALLERS, time.monotonic() + PHASE_S)
    await leavings.play()
    await asyncio.gather(*callers)
    leavings.judge()
    await leavings.replace_all()
    is_wrong = refusals.judge_all("all instances of a service leave")
    world.finish()
    return leavings.is_broken or is_wrong


standin.main(__file__, case)
