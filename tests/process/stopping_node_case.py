"""A node gets SIGTERM. Callers that keep connections to it send requests until
its process ends, whose work takes longer than the latency objective.

Claim: LOST holds: a request that the stopping node has passed on runs to its
end and its answer is passed on, unless it was sent up to SENT_EARLY_S after
the SIGTERM and its instance was at work in the last sixth of the grace. What
the node refuses has not run, and its caller is served by another node.
Excuse: none; the stop is planned, and everything else is calm.

WORK is the time of each request's work. TROUBLE=0 leaves the SIGTERM out.
"""

import asyncio
import collections
import os
import signal
import time

import standin

NODES = 3
KINDS = ["safe", "unsafe"]
TIMEOUT_S = 3.0
OBJECTIVE_S = 1.5
WORK_S = float(os.environ.get("WORK", "2.0"))
SENT_EARLY_S = 3.0  # of the rule
EVERY_S = 0.1  # one caller of each kind
LAST_S = 4.3  # idle connections are closed after that
DEADLINE_MS = 5000


class Callers:
    """One caller for each moment and kind. Its connection has carried a
    request before the SIGTERM."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.results = []  # (sent after the SIGTERM, kind, result, elsewhere)

    async def connect(self):
        number = round(LAST_S / EVERY_S)
        pairs = [(kind, step * EVERY_S) for step in range(number)
                 for kind in KINDS]
        callers = [(standin.Consumer(self.fleet, self.fleet.proxies[0],
                                     deadline_ms=DEADLINE_MS), *pair)
                   for pair in pairs]
        await asyncio.gather(*(one[0].call("GET", "/quick/1")
                               for one in callers))
        return callers

    def has_run(self, request):
        return any(request == one for _, _, one in self.fleet.runs)

    async def send(self, caller, kind, after_s, stopped_at):
        await asyncio.sleep(stopped_at + after_s - time.monotonic())
        result = await caller.call("POST", f"/{kind}/1", b"b" * 300)
        if result == "closed" and not self.has_run(caller.request):
            # Its idle connection was closed, and the balancer is late.
            result = await caller.call("POST", f"/{kind}/1", b"b" * 300)
        request, elsewhere = caller.request, None
        if result == 503:
            other = standin.Consumer(self.fleet, self.fleet.proxies[1],
                                     deadline_ms=DEADLINE_MS)
            elsewhere = await other.call("POST", f"/{kind}/1", b"b" * 300)
            other.drop()
        self.results.append((after_s, kind, request, result, elsewhere))
        caller.drop()


def judge(fleet, results):
    ran = collections.Counter(request for _, _, request in fleet.runs)
    lost = [one for one in results if one[3] != 503 and one[3] != 200
            and ran[one[2]] and one[0] > SENT_EARLY_S]
    untrue = [one for one in results if one[3] == 503 and ran[one[2]]]
    unserved = [one for one in results if one[3] == 503 and one[4] != 200]
    for text, found in (("LOST", lost), ("REFUSED", untrue),
                        ("not served by another node", unserved)):
        print(f"{text}: {len(found)}", *(f"{kind} +{after:.1f} s: {result}"
              for after, kind, _, result, _ in sorted(found)[:6]))
    by_kind = collections.Counter((kind, str(result))
                                  for _, kind, _, result, _ in results)
    print("results:", dict(sorted(by_kind.items())))
    return bool(lost or untrue or unserved)


def work(headers, path):
    del headers
    return (0.01 if path.startswith("/quick/") else WORK_S), 200, b"done"


async def case(make):
    fleet = make(["za"] * NODES)
    await fleet.store.start()
    for number in range(8):
        instance = standin.Instance(fleet, f"i-{number}", "desk", "za", work,
                                    slots=32)
        await instance.start()
        await instance.announce()
        fleet.instances.append(instance)
    routes = [standin.route(kind, kind, "desk", TIMEOUT_S, OBJECTIVE_S)
              for kind in KINDS]
    await fleet.put_config(routes + [standin.route("quick", "safe", "desk")],
                           ["desk"])
    await fleet.start()
    beats = asyncio.ensure_future(fleet.heartbeats())
    callers = Callers(fleet)
    connected = await callers.connect()
    if standin.TROUBLE:
        fleet.proxies[0].signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    await asyncio.gather(*(callers.send(*one, stopped_at)
                           for one in connected))
    beats.cancel()
    return judge(fleet, callers.results)


standin.main(__file__, case)
