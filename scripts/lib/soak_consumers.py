"""The consumers of a soak, and what they record of each request."""

import asyncio
import zlib

from consumers import Consumer

DEADLINE_MS = 2500
HOLDERS = 0.4  # share of consumers that keep a connection until its end
FRESH = 0.3
PAUSE_S = 0.25


class SoakConsumer(Consumer):
    """Chooses a node that is in rotation for each connection."""

    def __init__(self, fleet, chance):
        super().__init__(fleet, fleet.proxies[0].front,
                         lambda: chance.expovariate(1 / PAUSE_S), DEADLINE_MS)
        self.random = chance
        self.holds = chance.random() < HOLDERS
        self.fresh = not self.holds and chance.random() < FRESH
        self.held = set()

    async def connect(self):
        self.proxy = self.fleet.choose_front(self.random)
        await super().connect()

    def drop(self):
        """A holder leaves the connection open until the node has closed it."""
        if self.holds and self.writer:
            task = asyncio.ensure_future(hold(self.reader, self.writer))
            self.held.add(task)
            task.add_done_callback(self.held.discard)
            self.reader = self.writer = None
        super().drop()

    async def call(self, method, path, body=b""):
        if await super().call(method, path, body) is None:
            self.fleet.unconnected += 1
            return
        request, result, sent, ended, node, kept = self.fleet.answers[-1]
        headers, answer = self.got or ({}, b"")
        route = path.split("/")[1]
        unsafe = self.fleet.operator.kind(route) == "unsafe"
        self.fleet.sends.append({
            "tag": request, "family": request, "key": "",
            "idempotent": not unsafe, "reused": kept, "target": node,
            "sent": int(sent * 1000), "done": int(ended * 1000),
            "reason": "", "node": node, "route": route, "method": method,
            "path": path, "answer": result, "crc": zlib.crc32(answer),
            "seal": headers.get("x-response-seal", "")})

    def choose(self):
        route = self.random.choice(self.fleet.operator.known_routes())
        if self.random.random() < 0.5:
            route = self.random.choice(("look", "pay", "list", "book"))
        path = f"/{route}/{self.random.randrange(1000)}?a=1"
        if self.fleet.operator.kind(route) == "unsafe":
            return "POST", path, b"b" * self.random.randrange(4000)
        return "GET", path


async def hold(reader, writer):
    try:
        while await reader.read(65536):
            pass
    except OSError:
        pass
    writer.close()
