"""A crowd of clients that hold the memory of a node, and the checks on it.

The failure that all of these cases guard against is LOST: a process that ends
because it takes more memory than its machine has. Each form of load has a node
of its own, since the peak memory of a process never falls.
"""

import asyncio
import collections
import dataclasses
import itertools
import os
import socket
import struct
import time
import typing

import own_interface
import standin

ONE_OF_COMPLETES = 5  # the others stop just before the end of their body
SEND_S = 20  # a node may stop reading from a client
SETTLE_S = 10  # at most, until a node has read what was sent
SAMPLE_S = 0.02
UNREAD_SAMPLE_S = 0.15
AGAIN_S = 0.1  # before a client that was closed connects again
# A node whose memory grows without end is stopped, for the machine's sake.
STOP_MB = 500
KILL_MB = 900
# Of the store, the peers, the log and health checks.
OWN_DESCRIPTORS = 32
TRIES = 8  # of the ordinary request, which a node may refuse at first
SHORT_ANSWER = b"d" * 100
RAN_NOT = (408, 421, 429, 503)  # these promise that the request never runs


@dataclasses.dataclass
class Form:
    """What each client of a crowd sends."""

    name: str
    clients: int
    header: str  # says the framing of the body
    # Called with whether the client completes its body; makes what it sends
    # after the head, piece by piece.
    pieces: typing.Callable[[bool], typing.Iterable[bytes]]
    port: int = 0  # index in the ports of a node; the first is for callers
    for_s: float = 0.0  # how long a client that is closed connects again
    completes: int = ONE_OF_COMPLETES  # one client in so many is served


class Crowd:
    """The clients of one form, each on its own connection."""

    def __init__(self, proxy, form):
        self.proxy, self.form = proxy, form
        self.sockets = {}  # request: socket
        self.most_descriptors = 0
        self.most_kb = 0  # resident, and received but not read
        self.stopped = False

    def name(self, number, again):
        return f"crowd{os.getpid()}-{self.proxy.name}-{number}-{again}"

    async def send(self, number):
        until = time.monotonic() + self.form.for_s
        await self.send_once(number, 0)
        for again in itertools.count(1):
            if time.monotonic() >= until:
                break
            reset(self.sockets[self.name(number, again - 1)])
            await asyncio.sleep(AGAIN_S)
            await self.send_once(number, again)

    async def send_once(self, number, again):
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        name = self.name(number, again)
        self.sockets[name] = client
        head = (f"PUT /box/{number} HTTP/1.1\r\nHost: {standin.HOST}\r\n"
                f"X-Request-Id: {name}\r\n"
                f"X-Deadline-Ms: 9000\r\n{self.form.header}\r\n\r\n")
        try:
            await loop.sock_connect(client,
                                    (self.proxy.ip,
                                     self.proxy.ports[self.form.port]))
            await loop.sock_sendall(client, head.encode())
            for piece in self.form.pieces(number % ONE_OF_COMPLETES == 0):
                await loop.sock_sendall(client, piece)
                # A send that fits into the socket's buffer does not suspend.
                await asyncio.sleep(0)
        except OSError:
            pass  # the node may close the connection

    async def watch(self, senders):
        while True:
            resident_mb = (self.proxy.memory_kb("VmRSS") or 0) / 1024
            self.most_descriptors = max(self.most_descriptors,
                                        self.proxy.open_descriptors())
            if resident_mb > KILL_MB:
                self.proxy.kill()
            if resident_mb > STOP_MB and not self.stopped:
                self.stopped = True
                for sender in senders:
                    sender.cancel()
                for client in self.sockets.values():
                    reset(client)
            await asyncio.sleep(SAMPLE_S)

    async def watch_unread(self):
        """Bytes that were received and not read count towards the memory of a
        process on its machine."""
        while True:
            kb = (self.proxy.memory_kb("VmRSS") or 0) + self.proxy.unread_kb()
            self.most_kb = max(self.most_kb, kb)
            await asyncio.sleep(UNREAD_SAMPLE_S)

    async def run(self):
        """Sends until all have stopped; their connections stay open."""
        senders = [asyncio.ensure_future(self.send(number))
                   for number in range(self.form.clients)]
        watch = [asyncio.ensure_future(self.watch(senders)),
                 asyncio.ensure_future(self.watch_unread())]
        if senders:
            await asyncio.wait(senders, timeout=SEND_S)
        for sender in senders:
            sender.cancel()
        await self.settle()
        return watch

    async def settle(self):
        """Waits until the peak memory has not grown for a second: the sockets'
        buffers may hold much of what was sent."""
        peak_kb = None
        for _ in range(SETTLE_S):
            known_kb, peak_kb = peak_kb, self.proxy.memory_kb("VmHWM")
            if peak_kb == known_kb:
                return
            await asyncio.sleep(1)

    def read_answers(self):
        """Returns request: status, "closed" or "open"."""
        answers = {}
        for request, client in self.sockets.items():
            try:
                start = client.recv(64).split(b" ")
                answers[request] = int(start[1]) if start[1:] else "closed"
            except BlockingIOError:
                answers[request] = "open"
            except OSError:
                answers[request] = "closed"
        return answers

    def close(self):
        for client in self.sockets.values():
            reset(client)


