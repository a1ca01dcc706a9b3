"""The store gives no response to two machines of six, those that read it for the
others, and serves the rest. Meanwhile a version moves a route to another service.

With TROUBLE=0 the store serves all machines.
"""

import asyncio
import pathlib
import re
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from loopback import small_deployment, standin

APPLY_S = 2.0  # config_apply_s
AWAY_S = 5.0
TURNED_AWAY = 2  # of six machines


class StorePath:
    """The path of one machine to the store; it can go silent both ways."""

    def __init__(self, store):
        self.store = store
        self.is_silent = False
        self.waiting_since = None  # when a read of the configuration began

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        if self.is_silent:
            await reader.read()
            return
        upstream = await asyncio.open_connection("127.0.0.1", self.store.port)
        await asyncio.gather(self.pass_on(reader, upstream[1], True),
                             self.pass_on(upstream[0], writer, False))

    async def pass_on(self, reader, writer, is_call):
        try:
            while data := await reader.read(65536):
                if self.is_silent:
                    continue
                if is_call and all(part in data for part in
                                   (b"log-read", b"keyed.op", b"wait_ms")):
                    self.waiting_since = time.monotonic()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def give_own_path(proxy, path):
    """Has the machine's settings name its path as the store."""
    write_settings = proxy.write_settings

    def write(first_start):
        write_settings(first_start)
        text = proxy.settings.read_text()
        proxy.settings.write_text(re.sub(
            r"(?m)^store=.*$", f"store=127.0.0.1:{path.port}", text))

    proxy.write_settings = write


async def find_readers(paths):
    """Returns the machines whose reads of the configuration wait, right after
    such a read of each has begun."""
    while True:
        now = time.monotonic()
        waiting = [number for number, path in enumerate(paths)
                   if path.waiting_since and now - path.waiting_since < 4]
        fresh = [number for number in waiting
                 if now - paths[number].waiting_since < 0.3]
        if waiting and len(waiting) == len(fresh):
            return waiting
        await asyncio.sleep(0.02)


def routes(service):
    return [standin.route("tally", "safe", service)]


async def case(make):
    fleet = small_deployment(make, ["za"] * 6)
    await fleet.store.start()
    paths = []
    for proxy in fleet.proxies:
        paths.append(StorePath(fleet.store))
        await paths[-1].start()
        give_own_path(proxy, paths[-1])
    for number, service in enumerate(["before", "before", "after", "after"]):
        instance = standin.Instance(fleet, f"i-{service}-{number}", service,
                                    "za", lambda *_: (0.02, 200, b"tally"))
        await instance.start()
        await instance.announce()
        fleet.instances.append(instance)
    await fleet.put_config(routes("before"), ["before", "after"])
    await fleet.start()
    beats = asyncio.ensure_future(fleet.heartbeats())
    until = time.monotonic() + 22
    running = []
    for proxy in fleet.proxies:
        consumer = standin.Consumer(fleet, proxy, lambda: 0.1)
        running.append(asyncio.ensure_future(consumer.run(
            lambda: ("GET", "/tally/1"), until)))
    await asyncio.sleep(5)
    readers = await find_readers(paths)
    fleet.record(f"readers of the store: {readers}")
    if len(readers) > TURNED_AWAY:
        raise standin.CannotRun(f"{len(readers)} machines read the store")
    for number in readers:
        paths[number].is_silent = standin.TROUBLE
    await asyncio.sleep(0.1)
    await fleet.put_config(routes("after"), ["before", "after"])
    moved = fleet.acknowledged
    await asyncio.sleep(AWAY_S - 0.1)
    for number in readers:
        paths[number].is_silent = False
    await asyncio.gather(*running)
    beats.cancel()
    late = {}
    for _, name, request in fleet.runs:
        number, sent = fleet.sent[request]
        if (number not in readers and "before" in name
                and sent > moved + APPLY_S):
            late.setdefault(number, []).append(sent - moved)
            fleet.record(f"CONFIG: {request} was sent to edge-{number} "
                         f"{sent - moved:.2f} s after the version that moved its "
                         f"route, and ran at {name}")
    last = max((max(times) for times in late.values()), default=0)
    print(f"machines turned away: {readers}; late requests at the others: "
          f"{ {number: len(times) for number, times in late.items()} }, the last "
          f"one {last:.2f} s after the acknowledgement")
    return bool(late)


standin.main(__file__, case)
