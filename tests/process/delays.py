"""How late the stand-ins and the nodes are because of the machine itself."""

import asyncio
import os
import pathlib
import time

SHORTEST_S = 0.02  # a shorter delay is not kept


class LoopDelays:
    """The delays of this process's event loop."""

    def __init__(self):
        self.seen = []  # (end on the wall clock, seconds)

    async def watch(self, step_s=0.02):
        while True:
            due = time.monotonic() + step_s
            await asyncio.sleep(step_s)
            late = time.monotonic() - due
            if late >= SHORTEST_S:
                self.seen.append((time.time(), late))


def longest(seen, start, end):
    """The longest of the delays that lie between two times in part."""
    return max((seconds for at, seconds in seen
                if at >= start and at - seconds <= end), default=0.0)


def worst(seen):
    return max((seconds for _, seconds in seen), default=0.0)


class ProcessorUse:
    """What the processes of a case get of the machine's processors."""

    def __init__(self, processes):
        self.processes = processes
        # (wall clock, {process id: (seconds run, seconds ready to run but
        # waiting)}, seconds used by all programs of the machine)
        self.samples = []

    async def watch(self, step_s=0.5):
        while True:
            self.samples.append((time.time(), {
                pid: self.read(pid) for pid in self.processes},
                                 self.read_total()))
            await asyncio.sleep(step_s)

    @staticmethod
    def read(pid):
        try:
            fields = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
            return int(fields[0]) / 1e9, int(fields[1]) / 1e9
        except (OSError, IndexError):
            return 0.0, 0.0  # it has ended, or the kernel does not count

    @staticmethod
    def read_total():
        fields = pathlib.Path("/proc/stat").read_text().split("\n")[0].split()
        user, nice, system, _, _, irq, softirq = map(int, fields[1:8])
        ticks = user + nice + system + irq + softirq
        return ticks / os.sysconf("SC_CLK_TCK")

    def span(self, start, end):
        """The last sample before `start` and the first after `end`."""
        before = [sample for sample in self.samples if sample[0] <= start]
        after = [sample for sample in self.samples if sample[0] >= end]
        return (before or self.samples)[-1 if before else 0], (
            after or self.samples)[0 if after else -1]

    def of_process(self, pid, start, end):
        """Returns (seconds run, seconds waited) about two times."""
        first, last = self.span(start, end)
        return tuple(last[1][pid][i] - first[1][pid][i] for i in range(2))

    def cores(self, start, end):
        """Returns the cores used by these processes and by all others."""
        first, last = self.span(start, end)
        seconds = max(last[0] - first[0], 0.001)
        own = sum(last[1][pid][0] - first[1][pid][0] for pid in self.processes)
        return own / seconds, (last[2] - first[2] - own) / seconds
