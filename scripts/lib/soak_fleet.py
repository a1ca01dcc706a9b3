"""The deployment of a soak: real nodes, with a link in front of each of their
connections, between the stand-ins of tests/process."""

import asyncio
import json
import random
import time
import zlib
from dataclasses import dataclass

import standin
from instances import Instance
from proxies import Proxy
from soak_link import Link
from soak_operator import Operator
from soak_store import SoakStore
from wire import http_answer

ZONES = ("za", "zb", "zc")
ROTATION_S = 1.0  # between two questions whether a node is ready
MISSES = 2
WORK_S = 0.12
SLOTS, QUEUE = 2, 6
HANG_S = 60.0
ERRORS = 0.7  # share of an instance that answers errors


def now_ms():
    return int(time.monotonic() * 1000)


@dataclass(frozen=True)
class Front:
    """Where consumers reach a node: its front link."""

    ip: str
    ports: tuple
    number: int


class Node(Proxy):
    """A process whose front, records and store are behind links. The load
    reports (UDP) go directly: a node is known by the address it sends from."""

    def __init__(self, fleet, number, zone):
        super().__init__(fleet, number, zone)
        self.alone_ip = f"127.0.2.{11 + number}"  # of the records' listener
        self.links = {"front": Link((self.ip, self.ports[0])),
                      "peer": Link((self.alone_ip, self.ports[2])),
                      "store": Link(None)}
        self.starts = []
        self.in_rotation = True
        self.is_expected_to_end = False

    async def open_links(self):
        await self.links["front"].start(f"127.0.1.{11 + self.number}")
        await self.links["peer"].start(self.ip, self.ports[2])
        self.links["store"].target = await self.fleet.store.serve_node(
            self.number)
        await self.links["store"].start(f"127.0.1.{11 + self.number}")
        self.front = Front(self.links["front"].address[0],
                           (self.links["front"].address[1],), self.number)

    def write_settings(self, first_start):
        super().write_settings(first_start)
        lines = self.settings.read_text().splitlines()
        seeds = ",".join(f"{one.ip}:{self.ports[2]}"
                         for one in self.fleet.proxies[:4] if one is not self)
        store = self.links["store"].address
        own = {"control": f"{self.alone_ip}:{self.ports[2]}", "seeds": seeds,
               "store": f"{store[0]}:{store[1]}"}
        self.settings.write_text("".join(
            f"{name}={own.get(name, value)}\n" for name, _, value in
            (line.partition("=") for line in lines if line[:1] != "#")))

    def start(self, first_start=True):
        super().start(first_start)
        self.starts.append(now_ms())
        self.is_expected_to_end = False

    async def watch_rotation(self):
        missed = 0
        while True:
            missed = 0 if await self.is_ready() else missed + 1
            self.in_rotation = missed < MISSES
            await asyncio.sleep(ROTATION_S)


