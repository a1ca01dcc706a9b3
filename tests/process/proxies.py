"""One process of the program under test, with its settings and its log."""

import asyncio
import os
import re
import signal
import subprocess
import time

from wire import ROOT, read_body, read_head

LISTENS = "0A"  # the state of a socket in /proc/net/tcp


class Proxy:
    """One edge machine: the program of the deploy file with its settings."""

    def __init__(self, fleet, number, zone):
        self.fleet, self.number, self.zone = fleet, number, zone
        self.ip = f"127.0.0.{11 + number}"
        self.name = f"edge-{zone}-{number}"
        self.process = None
        self.ports = fleet.ports
        self.command = fleet.command
        self.restarts = False
        self.store_port = None  # of a path of its own to the store

    def write_settings(self, first_start):
        fleet = self.fleet
        values = {
            "node": self.name, "zone": self.zone,
            "listen.front": f"{self.ip}:{self.ports[0]}",
            "listen.ready": f"{self.ip}:{self.ports[1]}",
            "listen.control": f"{self.ip}:{self.ports[2]}",
            "provider.address":
                f"127.0.0.1:{self.store_port or fleet.store.port}",
            "seeds": ",".join(f"{proxy.ip}:{self.ports[2]}"
                              for proxy in fleet.proxies[:3]),
            "internal_ports": f"{self.ports[3]},{self.ports[3] + 1}",
            "bounds": ",".join(f"{k}={v}" for k, v in fleet.bounds.items()),
            "bootstrap": "true" if first_start else "false",
            "limits.memory_mb": "", "limits.max_fds": ""}
        text = (ROOT / "deploy" / "settings.template").read_text()
        text = re.sub(r"\{\{([^}]*)\}\}", lambda m: values[m.group(1)], text)
        # The metrics port of the template may be taken on this machine.
        text = re.sub(r"metrics-port=\d+", f"metrics-port={self.ports[4]}",
                      text)
        text += "".join(f"{name}={value}\n"
                        for name, value in fleet.extra_settings.items())
        self.settings = fleet.directory / f"edge-{self.number}.settings"
        self.settings.write_text(text)

    def start(self, first_start=True):
        self.write_settings(first_start)
        self.log = self.fleet.directory / f"edge-{self.number}.log"
        output = open(self.log, "ab")
        environment = {"PERIDOTARCH_BOOT": str(self.settings),
                       "PATH": os.environ["PATH"],
                       "HOME": os.environ.get("HOME", "/")}
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=output,
            stderr=subprocess.STDOUT)
        output.close()
        self.fleet.record(f"process edge-{self.number} starts")

    def signal(self, which):
        if self.process.poll() is None:
            self.process.send_signal(which)

    async def is_ready(self):
        status = await self.ask(self.ports[1], "/-/readyz")
        return status == 200

    async def ask(self, port, path):
        try:
            reader, writer = await asyncio.open_connection(self.ip, port)
        except OSError:
            return 0
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            return int(head[0].split(" ")[1]) if head else 0
        except (OSError, asyncio.TimeoutError):
            return 0
        finally:
            writer.close()

    def memory_kb(self, name):
        """Returns a figure of /proc/PID/status, or None after the process."""
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="ascii") as status:
                found = re.search(rf"{name}:\s+(\d+)", status.read())
            return int(found.group(1)) if found else None
        except OSError:
            return None

    def sockets(self):
        """Returns the inodes of the open sockets, none after the process."""
        inodes = set()
        try:
            with os.scandir(f"/proc/{self.process.pid}/fd") as entries:
                for entry in entries:
                    found = re.match(r"socket:\[(\d+)", os.readlink(entry.path))
                    if found:
                        inodes.add(found.group(1))
        except OSError:
            pass  # the process or a descriptor is gone
        return inodes

    def unread_kb(self):
        """Returns what was received on connections and not read yet."""
        inodes, unread = self.sockets(), 0
        with open("/proc/net/tcp", encoding="ascii") as connections:
            next(connections)
            for line in connections:
                columns = line.split()
                if columns[3] != LISTENS and columns[9] in inodes:
                    unread += int(columns[4].split(":")[1], 16)
        return unread / 1024

    def open_descriptors(self):
        """Returns their number, 0 after the process."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    async def read_records(self, topic, known):
        """Reads as a peer does; returns (bytes, seconds)."""
        started = time.monotonic()
        reader, writer = await asyncio.open_connection(self.ip, self.ports[2])
        try:
            writer.write(f"GET /-/log-newest?part=0&topic={topic}&"
                         f"known={known} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = await read_head(reader)
            body = await read_body(reader, head[1])
            return len(body), time.monotonic() - started
        finally:
            writer.close()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
