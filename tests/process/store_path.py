"""The path of one machine to the store, which can be harmed for it alone."""

import asyncio
import enum

from wire import no_delay

REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


class Harm(enum.Enum):
    NONE = "none"
    SILENT = "silent"  # nothing arrives, on new connections either
    OPEN_SILENT = "open"  # nothing arrives on connections open at the time
    BUSY = "busy"  # each call gets 503
    RESET = "reset"  # all connections are reset
    LATE = "late"  # each answer comes 2.5 s later


LATE_S = 2.5


class StorePath:
    """Passes a machine's calls on to the store."""

    def __init__(self, store):
        self.store = store
        self.harm = Harm.NONE
        self.open = set()  # writers to the machine
        self.silenced = set()  # those that get nothing further
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set_harm(self, harm):
        self.harm = harm
        if harm == Harm.OPEN_SILENT:
            self.silenced |= self.open
        if harm == Harm.RESET:
            for writer in self.open:
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.harm == Harm.RESET:
            writer.transport.abort()
            return
        no_delay(writer)
        self.open.add(writer)
        from_store, to_store = await asyncio.open_connection(
            "127.0.0.1", self.store.port)
        no_delay(to_store)
        await asyncio.gather(self.pass_calls(reader, writer, to_store),
                             self.pass_answers(from_store, writer))
        self.open.discard(writer)

    def is_silent(self, writer):
        return self.harm == Harm.SILENT or writer in self.silenced

    async def pass_calls(self, reader, writer, to_store):
        try:
            while data := await reader.read(65536):
                self.calls += 1  # a call fits in one read on loopback
                if self.is_silent(writer):
                    continue
                if self.harm == Harm.BUSY:
                    writer.write(REFUSAL)
                    continue
                to_store.write(data)
        except OSError:
            pass
        finally:
            to_store.close()

    async def pass_answers(self, from_store, writer):
        try:
            while data := await from_store.read(1 << 20):
                if self.harm == Harm.LATE:
                    await asyncio.sleep(LATE_S)
                if not self.is_silent(writer) and self.harm != Harm.BUSY:
                    writer.write(data)
        except OSError:
            pass
        finally:
            writer.close()
