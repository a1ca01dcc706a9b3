"""A fleet on the product's own interface: processes of the program under test
that are started with settings in place of a settings file, between stand-ins
for the platform's log and its list of hosts.

Instances and consumers are those of the other cases; further headers pass
through the program unchanged.
"""

import asyncio
import base64
import json
import os
import subprocess
import time
import urllib.parse

import instances
from proxies import Proxy
from wire import ROOT, CannotRun, http_answer, read_body, read_head

FLEET_KEY = "process-test-fleet-key"
RULES = """\
service box floor 64 slots/instance 64 weigh false-ejections  # test: one service
route PUT /box/* -> box non-idempotent timeout 9s  # test: a body
route GET /box/* -> box non-idempotent timeout 9s  # test: an answer
"""


class Log:
    """The platform's log: streams of records, and the list of hosts."""

    def __init__(self):
        self.streams = {}
        self.hosts = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                answer = await self.answer(method, target, body)
                writer.write(http_answer(200, json.dumps(answer).encode()))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        if url.path == "/hosts":
            return {"as_of": int(time.time() * 1000), "hosts": self.hosts}
        records = self.streams.setdefault(url.path.split("/")[2], [])
        if method == "POST":
            records.append({"offset": len(records),
                            "time": int(time.time() * 1000),
                            "data": base64.b64encode(body).decode()})
            return {"offset": len(records) - 1}
        query = dict(urllib.parse.parse_qsl(url.query))
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(records) <= start and time.monotonic() < until:
            await asyncio.sleep(0.02)
        page = records[start:start + int(query["max"])]
        return {"first": 0, "next": start + len(page), "records": page}


class OwnInstance(instances.Instance):
    """An instance with the product's own calls: health, load, cancellation."""

    async def serve_one(self, line, headers, reader, writer, arrived):
        path = line.split(" ")[1]
        if path.startswith("/_cancel/"):
            writer.write(http_answer(200, b'{"state": "unknown"}'))
        elif path.startswith("/_"):
            writer.write(http_answer(200, json.dumps(
                {"slots": self.slots, "busy": 0, "draining": False}).encode()))
        else:
            await super().serve_one(line, headers, reader, writer, arrived)

    def listed(self):
        host, port = self.address.split(":")
        return {"service": self.service, "id": self.name, "address": host,
                "port": int(port), "zone": self.zone, "state": "live",
                "incarnation": self.born}


class OwnProxy(Proxy):
    """One proxy; its ports are that of callers and the inner one."""

    def __init__(self, fleet, number, zone):
        super().__init__(fleet, number, zone)
        self.ip = f"127.0.0.{61 + number}"
        self.name = f"node-{number}"

    def start(self, first_start=True):
        del first_start
        at_log = f"127.0.0.1:{self.fleet.log.port}"
        words = {"node": self.name, "zone": self.zone, "address": self.ip,
                 "port": self.ports[0], "inner-port": self.ports[1],
                 "log": at_log, "hosts": at_log, "fleet-key": FLEET_KEY}
        command = list(self.command)
        for name, value in words.items():
            command += [f"--{name}", str(value)]
        # A variable that the program does not know is no error.
        environment = {f"PERIDOTARCH_{name.upper().replace('-', '_')}":
                       str(value)
                       for name, value in self.fleet.extra_settings.items()}
        environment["PATH"] = os.environ["PATH"]
        self.log = self.fleet.directory / f"{self.name}.log"
        with open(self.log, "ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=output, stderr=subprocess.STDOUT)

    async def is_ready(self):
        return await self.ask(self.ports[0], "/ready") == 200

    def listed(self):
        return {"service": "peridotarch", "id": self.name, "address": self.ip,
                "port": self.ports[1], "zone": self.zone, "state": "live",
                "incarnation": int(time.time() * 1000)}


class OwnFleet:
    """A small fleet with one service, `box`."""

    def __init__(self, other, count):
        """Takes folder, program and ports of `other`, a fleet on the platform,
        and ends with it."""
        self.directory, self.command = other.directory, other.command
        self.record = other.record
        self.log = Log()
        self.instances = []
        self.runs, self.arrivals, self.answers = [], [], []
        self.sent, self.answered = {}, {}
        self.extra_settings = {}
        self.ports = other.ports[3:]
        self.proxies = [OwnProxy(self, i, "za") for i in range(count)]
        other.others.append(self)

    async def start(self, limit_s=15):
        await self.log.start()
        for proxy in self.proxies:
            proxy.start()
        self.log.hosts = [one.listed()
                          for one in [*self.instances, *self.proxies]]
        await asyncio.get_running_loop().run_in_executor(None, self.publish)
        until = time.monotonic() + limit_s
        for proxy in self.proxies:
            while not await proxy.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{proxy.name} is not ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)  # the nodes have heard of each other

    def publish(self):
        rules = self.directory / "rules.txt"
        rules.write_text(RULES)
        program = (ROOT / self.command[0]).parent / "peridotarch"
        at_log = f"127.0.0.1:{self.log.port}"
        if not program.exists():
            raise CannotRun(f"{program.name} is not built")
        done = subprocess.run(
            [program, "--log", at_log, "--hosts", at_log, "--fleet-key",
             FLEET_KEY, "--author", "test", "publish", rules, "--base", "0"],
            capture_output=True, text=True, timeout=30, check=False)
        if done.returncode != 0:
            raise CannotRun(done.stdout + done.stderr)

    async def heartbeats(self):
        """Its instances send none."""

    def end(self):
        for proxy in self.proxies:
            proxy.kill()


async def start_nodes(other, count, memory_mb, answer,
                      prepare=lambda proxy: None):
    """Starts nodes that may take this memory, beside one instance; `prepare`
    may change each of them before."""
    fleet = OwnFleet(other, count)
    fleet.extra_settings["memory-mb"] = memory_mb
    instance = OwnInstance(fleet, "i-own", "box", "za",
                           lambda headers, path: (0.01, 200, answer),
                           slots=64)
    await instance.start()
    fleet.instances.append(instance)
    for proxy in fleet.proxies:
        prepare(proxy)
    await fleet.start()
    return fleet