def reset(client):
    """Closes the connection and drops what the node has not read yet."""
    if client.fileno() >= 0:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
        client.close()


async def ordinary_request(fleet, proxy, tries=TRIES):
    """Returns the results of the tries; the last one counts."""
    results = []
    for _ in range(tries):
        consumer = standin.Consumer(fleet, proxy)
        results.append(await consumer.call("PUT", "/box/ordinary", b"b" * 300))
        consumer.drop()
        if results[-1] == 200:
            break
        await asyncio.sleep(1)
    return results


async def start_nodes(make, count, memory_mb, max_body_bytes, timeout_s=9.0,
                      answer=SHORT_ANSWER):
    """Starts nodes on machines with this memory, beside one instance."""
    fleet = make(["za"] * count)
    fleet.extra_settings["memory-mb"] = memory_mb
    fleet.limits.update(max_body_bytes=max_body_bytes, header_timeout_s=3.0,
                        idle_timeout_s=15.0)
    await fleet.store.start()
    instance = standin.Instance(fleet, "i-box", "box", "za",
                                lambda headers, path: (0.01, 200, answer),
                                slots=64)
    await instance.start()
    await instance.announce()
    fleet.instances.append(instance)
    # Attempts are not repeated: the failures of the crowd stay its own.
    await fleet.put_config([standin.route("box", "unsafe", "box",
                                          timeout_s=timeout_s)], ["box"])
    await fleet.start()
    return fleet


def check_memory(proxy, memory_mb):
    """Prints the peak memory; returns what is broken."""
    ended = proxy.process.poll()
    peak_kb = proxy.memory_kb("VmHWM")
    peak_mb = peak_kb / 1024 if peak_kb else None
    print(f"  process ended: {ended}; peak memory "
          f"{peak_mb and round(peak_mb, 1)} MB, allowed {memory_mb}")
    if ended is not None:
        return ["the process has ended"]
    return ["peak memory"] if peak_mb is None or peak_mb > memory_mb else []


async def run_form(fleet, proxy, form, memory_mb):
    """Returns what is broken. TROUBLE=0 leaves out the clients."""
    if not standin.TROUBLE:
        form = dataclasses.replace(form, clients=0)
    print(f"{proxy.name}, {form.name}: {form.clients} clients, before "
          f"{proxy.memory_kb('VmHWM') / 1024:.1f} MB", flush=True)
    # Each client, and each that completes its body with an attempt of its own.
    most = (proxy.open_descriptors() + form.clients + OWN_DESCRIPTORS +
            -(-form.clients // form.completes))
    crowd = Crowd(proxy, form)
    watch = await crowd.run()
    ordinary = await ordinary_request(fleet, proxy)
    for task in watch:
        task.cancel()
    answers = crowd.read_answers()
    crowd.close()
    broken = check_memory(proxy, memory_mb)
    most_mb = crowd.most_kb / 1024
    broken += ["memory with unread bytes"] if most_mb > memory_mb else []
    ran = {request for _, _, request in fleet.runs}
    untrue = [request for request, answer in answers.items()
              if answer in RAN_NOT and request in ran]
    print(f"  with unread bytes {most_mb:.1f} MB; "
          f"descriptors {crowd.most_descriptors}, allowed {most}; ordinary "
          f"request {ordinary}; crowd "
          f"{dict(collections.Counter(map(str, answers.values())))}"
          f"{', stopped by the test' if crowd.stopped else ''}")
    broken += ["open descriptors"] if crowd.most_descriptors > most else []
    broken += ["ordinary request"] if ordinary[-1] != 200 else []
    broken += ["refused requests have run"] if untrue else []
    print("  broken:", ", ".join(broken) or "nothing", flush=True)
    return broken


async def run_forms(make, forms, memory_mb, max_body_bytes,
                    answer=SHORT_ANSWER):
    """Runs one form after the other, each against its own node: on the users'
    platform, then on the product's own interface."""
    fleet = await start_nodes(make, len(forms), memory_mb, max_body_bytes,
                              answer=answer)
    broken = await run_on(fleet, forms, memory_mb)
    broken += await run_on_own(fleet, forms, memory_mb, answer)
    return bool(broken)


async def run_on_own(other, forms, memory_mb, answer=SHORT_ANSWER):
    """Runs each form against one node with the product's own interface."""
    broken = []
    for form in forms:
        fleet = await own_interface.start_nodes(other, 1, memory_mb, answer)
        broken += await run_on(fleet, [form], memory_mb)
        fleet.end()
    return broken


async def run_on(fleet, forms, memory_mb):
    """Returns what is broken; the fleet has a node for each form."""
    beats = asyncio.ensure_future(fleet.heartbeats())
    broken = []
    for proxy, form in zip(fleet.proxies, forms):
        broken += await run_form(fleet, proxy, form, memory_mb)
    beats.cancel()
    return broken
