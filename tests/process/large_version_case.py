"""A route moves to another service. The versions are larger than 2^32.

Claim: CONFIG holds: no request sent later than config_apply_s after the
acknowledgement is run by the old service.
Excuse: none; nothing limits a version's number. SMALL=1 is the control. FIRST
sets the number before the first version, ZONES the nodes' zones.
"""

import asyncio
import collections
import os
import random
import time

import standin

ZONES = os.environ.get("ZONES", "za,za,za,za").split(",")
CONSUMERS = 16
WORK_S = 0.05
CONFIG_APPLY_S = 2.0  # of the rule
SECONDS = 20
# A version that is made of the time of day. SMALL=1 takes r3 and r6 instead.
FIRST_VERSION = 0 if os.environ.get("SMALL") else int(
    os.environ.get("FIRST", "1764927000000"))


def choose():
    return "POST", "/booking/2", b"b" * 300


async def case(make):
    fleet = make(ZONES)
    fleet.version = FIRST_VERSION
    await fleet.store.start()
    service_of = {}
    for number in range(12):
        service = "desk" if number < 6 else "annex"
        instance = standin.Instance(
            fleet, f"i-{number}", service, "za",
            lambda headers, path: (WORK_S, 200, b"done"))
        service_of[instance.name] = service
        await instance.start()
        await instance.announce()
        fleet.instances.append(instance)
    await fleet.put_config([standin.route("booking", "unsafe", "desk")],
                           ["desk", "annex"])
    await fleet.start()
    beats = asyncio.ensure_future(fleet.heartbeats())
    until = time.monotonic() + SECONDS
    consumers = [standin.Consumer(fleet, fleet.proxies[i % len(ZONES)],
                                  lambda: random.expovariate(4))
                 for i in range(CONSUMERS)]
    tasks = [asyncio.ensure_future(one.run(choose, until))
             for one in consumers]
    await asyncio.sleep(5)
    acknowledged = None
    if standin.TROUBLE:
        await fleet.put_config([standin.route("booking", "unsafe", "annex")],
                               ["desk", "annex"])
        acknowledged = time.monotonic()
    await asyncio.gather(*tasks)
    beats.cancel()
    ran_at = {request: service_of[name] for _, name, request in fleet.runs}
    stale = []
    last = collections.defaultdict(collections.Counter)
    for request, result, sent, _, proxy, _ in fleet.answers:
        if sent > until - 5:
            last[proxy][f"{ran_at.get(request)} {result}"] += 1
        if (acknowledged and sent > acknowledged + CONFIG_APPLY_S
                and ran_at.get(request) == "desk"):
            stale.append(request)
            fleet.record(f"run by the old service: {request}, sent "
                         f"{sent - acknowledged:.2f} s after the "
                         f"acknowledgement to edge-{proxy}")
    text = (f"run by the old service, sent over {CONFIG_APPLY_S} s after the "
            f"acknowledgement: {len(stale)}; the last 5 s, by proxy: "
            f"{ {proxy: dict(last[proxy]) for proxy in sorted(last)} }")
    fleet.record(text)
    print(text)
    return bool(stale)


standin.main(__file__, case)
