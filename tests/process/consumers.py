"""Consumers with kept connections."""

import asyncio
import os
import time

from wire import (HOST, MalformedHead, has_body, no_delay, read_body, read_head,
                  read_status)


class Consumer:
    """Sends requests one after the other on a kept connection.

    `answers` of the fleet gets (id, result, sent at, ended at, proxy, whether
    the connection had carried a request before). A result is a status,
    "closed" for a connection that ends without a whole answer, "timeout",
    "foreign" for the answer to another request, or "malformed" for one that is
    none of HTTP. `sent` of the fleet gets the proxy and the time of each
    request before it is sent, `answered` the time of its answer, if it has one.
    """

    counter = 0

    def __init__(self, fleet, proxy, pause=lambda: 0.0, deadline_ms=2500):
        self.fleet, self.proxy, self.pause = fleet, proxy, pause
        self.deadline_ms = deadline_ms
        self.reader = self.writer = None
        self.carried = 0  # requests on this connection
        self.request = ""  # the last one
        self.status = None  # of its answer, also one to another request
        self.got = None  # headers and body of its answer
        self.sent = 0.0  # when it was written
        self.fresh = False  # a new connection for each request
        self.header = ""  # further lines of each head

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.proxy.ip, self.proxy.ports[0]), 1)
        no_delay(self.writer)
        self.carried = 0

    def drop(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, body=b""):
        Consumer.counter += 1
        request = self.request = f"q{os.getpid()}-{Consumer.counter}"
        self.status = self.got = None
        record = self.fleet.record
        try:
            if not self.writer:
                await self.connect()
        except (OSError, asyncio.TimeoutError):
            self.drop()
            record(f"consumer cannot connect to edge-{self.proxy.number}")
            await asyncio.sleep(0.05)
            return None
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {request}\r\n"
                f"X-Deadline-Ms: {self.deadline_ms}\r\n"
                f"{self.header}Content-Length: {len(body)}\r\n\r\n")
        record(f"consumer sends {request} {method} {path} "
               f"to edge-{self.proxy.number}")
        result = "closed"
        kept = self.carried > 0
        self.carried += 1
        try:
            self.sent = time.monotonic()
            self.fleet.sent[request] = (self.proxy.number, self.sent)
            self.writer.write(head.encode() + body)
            got = await asyncio.wait_for(read_head(self.reader),
                                         self.deadline_ms / 1000)
            if got:
                status, body = read_status(got[0]), b""
                if has_body(method, status):
                    body = await asyncio.wait_for(
                        read_body(self.reader, got[1]), 1)
                self.got = (got[1], body)
                result = self.status = status
                if got[1].get("x-request-id") != request:
                    result = "foreign"
                if got[1].get("connection", "").lower() == "close":
                    self.drop()
            else:
                self.drop()
        except asyncio.TimeoutError:
            result = "timeout"
            self.drop()
        except (OSError, asyncio.IncompleteReadError):
            self.drop()
        except MalformedHead:
            result = "malformed"
            self.drop()
        record(f"consumer has {request}: {result}")
        ended = time.monotonic()
        if isinstance(result, int):
            self.fleet.answered[request] = ended
        self.fleet.answers.append((request, result, self.sent, ended,
                                   self.proxy.number, kept))
        return result

    async def run(self, choose, until):
        while time.monotonic() < until:
            await self.call(*choose())
            if self.fresh:
                self.drop()
            await asyncio.sleep(self.pause())
        self.drop()
