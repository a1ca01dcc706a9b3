"""What the cases 6 to 10 share: the project's own stand-ins for the platform's
store, instances and consumers (tests/process), and connections whose bytes are
checked one by one."""

import asyncio
import pathlib
import socket
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "process"))

import standin  # pylint: disable=wrong-import-position
from wire import HOST  # pylint: disable=wrong-import-position

__all__ = ["Connection", "ROOT", "small_deployment", "standin"]


def small_deployment(make, zones):
    """Returns a fleet whose machines have the limits of the small sites."""
    fleet = make(zones)
    fleet.extra_settings = {"memory-mb": 260, "max-fds": 4100}
    return fleet


class Connection:
    """One connection of a consumer, without a client library between."""

    def __init__(self, proxy, deadline_ms=2500):
        self.proxy, self.deadline_ms = proxy, deadline_ms
        self.socket = socket.socket()
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.unread = b""  # received and not used yet

    async def open(self):
        await asyncio.get_running_loop().sock_connect(
            self.socket, (self.proxy.ip, self.proxy.ports[0]))

    async def send(self, method, path, request, headers=(), body=b""):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"X-Request-Id: {request}",
                 f"X-Deadline-Ms: {self.deadline_ms}", *headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "".join(line + "\r\n" for line in lines) + "\r\n"
        await self.send_bytes(head.encode() + body)

    async def send_bytes(self, data):
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def receive(self, timeout_s, most=65536):
        """Adds what arrives; returns False at the end of the connection.
        Raises asyncio.TimeoutError if nothing arrives."""
        data = await asyncio.wait_for(
            asyncio.get_running_loop().sock_recv(self.socket, most), timeout_s)
        self.unread += data
        return bool(data)

    def close(self):
        self.socket.close()
