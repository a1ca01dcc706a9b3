"""The instances of a service are replaced. The registry's log has taken more
than 2^32 records since it began.

Claim: DRAIN holds: no request reaches an instance later than drain_s after its
draining was acknowledged.
Excuse: none; offsets number the records without limit. BASE=0 is the control.
"""

import asyncio
import os

import standin
from replacement import Replacement

# Offset of the oldest record kept. BASE=0 takes a log that has just begun.
LOG_BASE = int(os.environ.get("BASE", "4400000000"))


async def case(make):
    instances = Replacement(make)
    instances.fleet.store.base["keyed.servers"] = LOG_BASE
    await instances.start()
    await asyncio.sleep(4)
    if standin.TROUBLE:
        await instances.join()
    await asyncio.sleep(3)
    if standin.TROUBLE:
        await instances.leave()
    return await instances.finish()


standin.main(__file__, case)
