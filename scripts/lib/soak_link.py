"""A link on loopback that can be slow, cut, reset or silent."""

import asyncio
import socket
import struct

from wire import no_delay

PIECE = 65536
NOBODY = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection


def reset(writer):
    """Ends a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NOBODY)
    writer.transport.abort()


class Link:
    """Forwards connections from `address` to `target`. "in" is the direction
    from the caller to the target. What is cut waits, as it would in TCP."""

    def __init__(self, target):
        self.target = target  # (ip, port), or None: nobody listens
        self.delay_s = 0.0
        self.cut = ""
        self.silent = set()  # connections that carry nothing any more
        self.open = {}  # connection: its two writers
        self.tasks = set()  # a silent connection's task has no other owner
        self.healed = asyncio.Event()
        self.healed.set()
        self.address = None

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self._serve, ip, port)
        self.address = self.server.sockets[0].getsockname()

    def impair(self, delay_s=0.0, cut="", reset=False, silence=False):
        self.delay_s, self.cut = delay_s, cut
        if cut:
            self.healed.clear()
        if reset:
            self.reset_all()
        if silence:
            self.silent.update(self.open)

    def heal(self):
        """Connections that were silenced stay so."""
        self.delay_s, self.cut = 0.0, ""
        self.healed.set()

    def reset_all(self):
        for pair in list(self.open.values()):
            for writer in pair:
                reset(writer)

    async def _serve(self, reader, writer):
        if self.target is None:
            reset(writer)
            return
        no_delay(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            reset(writer)
            return
        no_delay(far_writer)
        connection = object()
        self.open[connection] = (writer, far_writer)
        self.tasks.add(asyncio.current_task())
        try:
            await asyncio.gather(
                self._pass_on(connection, reader, far_writer, "in"),
                self._pass_on(connection, far_reader, writer, "out"))
            writer.close()
            far_writer.close()
        except OSError:
            reset(writer)
            reset(far_writer)
        finally:
            self.open.pop(connection, None)
            self.silent.discard(connection)
            self.tasks.discard(asyncio.current_task())

    async def _pass_on(self, connection, reader, writer, direction):
        while True:
            piece = await reader.read(PIECE)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.cut in (direction, "both"):
                await self.healed.wait()
            is_silent = connection in self.silent
            if piece and is_silent:
                continue
            if not piece:
                if not is_silent and not writer.is_closing():
                    writer.write_eof()
                return
            writer.write(piece)
            await writer.drain()

    def close(self):
        self.server.close()
        self.reset_all()