class SoakInstance(Instance):
    """An instance behind a link. Each start is another object."""

    def __init__(self, fleet, name, service, zone, link, number):
        super().__init__(fleet, name, service, zone, self._work, SLOTS,
                         QUEUE)
        self.link, self.number = link, number
        self.how = ""
        self.state, self.beats = "ready", True
        self.boot = now_ms()
        self.random = random.Random(f"{fleet.seed} {name} {self.boot}")

    async def open(self):
        await self.start()
        ip, port = self.address.split(":")
        self.link.target = (ip, int(port))
        self.address = "%s:%d" % self.link.address
        await self.announce()

    def body(self, request):
        size = zlib.crc32(request.encode()) % 3000
        return (f"{self.name} {request} ".encode() * 150)[:size + 40]

    def _work(self, headers, path):
        del path
        request = headers["x-request-id"]
        seconds = WORK_S * min(4.0, self.random.lognormvariate(-0.1, 0.5))
        status, body = 200, self.body(request)
        if self.how == "hangs":
            seconds = HANG_S
        if self.how == "answers errors" and self.random.random() < ERRORS:
            status = 500
        at = now_ms()
        self.fleet.ran.append({
            "tag": request, "key": "", "instance": self.name,
            "incarnation": self.boot, "started": at, "service": self.service,
            "until": at + int(seconds * 1000), "status": status,
            "crc": zlib.crc32(body), "leaving": bool(self.notices)})
        if self.fleet.breaks("whole-answer", self.random):
            body = self.body("another request")
        return seconds, status, body

    async def serve_one(self, line, headers, reader, writer, arrived):
        method, path, _ = line.split(" ")
        if path != "/healthz":
            request = headers.get("x-request-id", "")
            expected = headers.get("x-expect-instance", self.name)
            self.fleet.arrived.append({
                "at": int(arrived * 1000), "tag": request,
                "instance": self.name, "incarnation": self.boot,
                "service": self.service,
                "misdirected": expected != self.name, "method": method,
                "path": path, "rest_ms": int(self.rest_s * 1000)})
            if (expected == self.name and not self.rest_s and
                    self.fleet.breaks("at-most-once", self.random)):
                self._work(headers, path)
                writer.write(http_answer(
                    503, b"", [("X-Request-Id", request),
                               ("X-Not-Executed", "1")]))
                return
        await super().serve_one(line, headers, reader, writer, arrived)

    def close(self):
        self.link.target = None
        super().close()


class SoakFleet(standin.Fleet):
    """Nodes, links, store, instances and operator; consumers are in
    soak_consumers."""

    services = (("desk", 6), ("annex", 5))

    def __init__(self, directory, seed, nodes, broken):
        super().__init__(directory, [])
        self.seed, self.broken = seed, broken
        self.store.close()
        self.store = SoakStore(self.record, broken)
        self.ports = self.find_ports(nodes)
        # The node's port for load reports and its metrics stay as they are.
        self.proxies = [Node(self, number, ZONES[number % len(ZONES)])
                        for number in range(nodes)]
        self.operator = Operator(self)
        self.ran, self.arrived, self.sends = [], [], []
        self.unconnected = 0
        self.named = 0
        self.place = {}  # (service, number): the instance that is there now
        self.place_of = {}  # name of an instance: where it is or was

    def breaks(self, promise, chance, share=0.02):
        return self.broken == promise and chance.random() < share

    def put_instance(self, instance):
        old = self.place.get((instance.service, instance.number))
        if old in self.instances:
            self.instances.remove(old)
        self.place[instance.service, instance.number] = instance
        self.place_of[instance.name] = (instance.service, instance.number)
        self.instances.append(instance)

    async def add_instance(self, service, number, link, name=None):
        if name is None:
            self.named += 1
            name = f"i-{self.named:04}"
        instance = SoakInstance(self, name, service,
                                ZONES[number % len(ZONES)], link, number)
        self.put_instance(instance)
        await instance.open()
        return instance

    async def open(self):
        await self.store.start()
        for service, count in self.services:
            for number in range(count):
                link = Link(None)
                await link.start("127.0.0.1")
                await self.add_instance(service, number, link)
        for node in self.proxies:
            await node.open_links()
        await self.operator.write_first()
        await self.start(30)
        self.tasks = [asyncio.ensure_future(one) for one in
                      [self.heartbeats()] +
                      [node.watch_rotation() for node in self.proxies]]

    def choose_front(self, chance):
        fronts = [node.front for node in self.proxies if node.in_rotation]
        return chance.choice(fronts or [node.front for node in self.proxies])

    def write_records(self, **more):
        for name, rows in (("sends", self.sends), ("runs", self.ran),
                           ("arrivals", self.arrived),
                           ("versions", self.operator.versions),
                           *more.items()):
            with open(self.directory / f"{name}.jsonl", "w",
                      encoding="utf-8") as file:
                file.writelines(json.dumps(row) + "\n" for row in rows)
