"""Many instances answer with bytes that do not end, or with long bodies, and
some callers read their answers slowly, beside an instance that is sound.

Claim: the node's memory stays within MOST_MB, a half of the first deployments'
machines, so that no process ends by itself (LOST), and the sound service is
served as without the others.
Excuse: none. Callers of the faulty service get failures.

FAULTY instances; TROUBLE=0 leaves out the requests to them.
"""

import asyncio
import collections
import os
import re
import subprocess
import sys
import time

import standin
from wire import ROOT

FAULTY = int(os.environ.get("FAULTY", "32"))
KINDS = ["open", "chunks", "long", "head"]
CALLERS = 64  # of the faulty service
SLOW_READERS = 8  # of those
SECONDS = float(os.environ.get("SECONDS", "15"))
MOST_MB = 130
SERVED_SHARE = 0.99  # of the sound service
WRITER = ROOT / "tests" / "process" / "endless_writer.py"


class Writers:
    """The faulty instances, in processes of their own."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.processes = []

    async def start(self):
        for kind in KINDS:
            count = FAULTY // len(KINDS)
            process = subprocess.Popen(
                [sys.executable, str(WRITER), str(count), kind],
                stdin=subprocess.PIPE, stdout=subprocess.PIPE)
            self.processes.append(process)
            for number, port in enumerate(process.stdout.readline().split()):
                await self.announce(f"i-{kind}-{number}", int(port))

    async def announce(self, name, port):
        instance = standin.Instance(self.fleet, name, "faulty", "za", None)
        instance.address = f"127.0.0.1:{port}"
        await instance.announce()
        self.fleet.instances.append(instance)

    def close(self):
        for process in self.processes:
            process.kill()
            process.wait()


async def call_slowly(fleet, proxy, until):
    """Reads nothing of its answers for some seconds."""
    number = 0
    while time.monotonic() < until:
        number += 1
        reader, writer = await asyncio.open_connection(
            proxy.ip, proxy.ports[0], limit=4096)
        writer.write((f"GET /faulty/slow HTTP/1.1\r\nHost: {standin.HOST}\r\n"
                      f"X-Request-Id: slow{id(reader)}-{number}\r\n"
                      "X-Deadline-Ms: 2500\r\n\r\n").encode())
        await asyncio.sleep(5)
        writer.transport.abort()


def memory_mb(process):
    """Returns the most memory that the process had."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        kilobytes = re.search(r"VmHWM:\s+(\d+)", status.read()).group(1)
    return int(kilobytes) / 1024


async def case(make):
    fleet = make(["za"])
    await fleet.store.start()
    sound = standin.Instance(fleet, "i-sound", "sound", "za",
                             lambda headers, path: (0.02, 200, b"d" * 5000),
                             slots=32)
    await sound.start()
    await sound.announce()
    fleet.instances.append(sound)
    writers = Writers(fleet)
    await writers.start()
    # Retries of the unsafe kind would only shorten the run.
    await fleet.put_config([standin.route("faulty", "unsafe", "faulty"),
                            standin.route("sound", "unsafe", "sound")],
                           ["faulty", "sound"])
    await fleet.start()
    beats = asyncio.ensure_future(fleet.heartbeats())
    proxy = fleet.proxies[0]
    before_mb = memory_mb(proxy.process)
    until = time.monotonic() + SECONDS
    sound_callers = [standin.Consumer(fleet, proxy, lambda: 0.05)
                     for _ in range(8)]
    tasks = [one.run(lambda: ("PUT", "/sound/1", b"b" * 300), until)
             for one in sound_callers]
    if standin.TROUBLE:
        tasks += [standin.Consumer(fleet, proxy, lambda: 0.01).run(
            lambda: ("PUT", "/faulty/1", b"b" * 300), until)
            for _ in range(CALLERS - SLOW_READERS)]
        tasks += [call_slowly(fleet, proxy, until)
                  for _ in range(SLOW_READERS)]
    await asyncio.gather(*tasks)
    beats.cancel()
    writers.close()
    ended = proxy.process.poll()
    most_mb = None if ended is not None else memory_mb(proxy.process)
    ran = {request for _, _, request in fleet.runs}
    results = collections.Counter()
    for request, result, *_ in fleet.answers:
        results["sound" if request in ran else "faulty", str(result)] += 1
    of_sound = sum(count for (kind, _), count in results.items()
                   if kind == "sound")
    served = results["sound", "200"] / max(of_sound, 1)
    print("results:", dict(sorted(results.items())))
    print(f"process ended: {ended}; memory before {before_mb:.0f} MB, most "
          f"{most_mb and round(most_mb)} MB, allowed {MOST_MB}; sound service "
          f"served {served:.4f}")
    return ended is not None or most_mb > MOST_MB or served < SERVED_SHARE


standin.main(__file__, case)
