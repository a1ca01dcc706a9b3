"""Many clients send a body of the largest legal size at once, whole or in
pieces. Most stop just before its end and keep the connection open.

Guards against bodies that are bounded one by one but not in sum: the process
ended by memory exhaustion. Claim: its memory stays within memory-mb, and an
ordinary request is served while these connections are open. Excuse: none.
"""

import crowd
import standin

MEMORY_MB = 64
CLIENTS = 100
BODY_BYTES = 1048576
PIECE_BYTES = 8192
MISSING_BYTES = 10  # of a body that stops
HEADER = f"Content-Length: {BODY_BYTES}"
BODY = memoryview(b"b" * BODY_BYTES)


def whole(completes):
    yield BODY if completes else BODY[:-MISSING_BYTES]


def in_pieces(completes):
    end = BODY_BYTES - (0 if completes else MISSING_BYTES)
    for start in range(0, end, PIECE_BYTES):
        yield BODY[start:min(start + PIECE_BYTES, end)]


async def case(make):
    forms = [crowd.Form("whole", CLIENTS, HEADER, whole),
             crowd.Form("in pieces", CLIENTS, HEADER, in_pieces)]
    return await crowd.run_forms(make, forms, MEMORY_MB, BODY_BYTES)


standin.main(__file__, case, limit_s=200)
