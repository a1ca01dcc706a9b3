"""The operator takes the last tenant's keys away: a version whose list of
tenants is empty. Consumers go on sending requests with a key that was taken away.

With TROUBLE=0 the version keeps the tenant and its keys.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from loopback import small_deployment, standin

REVOKE_S = 5.0
KEY = "red-key-7261"
ROUTES = [standin.route("post", "unsafe", "books")]


async def case(make):
    fleet = small_deployment(make, ["za", "zb"])
    fleet.bounds = {**fleet.bounds, "strict_revoke": "true",
                    "revoke_s": REVOKE_S}
    heads = {}  # request: headers as the instance got them
    await fleet.store.start()

    def work(headers, _):
        heads[headers["x-request-id"]] = headers
        return 0.02, 200, b"posted"

    for number in range(2):
        instance = standin.Instance(fleet, f"i-{number}", "books", "za", work)
        await instance.start()
        await instance.announce()
        fleet.instances.append(instance)
    tenants = [{"name": "red", "api_keys": [KEY]}]
    fleet.extra_config = {"tenants": tenants}
    await fleet.put_config(ROUTES, ["books"])
    await fleet.start()
    beats = asyncio.ensure_future(fleet.heartbeats())
    until = time.monotonic() + 14
    running = []
    for proxy in fleet.proxies:
        for _ in range(2):
            consumer = standin.Consumer(fleet, proxy, lambda: 0.1)
            consumer.header = f"X-Api-Key: {KEY}\r\nX-Tenant: another\r\n"
            running.append(asyncio.ensure_future(consumer.run(
                lambda: ("POST", "/post/1", b"repayment"), until)))
    await asyncio.sleep(3)
    fleet.extra_config = {"tenants": [] if standin.TROUBLE else tenants}
    await fleet.put_config(ROUTES, ["books"])
    taken_away = fleet.acknowledged
    await asyncio.gather(*running)
    beats.cancel()
    late = [request for _, _, request in fleet.runs
            if standin.TROUBLE
            and fleet.sent[request][1] > taken_away + REVOKE_S]
    with_key = [request for request, headers in heads.items()
                if headers.get("x-api-key") == KEY]
    forged = [request for request, headers in heads.items()
              if headers.get("x-tenant") == "another"]
    for request in late:
        sent = fleet.sent[request][1] - taken_away
        fleet.record(f"CONFIG: {request} was sent {sent:.2f} s after its key was "
                     "taken away, and ran")
    for request in with_key:
        fleet.record(f"UNASKED: {request} reached its instance with the key, "
                     f"X-Tenant: {heads[request].get('x-tenant')}")
    statuses = {}
    for answer in fleet.answers:
        statuses[answer[1]] = statuses.get(answer[1], 0) + 1
    print(f"answers: {statuses}, ran more than {REVOKE_S} s after the key was "
          f"taken away: {len(late)}, reached an instance with the key: "
          f"{len(with_key)}, with the tenant that the consumer named: "
          f"{len(forged)}")
    return bool(late or with_key or forged)


standin.main(__file__, case)
