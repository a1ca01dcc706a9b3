"""Many clients send a chunked body of the largest legal size at once, in large
chunks or in chunks of one byte. Most stop just before its end and keep the
connection open.

Guards against bodies of unknown length that are bounded one by one but not in
sum, and against a framing that is held beside the body: the process ended by
memory exhaustion. Claim: its memory stays within memory-mb, and an ordinary
request is served while these connections are open. Excuse: none.
"""

import crowd
import standin

MEMORY_MB = 48
CLIENTS = 200
BODY_BYTES = 262144
CHUNK_BYTES = 32768
HEADER = "Transfer-Encoding: chunked"
LAST_CHUNK = b"0\r\n\r\n"
CHUNK = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"b" * CHUNK_BYTES)
ONE_BYTE = b"1\r\nb\r\n" * 8192


def large_chunks(completes):
    for _ in range(BODY_BYTES // CHUNK_BYTES):
        yield CHUNK
    if completes:
        yield LAST_CHUNK


def chunks_of_one_byte(completes):
    for _ in range(BODY_BYTES // 8192):
        yield ONE_BYTE
    if completes:
        yield LAST_CHUNK


async def case(make):
    forms = [crowd.Form("large chunks", CLIENTS, HEADER, large_chunks),
             crowd.Form("chunks of one byte", CLIENTS, HEADER,
                        chunks_of_one_byte)]
    return await crowd.run_forms(make, forms, MEMORY_MB, BODY_BYTES)


standin.main(__file__, case, limit_s=200)
