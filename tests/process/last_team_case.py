"""The list of teams is empty: at the very start, after the last team has gone,
and at a node that starts then.

Claim: no request on a route that needs a key runs, with any key or without one
(ROUTE, CONFIG, strict); instances never get a key, or a team that the caller
named (UNASKED); the open route is served. Guards against an empty list that is
read as a missing one. With TROUBLE=0 there is one team throughout.
"""

import asyncio
import signal
import time

import standin

REVOKE_S = 5.0
START_S = 2.0
KEY = "red-key"
ROUTES = [standin.route("box", "unsafe", "s"),
          {**standin.route("open", "unsafe", "s"), "allow_anonymous": True}]
HEADERS = [f"X-Api-Key: {KEY}\r\nX-Tenant: blue\r\n",
           "X-Api-Key: unknown\r\n", "X-Tenant: blue\r\n"]


async def put_teams(fleet, teams):
    fleet.extra_config = {"tenants": teams if standin.TROUBLE else [
        standin.team("red", [KEY])]}
    await fleet.put_config(ROUTES, ["s"])


async def case(make):
    fleet = make(["za", "zb"])
    fleet.bounds = {**fleet.bounds, "strict_revoke": "true",
                    "revoke_s": REVOKE_S}
    await fleet.store.start()
    seen = {}  # request: headers as the instance got them, and the path

    def work(headers, path):
        seen[headers["x-request-id"]] = (headers, path)
        return 0.01, 200, b"done"

    for number in range(2):
        instance = standin.Instance(fleet, f"i-{number}", "s", "za", work)
        await instance.start()
        await instance.announce()
        fleet.instances.append(instance)
    await put_teams(fleet, [])
    await fleet.start()
    beats = asyncio.ensure_future(fleet.heartbeats())
    began = time.monotonic()
    callers = []
    for proxy in fleet.proxies:
        for header in HEADERS:
            for path in ("/box/1", "/open/1"):
                caller = standin.Consumer(fleet, proxy, lambda: 0.05)
                caller.header = header
                callers.append(asyncio.ensure_future(caller.run(
                    lambda path=path: ("PUT", path, b"b"), began + 20)))
    await asyncio.sleep(4)
    await put_teams(fleet, [standin.team("red", [KEY])])
    added = time.monotonic()
    await asyncio.sleep(4)
    await put_teams(fleet, [])
    emptied = fleet.acknowledged
    await asyncio.sleep(2)
    fleet.proxies[1].signal(signal.SIGKILL)
    fleet.proxies[1].process.wait()
    fleet.proxies[1].start(first_start=False)
    await asyncio.gather(*callers)
    beats.cancel()
    may_run = [(added, emptied + REVOKE_S)]
    if not standin.TROUBLE:
        may_run = [(began, began + 30)]
    boxes = [(fleet.sent[request][1], headers) for request, (headers, path)
             in seen.items() if path.startswith("/box")]
    results = {
        "ran without a valid key": sum(
            1 for sent, headers in boxes if headers.get("x-tenant") != "red"
            or not any(low - 1 < sent < high for low, high in may_run)),
        "keys at instances": sum(
            "x-api-key" in headers for headers, _ in seen.values()),
        "teams that callers named": sum(
            headers.get("x-tenant") == "blue" for headers, _ in seen.values()),
        "with a key": len(boxes),
        "on the open route": len(seen) - len(boxes),
        "at the new process": sum(
            1 for request in seen if fleet.sent[request][0] == 1
            and fleet.sent[request][1] > emptied + 2 + START_S)}
    print(results)
    wrong = list(results.values())[:3]
    return any(wrong) or not all(list(results.values())[3:])


standin.main(__file__, case)
