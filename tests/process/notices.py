"""Instances that say in their answers that they are leaving or want no request
for some time, and the judgement of what reached them later."""

import asyncio
import bisect
import collections
import time

from instances import Instance
from wire import CannotRun, http_answer

WORK_S = 0.03
DRAIN_S = 2.0  # of the rule DRAIN
RESTS_AFTER_S = 0.5  # of the rule BUDGET
MOST_IN_A_REST = 2  # of the rule BUDGET
LONGEST_REST_S = 60.0  # of the program
REPORTED_WITHIN_S = 1.0  # a machine's report to the others
LEAVING = [("Server-Leaving", "1")]
# Which answers of a leaving instance say so.
FORMS = ["reply", "head", "no_content", "failure", "informational",
         "rejection"]


class NoticeInstance(Instance):
    """Serves; once `leaving` is set to one of FORMS, it says so in answers of
    this form and in those to probes. While `rest` is set to a list of values,
    it rejects requests with a Retry-After header for each of them.
    """

    def __init__(self, fleet, name, service="desk", zone="za", work_s=WORK_S):
        super().__init__(fleet, name, service, zone, self.work_by_form)
        self.work_s = work_s
        self.leaving = None
        self.rest = None
        self.rest_runs = False  # rejections do not say that nothing has run
        self.busy = 0
        self.probes = 0
        self.reached = []  # (time, request, requests there)
        self.told_leaving = []  # requests whose answer said so
        self.rests = []  # (time, request, values)

    def work_by_form(self, headers, path):
        del headers, path
        status = {"failure": 500, "no_content": 204}.get(self.leaving, 200)
        return self.work_s, status, b"done" if status == 200 else b""

    def says_leaving(self, method):
        return self.leaving is not None and (
            self.leaving != "head" or method == "HEAD")

    def extra_headers(self, method, request):
        if self.leaving == "informational" or not self.says_leaving(method):
            return []
        self.told_leaving.append(request)
        return LEAVING

    async def serve_one(self, line, headers, reader, writer, arrived):
        method, path, _ = line.split(" ")
        if path == "/healthz":
            self.probes += 1
            status, says = (503, LEAVING) if self.leaving else (200, [])
            writer.write(http_answer(
                status, b"", [("X-Instance-Id", self.name), *says], method))
            return
        if headers.get("x-expect-instance", self.name) != self.name:
            await super().serve_one(line, headers, reader, writer,
                                    arrived)  # 421
            return
        request = headers.get("x-request-id", "")
        self.busy += 1
        self.reached.append((arrived, request, self.busy))
        try:
            await self.serve_by_notice(line, headers, reader, writer,
                                       arrived)
        finally:
            self.busy -= 1

    async def serve_by_notice(self, line, headers, reader, writer,
                              arrived):
        method = line.split(" ")[0]
        request = headers.get("x-request-id", "")
        if self.rest is not None:
            self.reject(request, method, writer, self.rest)
        elif self.leaving == "rejection":
            self.reject(request, method, writer, [])
        else:
            if self.leaving == "informational":
                self.told_leaving.append(request)
                writer.write(b"HTTP/1.1 103 Early\r\n"
                             b"Server-Leaving: 1\r\n\r\n")
            await super().serve_one(line, headers, reader, writer, arrived)

    def reject(self, request, method, writer, values):
        headers = [("X-Request-Id", request), ("Keep-Alive", "timeout=10"),
                   *self.extra_headers(method, request)]
        if not self.rest_runs:
            headers.append(("X-Not-Executed", "1"))
        headers += [("Retry-After", value) for value in values]
        writer.write(http_answer(503, b"", headers, method))
        self.fleet.record(f"instance {self.name} rejects {request} {values}")
        if values:
            self.rests.append((time.monotonic(), request, values))


def seconds_of(values):
    """Returns how long the headers ask for, 0 if they say nothing."""
    known = [float(value) for value in values
             if value.replace(".", "", 1).isdigit()]
    return min(max(known, default=0.0), LONGEST_REST_S)


def machine_of(fleet, request):
    """Returns the proxy that got the request, and when it was sent."""
    return fleet.sent.get(request, (None, 0.0))


def leaving_told(fleet, instance):
    """Returns when each machine has passed on an answer that says so."""
    told = {}
    for request in instance.told_leaving:
        machine, _ = machine_of(fleet, request)
        if request in fleet.answered:
            at = fleet.answered[request]
            told[machine] = min(told.get(machine, at), at)
    return told


def rest_ends(fleet, instance):
    """Returns until when the instance wants nothing, by machine."""
    ends = {}
    for at, request, values in instance.rests:
        machine, _ = machine_of(fleet, request)
        if request in fleet.answered:
            ends[machine] = max(ends.get(machine, 0.0),
                                at + seconds_of(values))
    return ends


def first_return(fleet, instances, machine):
    """Returns when an instance first takes requests of the machine again, None
    if one has not told it to wait, infinity if all are leaving. The machines
    tell each other of a leaving."""
    first = float("inf")
    heard_by = time.monotonic() - REPORTED_WITHIN_S
    for instance in instances:
        told = leaving_told(fleet, instance)
        if machine in told or any(at < heard_by for at in told.values()):
            continue
        if machine not in (ends := rest_ends(fleet, instance)):
            return None
        first = min(first, ends[machine])
    return first


def sent_to_leaving(fleet, instance, after_s):
    """Returns the requests that consumers sent to a machine later than
    `after_s` after it had passed on that the instance is leaving."""
    told = leaving_told(fleet, instance)
    late = []
    for _, request, _ in instance.reached:
        machine, sent = machine_of(fleet, request)
        if machine in told and sent > told[machine] + after_s:
            late.append(request)
    return late


class Rests:
    """What reached an instance while machines were to send it nothing."""

    def __init__(self, fleet, instance):
        self.by_machine = collections.defaultdict(list)
        for at, request, _ in instance.reached:
            machine, _ = machine_of(fleet, request)
            self.by_machine[machine].append((at, request))
        self.in_rest = set()
        self.broken = 0  # rests with more requests than the rule allows
        self.count = 0
        self.last_end = 0.0
        for at, request, values in instance.rests:
            seconds = seconds_of(values)
            if seconds > 0:
                self._judge(machine_of(fleet, request)[0], at, seconds)

    def _judge(self, machine, at, seconds):
        reached = self.by_machine[machine]
        first = bisect.bisect_right(reached, (at + RESTS_AFTER_S, ""))
        last = bisect.bisect_left(reached, (at + seconds, ""))
        self.count += 1
        self.last_end = max(self.last_end, at + seconds)
        if first < last:
            self.in_rest.update(reached[first:last])
        self.broken += last - first > MOST_IN_A_REST


async def wait_until_said(instances, limit_s=8.0):
    """Waits until each instance has said once that it leaves or rests."""
    until = time.monotonic() + limit_s
    while silent := [one.name for one in instances
                     if not one.told_leaving and not one.rests]:
        if time.monotonic() > until:
            raise CannotRun(f"no request that lets them say so: {silent}")
        await asyncio.sleep(0.02)


def reached_since(instance, at):
    return any(one[0] > at for one in instance.reached)


async def wait_until_reached(instance, limit_s):
    """Returns how long it took until a request reached the instance, None if
    there was none in time."""
    started = time.monotonic()
    while time.monotonic() < started + limit_s:
        if reached_since(instance, started):
            return time.monotonic() - started
        await asyncio.sleep(0.02)
    return None
