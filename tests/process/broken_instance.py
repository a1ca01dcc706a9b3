"""An instance on plain sockets that sends prepared bytes, also before it has
read the request's body, and then resets, closes or keeps the connection."""

import dataclasses
import enum
import re
import socket
import struct
import threading
import time
import typing

import own_interface
from wire import http_answer

RECEIVE_BUFFER = 4096  # a long upload stays under way until it is read
REQUEST_ID = re.compile(rb"x-request-id: *([^\r\n]*)", re.I)
LENGTH = re.compile(rb"content-length: *(\d+)", re.I)


class End(enum.Enum):
    """What the instance does with the connection after its answer."""

    RESET = "reset"
    CLOSE = "close"
    HALF_CLOSE = "half-close, reads on"
    KEEP = "kept, reads on"


@dataclasses.dataclass
class Form:
    """An answer and how it is sent."""

    name: str
    answer: typing.Callable[[bytes], bytes]  # of the request's id
    end: End = End.KEEP
    pause_s: float = 0.0  # between the answer and the end
    reads_first: bool = False  # reads the whole body before it answers
    body_bytes: int = 0  # of the request
    is_sound: bool = False


class BrokenInstance(own_interface.OwnInstance):
    """Answers each request in one form."""

    def __init__(self, fleet, name, service, form):
        super().__init__(fleet, name, service, "za", None, slots=64)
        self.form = form
        self.requests = []  # ids in the order of arrival

    async def start(self, address="127.0.0.1", port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                 RECEIVE_BUFFER)
        self.listener.bind((address, port))
        self.listener.listen()
        self.address = f"{address}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve_connection, args=(connection,),
                             daemon=True).start()

    def serve_connection(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        received = b""
        with connection:
            try:
                while data := connection.recv(1024):
                    received += data
                    head, found, body = received.partition(b"\r\n\r\n")
                    if not found:
                        continue
                    received = b""
                    if not self.answer_head(connection, head, len(body)):
                        return
            except OSError:
                pass  # the node has closed the connection

    def answer_head(self, connection, head, read_bytes):
        """Returns whether the connection stays open."""
        request = REQUEST_ID.search(head)
        if not request:  # the node's own question
            connection.sendall(http_answer(200, b'{"state": "unknown", '
                                           b'"slots": 64, "busy": 0, '
                                           b'"draining": false}'))
            return True
        self.requests.append(request.group(1).decode())
        length = LENGTH.search(head)
        left = (int(length.group(1)) if length else 0) - read_bytes
        if self.form.reads_first:
            left = self.read_body(connection, left)
        connection.sendall(self.form.answer(request.group(1)))
        time.sleep(self.form.pause_s)
        end = self.form.end
        if end == End.RESET:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
        if end == End.HALF_CLOSE:
            connection.shutdown(socket.SHUT_WR)
        if end in (End.HALF_CLOSE, End.KEEP):
            self.read_body(connection, left)
        return end == End.KEEP

    @staticmethod
    def read_body(connection, left):
        """Reads the rest of a body; returns how much has not come."""
        while left > 0 and (data := connection.recv(65536)):
            left -= len(data)
        return left
