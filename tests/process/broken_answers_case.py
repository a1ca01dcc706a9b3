"""Instances send answers that are broken: a part that a reset ends while the
upload is still being written, a status that is none, a name of a field that is
no token.

Claim: MIXED holds: no caller gets such an answer, or a part of it, as an
answer; an unsafe request reaches one instance once, and is not said not to have
run. Sound answers of an unusual form are passed on. Excuse: none.

Each form is sent on the users' platform, then on the product's own interface,
there by both of two nodes, so that some requests are forwarded.
"""

import asyncio
import collections

import own_interface
import standin
from broken_instance import BrokenInstance, End, Form

BODY_BYTES = 8 << 20
OWN_BODY_BYTES = 1 << 20  # the interface's limit
REACHED = 8  # requests of each form that an instance gets
TRIES = 40
PART = b"hello wor"
FAILED = 502
TOKEN = b"X-!#$%&'*+-.^_`|~09azAZ"


def head(request, lines=b"", first=b"HTTP/1.1 200 OK"):
    return (first + b"\r\nX-Request-Id: " + request + b"\r\nX-Response-Seal: "
            b"broken." + request + b"\r\n" + lines + b"\r\n")


def unframed(first=b"HTTP/1.1 200 OK", lines=b"", part=PART):
    return lambda request: head(request, lines, first) + part


def framed(first=b"HTTP/1.1 200 OK", line=b"", before=b""):
    return lambda request: before + head(
        request, line + b"Content-Length: 9\r\n", first) + PART


def chunked(trailer):
    return lambda request: head(
        request, b"Transfer-Encoding: chunked\r\n"
    ) + b"9\r\n" + PART + b"\r\n0\r\n" + trailer + b"\r\n"


def resets():
    for end in (End.RESET, End.CLOSE):
        for pause_s in (0.0, 0.02, 0.3):
            yield Form(f"{end.value} after {pause_s} s", unframed(), end,
                       pause_s, body_bytes=BODY_BYTES)
        yield Form(f"{end.value}, empty part", unframed(part=b""), end, 0.02,
                   body_bytes=BODY_BYTES)
        yield Form(f"{end.value}, long part", unframed(part=PART * 20000), end,
                   0.02, body_bytes=BODY_BYTES)
        for megabytes in (1, 4):
            yield Form(f"{end.value}, {megabytes} MB", unframed(), end,
                       body_bytes=megabytes << 20)
        for first in (b"HTTP/1.1 201 Created", b"HTTP/1.1 404 Not Found",
                      b"HTTP/1.0 200 OK"):
            yield Form(f"{end.value}, {first.decode()}", unframed(first), end,
                       0.02, body_bytes=BODY_BYTES)


def statuses():
    for status in (b"000", b"099", b"0200", b"2x0"):
        yield Form(f"status {status.decode()}",
                   framed(b"HTTP/1.1 " + status + b" Word"))


def field_names():
    for name in (b"X Odd", b"X-Odd ", b" X-Odd", b"X-Odd\t", b"X\x01Odd",
                 b"X\x7fOdd", b"X\0Odd", b"Content-Length ",
                 b"Transfer-Encoding\t"):
        line = name + b": 4\r\n"
        yield Form(f"name {name!r}",
                   lambda request, line=line: b"HTTP/1.1 200 OK\r\n" + line +
                   framed()(request).partition(b"\r\n")[2])
        yield Form(f"name {name!r} in 103", framed(
            before=b"HTTP/1.1 103 Early Hints\r\n" + line + b"\r\n"))
        yield Form(f"name {name!r} in a trailer", chunked(line))


def sound_forms():
    yield Form("close after the whole upload", unframed(), End.CLOSE,
               reads_first=True, body_bytes=BODY_BYTES, is_sound=True)
    yield Form("half-close", unframed(), End.HALF_CLOSE, 0.02,
               body_bytes=BODY_BYTES, is_sound=True)
    yield Form("early, with a length", framed(), body_bytes=BODY_BYTES,
               is_sound=True)
    yield Form("early, in chunks", chunked(b""), body_bytes=BODY_BYTES,
               is_sound=True)
    yield Form("token names", framed(line=TOKEN + b": 4\r\n"), is_sound=True)
    yield Form("token names in a trailer", chunked(TOKEN + b": 4\r\n"),
               is_sound=True)


class Judge:
    """Sends the forms and counts what their callers got."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.is_broken = False

    @staticmethod
    def is_right(form, consumer):
        """The product's own interface names no request in a failure."""
        headers, body = consumer.got or ({}, b"")
        if form.is_sound:
            return consumer.status == 200 and body == PART
        return consumer.status == FAILED and "x-response-seal" not in headers

    async def send(self, form, instance, path, body_bytes):
        body = b"u" * body_bytes
        results, wrong, reached = collections.Counter(), 0, 0
        for number in range(TRIES):
            if reached == REACHED:
                break
            proxy = self.fleet.proxies[number % len(self.fleet.proxies)]
            consumer = standin.Consumer(self.fleet, proxy)
            await consumer.call("PUT", path, body)
            arrivals = instance.requests.count(consumer.request)
            if arrivals:
                reached += 1
                results[str(consumer.status)] += 1
                is_right = arrivals == 1 and self.is_right(form, consumer)
                wrong += 0 if is_right else 1
            consumer.drop()
        if reached < REACHED:
            raise standin.CannotRun(
                f"{form.name}: {reached} requests reached the instance")
        self.is_broken = self.is_broken or wrong > 0
        print(f"{self.name}, {form.name}: {'broken' if wrong else 'held'}, "
              f"{dict(results)}", flush=True)


def all_forms():
    return [*resets(), *statuses(), *field_names(), *sound_forms()]


async def run_on_platform(make):
    fleet = make(["za"])
    fleet.limits["max_body_bytes"] = BODY_BYTES
    await fleet.store.start()
    forms = all_forms()
    for number, form in enumerate(forms):
        instance = BrokenInstance(fleet, f"i-{number}", f"s{number}", form)
        await instance.start()
        await instance.announce()
        fleet.instances.append(instance)
    await fleet.put_config(
        [standin.route(f"r{number}", "unsafe", f"s{number}")
         for number in range(len(forms))],
        [f"s{number}" for number in range(len(forms))])
    await fleet.start()
    beats = asyncio.ensure_future(fleet.heartbeats())
    judge = Judge(fleet, "platform")
    for number, form in enumerate(forms):
        await judge.send(form, fleet.instances[number], f"/r{number}/x",
                         form.body_bytes)
    beats.cancel()
    return fleet, judge.is_broken


async def run_on_own(other):
    """All forms are sent by one instance, one after the other."""
    fleet = own_interface.OwnFleet(other, 2)
    instance = BrokenInstance(fleet, "i-own", "box", None)
    await instance.start()
    fleet.instances.append(instance)
    await fleet.start()
    judge = Judge(fleet, "own interface")
    for form in all_forms():
        # An answer without a length is never whole there.
        if form.is_sound and form.end != End.KEEP:
            form.is_sound = False
        instance.form = form
        instance.requests.clear()
        await judge.send(form, instance, "/box/x",
                         min(form.body_bytes, OWN_BODY_BYTES))
    return judge.is_broken


async def case(make):
    fleet, is_broken = await run_on_platform(make)
    return await run_on_own(fleet) or is_broken


standin.main(__file__, case, limit_s=200)
