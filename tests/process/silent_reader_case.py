"""Nodes that read the store for their zones wait there on connections on which
nothing arrives any more, while the instances of a service are replaced. All
links between nodes are sound.

Claim: DRAIN holds: no request reaches an instance later than drain_s after its
draining was acknowledged.
Excuse: an outage of the store that loses answers excuses what it acknowledges
within contact_s. So the draining follows contact_s after all three readers have
gone silent, and at once after fewer: the other zones' readers are in touch.

READERS connections go silent, AFTER seconds before the draining. READERS=3
AFTER=0 is no outage of the store but one of three machines' paths to it.
"""

import asyncio
import os

import standin
from replacement import Replacement

ZONES = ["za", "zb", "zc"]
NODES_PER_ZONE = 3
READERS = int(os.environ.get("READERS", "3"))
CONTACT_S = 3.0  # of the rule
AFTER_S = float(os.environ.get(
    "AFTER", CONTACT_S if READERS >= len(ZONES) else 0))


async def case(make):
    instances = Replacement(make, ZONES * NODES_PER_ZONE)
    store = instances.fleet.store
    await instances.start()
    await asyncio.sleep(4)
    await instances.join()
    await asyncio.sleep(3)
    if standin.TROUBLE:
        for _ in range(READERS):
            await store.silence_reader("keyed.servers")
        await asyncio.sleep(AFTER_S)
    await instances.leave()
    return await instances.finish()


standin.main(__file__, case)
