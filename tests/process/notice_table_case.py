"""A third of the instances are leaving and a third rest for 0.3 to 5 s, by
turns; a table of what reached them too late and of what callers got.

Claim: DRAIN and BUDGET hold. The rest is a measurement: the served share, the
time added at the 99th percentile against the calm time before, requests that
met a leaving instance, and arrivals beyond a request's first one.
Excuse: none.

NODES, INSTANCES and RATE (requests a second of all consumers) set the size,
TURNS the turns of 6 s. FORM is the kind of answer that says that an instance is
leaving, "reply" or "rejection". PROXY names the program.
"""

import asyncio
import os
import random
import time

import standin
from notice_world import World
from notices import DRAIN_S, Rests, leaving_told, sent_to_leaving
from staleness import quantile

NODES = int(os.environ.get("NODES", "12"))
INSTANCES = int(os.environ.get("INSTANCES", "24"))
RATE = float(os.environ.get("RATE", "240"))
TURNS = int(os.environ.get("TURNS", "6"))
FORM = os.environ.get("FORM", "reply")
TURN_S = 6.0
GAP_S = 2.0  # between turns: the nodes learn of the next starts
CALM_S = 8.0
STARTS_WITHIN_S = 60
RESTS_S = 0.3, 5.0
SERVES_S = 1.0


async def rest_on(instance, until):
    while time.monotonic() < until:
        seconds = random.uniform(*RESTS_S)
        instance.rest = [f"{seconds:.2f}"]
        await asyncio.sleep(min(seconds, until - time.monotonic()))
        instance.rest = None
        await asyncio.sleep(SERVES_S)


async def play_turn(world, serving, turn):
    """Every third instance leaves and starts again at the end, every third one
    rests. Returns the instances that are in service afterwards."""
    until = time.monotonic() + TURN_S
    leaving = serving[turn % 3::3]
    resting = [asyncio.ensure_future(rest_on(one, until))
               for one in serving[(turn + 1) % 3::3]]
    for instance in leaving:
        instance.leaving = FORM
    await asyncio.sleep(TURN_S)
    await asyncio.gather(*resting)
    for instance in leaving:
        new = await world.replace(instance, instance.name)
        serving[serving.index(instance)] = new
    await asyncio.sleep(GAP_S)


class Row:
    """One row of the table, from what consumers and instances recorded."""

    def __init__(self, world, started):
        self.world, self.started = world, started
        self.fleet = world.fleet

    def times(self, answers):
        return [ended - sent for _, result, sent, ended, *_ in answers
                if result in (200, 204)]

    def print(self):
        answers = [one for one in self.fleet.answers if one[2] > self.started]
        calm = [one for one in self.fleet.answers
                if self.started - CALM_S < one[2] <= self.started]
        requests = {one[0] for one in answers}
        starts = self.world.starts
        late = sum(len(sent_to_leaving(self.fleet, one, DRAIN_S))
                   for one in starts)
        rests = [Rests(self.fleet, one) for one in starts]
        in_rest = sum(len(one.in_rest) for one in rests)
        broken = sum(one.broken for one in rests)
        met = {request for one in starts for request in one.told_leaving}
        arrivals = sum(request in requests for one in starts
                       for _, request, _ in one.reached)
        reached = {request for one in starts for _, request, _ in one.reached}
        served = self.times(answers)
        added = quantile(served, 0.99) - quantile(self.times(calm), 0.99)
        told = sum(len(leaving_told(self.fleet, one)) for one in starts)
        self.world.say(
            f"| {NODES} | {len(answers)} | {late} | {in_rest} in "
            f"{sum(one.count for one in rests)} ({broken} broken) | "
            f"{len(served) / len(answers):.4f} | {added * 1000:.0f} | "
            f"{len(met & requests) / len(requests):.4f} | "
            f"{arrivals - len(reached & requests)} | {told} |")
        return late > 0 or broken > 0


async def case(make):
    world = World(make, NODES, RATE / NODES)
    await world.open()
    serving = await world.add_all([f"i-{n:02}" for n in range(INSTANCES)])
    await world.start(STARTS_WITHIN_S)
    await asyncio.sleep(2 + CALM_S)
    row = Row(world, time.monotonic())
    if standin.TROUBLE:
        for turn in range(TURNS):
            await play_turn(world, serving, turn)
    else:
        await asyncio.sleep(TURNS * TURN_S)
    world.finish()
    world.say("| nodes | requests | sent to a leaving instance too late | sent "
              "to a resting one | served | ms added at 0.99 | met a leaving "
              "instance | further arrivals | machines told of a leaving |")
    return row.print()


standin.main(__file__, case, 200)
