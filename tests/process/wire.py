"""HTTP/1.1 for the stand-ins, and the record of what they saw."""

import asyncio
import os
import pathlib
import re
import socket
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "box.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
FINAL_STATUS = re.compile(r"HTTP/1\.[01] ([2-9]\d\d)(?: |$)")


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class MalformedHead(Exception):
    """A head that is none of HTTP."""


class Record:
    """record.txt: what was sent, answered and run, with times in seconds."""

    def __init__(self, directory):
        self.file = open(directory / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns (first line, headers with lower-case names), or None at the end.
    Raises MalformedHead if a name is no token."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, colon, value = line.partition(":")
            if not colon or not TOKEN.fullmatch(name):
                raise MalformedHead(line)
            headers[name.lower()] = value.strip()
    return lines[0], headers


def read_status(line):
    """Returns the status in the first line of a final answer."""
    if not (found := FINAL_STATUS.match(line)):
        raise MalformedHead(line)
    return int(found.group(1))


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        # Joined once: adding to the body would copy a large one at each chunk.
        chunks = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunks.append((await reader.readexactly(size + 2))[:size])
            if size == 0:
                return b"".join(chunks)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def no_delay(writer):
    writer.get_extra_info("socket").setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def has_body(method, status):
    return method != "HEAD" and status >= 200 and status not in (204, 304)


def http_answer(status, body=b"", headers=(), method="GET"):
    """Returns the answer to a request with this method."""
    text = f"HTTP/1.1 {status} Answer\r\n"
    if method == "HEAD" or has_body(method, status):
        text += f"Content-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return text.encode() + b"\r\n" + (body if has_body(method, status)
                                      else b"")
