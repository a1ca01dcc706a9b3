"""Thousands of clients open a connection and say nothing, or send a byte of a
request now and then. They connect again when they are closed.

Guards against connections without a request that use up the memory of the
process, or its descriptors, so that no caller can connect. Claim: the memory
stays within memory-mb, the descriptors within the limit of the process, and an
ordinary request is served while the clients are there. Excuse: none.
"""

import asyncio
import dataclasses

import crowd
import own_interface
import standin

MEMORY_MB = 48
FOR_S = 5
AGAIN_S = 5  # all clients at once would keep this process busy
# With more tries, the ordinary request would last until the idle timeout frees
# all descriptors at once, which hides that they were used up.
TRIES = 3
HEAD = f"GET /box/slow HTTP/1.1\r\nHost: {standin.HOST}\r\nX: ".encode()


@dataclasses.dataclass
class Form:
    """What the clients of a node do."""

    name: str
    clients: int
    descriptors: int  # the limit of the process
    sends: bool  # a byte each second


FORMS = [Form("silent", 6000, 8192, False),
         Form("a byte each second", 6000, 8192, True),
         Form("silent, few descriptors", 1500, 1024, False)]


async def stay(proxy, sends):
    """Keeps a connection open."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(
                proxy.ip, proxy.ports[0])
        except OSError:
            await asyncio.sleep(AGAIN_S)
            continue
        closed = asyncio.ensure_future(reader.read())
        try:
            for byte in HEAD:
                await asyncio.wait({closed}, timeout=1 if sends else None)
                if closed.done():
                    break
                writer.write(bytes([byte]))
        finally:
            closed.cancel()
            writer.transport.abort()
        await asyncio.sleep(AGAIN_S)


async def run_form(fleet, proxy, form):
    """Returns what is broken."""
    clients = [asyncio.ensure_future(stay(proxy, form.sends))
               for _ in range(form.clients if standin.TROUBLE else 0)]
    most = 0
    for _ in range(FOR_S * 5):
        await asyncio.sleep(0.2)
        most = max(most, proxy.open_descriptors())
    ordinary = await crowd.ordinary_request(fleet, proxy, TRIES)
    for client in clients:
        client.cancel()
    print(f"{proxy.name}, {form.name}: {len(clients)} clients, descriptors {most}, allowed "
          f"{form.descriptors}; ordinary request {ordinary}")
    broken = crowd.check_memory(proxy, MEMORY_MB)
    broken += ["open descriptors"] if most > form.descriptors else []
    broken += ["ordinary request"] if ordinary[-1] != 200 else []
    print("  broken:", ", ".join(broken) or "nothing", flush=True)
    return broken


def limit_descriptors(proxy, form):
    limit = f'ulimit -n {form.descriptors}; exec "$@"'
    proxy.command = ["sh", "-c", limit, "sh", *proxy.fleet.command]


async def run_on_own(other):
    """Returns what is broken at nodes with the product's own interface."""
    broken = []
    for form in FORMS:
        fleet = await own_interface.start_nodes(
            other, 1, MEMORY_MB, crowd.SHORT_ANSWER,
            lambda proxy, form=form: limit_descriptors(proxy, form))
        broken += await run_form(fleet, fleet.proxies[0], form)
        fleet.end()
    return broken


async def case(make):
    def make_limited(zones):
        fleet = make(zones)
        for proxy, form in zip(fleet.proxies, FORMS):
            limit_descriptors(proxy, form)
        return fleet

    fleet = await crowd.start_nodes(make_limited, len(FORMS), MEMORY_MB,
                                    1048576)
    beats = asyncio.ensure_future(fleet.heartbeats())
    broken = [await run_form(fleet, proxy, form)
              for proxy, form in zip(fleet.proxies, FORMS)]
    beats.cancel()
    broken.append(await run_on_own(fleet))
    return any(broken)


standin.main(__file__, case, limit_s=180)
