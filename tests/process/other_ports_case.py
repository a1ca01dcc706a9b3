"""Many clients send large bodies to the ports that are not for callers: those
for readiness, control and metrics, and the inner port of the product's own
interface. None of them has the fleet's key.

Guards against bodies that are read before it is known who sends them: the
process ended by memory exhaustion. Claim: its memory stays within memory-mb, and
an ordinary request is served. Excuse: none.
"""

import itertools

import crowd
import standin

MEMORY_MB = 64
CLIENTS = 100
BODY_BYTES = 1048576
MISSING_BYTES = 10
READY, CONTROL, METRICS = 1, 2, 4  # on the users' platform
INNER = 1  # on the product's own interface
BODY = memoryview(b"b" * (BODY_BYTES - MISSING_BYTES))
CHUNK = b"8000\r\n%s\r\n" % (b"b" * 32768)
TRAILERS = b"5\r\nhello\r\n0\r\n"
LENGTH = f"Content-Length: {BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"


def whole(_):
    yield BODY


def chunks(_):
    return itertools.repeat(CHUNK, BODY_BYTES // 32768)


def trailers(_):
    return itertools.chain([TRAILERS], itertools.repeat(b"X-T: v\r\n" * 8192))


def forms_at(name, port):
    return [crowd.Form(f"{name}, whole", CLIENTS, LENGTH, whole, port),
            crowd.Form(f"{name}, chunks", CLIENTS, CHUNKED, chunks, port),
            crowd.Form(f"{name}, trailers", 8, CHUNKED, trailers, port)]


async def case(make):
    forms = [*forms_at("ready", READY), *forms_at("control", CONTROL),
             *forms_at("metrics", METRICS)]
    fleet = await crowd.start_nodes(make, len(forms), MEMORY_MB, BODY_BYTES)
    broken = await crowd.run_on(fleet, forms, MEMORY_MB)
    broken += await crowd.run_on_own(fleet, forms_at("inner", INNER),
                                     MEMORY_MB)
    return bool(broken)


standin.main(__file__, case, limit_s=220)
