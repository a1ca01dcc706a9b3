"""Clients send bodies far over the limit: announced by a length, or just sent
in chunks. A client that is closed connects again.

Guards against bytes that were received but not read, which no budget counts:
the process had more than its memory. Claim: its memory with these bytes stays
within memory-mb, and an ordinary request is served. Excuse: none.
"""

import itertools

import crowd
import standin

MEMORY_MB = 64
CLIENTS = 200
BODY_BYTES = 1048576
FOR_S = 6
PIECE = b"b" * 65536
CHUNK = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)


def announced(_):
    return itertools.repeat(PIECE)


def just_sent(_):
    return itertools.repeat(CHUNK)


FORMS = [crowd.Form("announced", CLIENTS, f"Content-Length: {1 << 40}",
                    announced, for_s=FOR_S),
         crowd.Form("just sent", CLIENTS, "Transfer-Encoding: chunked",
                    just_sent, for_s=FOR_S)]


async def case(make):
    return await crowd.run_forms(make, FORMS, MEMORY_MB, BODY_BYTES)


standin.main(__file__, case, limit_s=200)
