"""The registry has an entry of another writer, whose key and value are no text,
while the instances of a service are replaced.

Claim: DRAIN holds: no request reaches an instance later than drain_s after its
draining was acknowledged.
Excuse: none; the entry names no instance, and the others hold.
"""

import asyncio

import standin
from replacement import Replacement

# Neither the key nor the value can be read as text.
FOREIGN_KEY, FOREIGN_VALUE = b"\xfe\xff\x80", b"\x93\x00\xff"


async def case(make):
    instances = Replacement(make)
    fleet = instances.fleet
    await instances.start()
    await asyncio.sleep(3)
    if standin.TROUBLE:
        await fleet.store.put("keyed.servers", FOREIGN_KEY, FOREIGN_VALUE)
        fleet.record("entry of another writer in the registry")
    await asyncio.sleep(3)
    await instances.join()
    await asyncio.sleep(3)
    await instances.leave()
    return await instances.finish()


standin.main(__file__, case)
