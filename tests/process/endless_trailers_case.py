"""Clients send trailers without end behind a short chunked body, as many lines
or as one line.

Guards against trailers that are read without a limit: the process ended by
memory exhaustion. Claim: its memory stays within memory-mb, and an ordinary
request is served. Excuse: none.
"""

import itertools

import crowd
import standin

MEMORY_MB = 48
CLIENTS = 8
HEADER = "Transfer-Encoding: chunked"
BODY = b"5\r\nhello\r\n0\r\n"
LINES = b"".join(b"X-Trailer-%d: %s\r\n" % (number, b"v" * 40)
                 for number in range(1000))


def lines(_):
    return itertools.chain([BODY], itertools.repeat(LINES))


def one_line(_):
    return itertools.chain([BODY, b"X-Trailer: "],
                           itertools.repeat(b"v" * 65536))


async def case(make):
    forms = [crowd.Form("many lines", CLIENTS, HEADER, lines),
             crowd.Form("one line", CLIENTS, HEADER, one_line)]
    return await crowd.run_forms(make, forms, MEMORY_MB, 1048576)


standin.main(__file__, case, limit_s=200)
