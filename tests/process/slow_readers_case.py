"""Many clients ask for long answers and read nothing: one request each, or
many on a connection.

Guards against answers that are held until slow callers read them, and against
requests that pile up behind them: the process ended by memory exhaustion. Claim:
its memory stays within memory-mb, and a caller that reads gets its answer. Excuse:
none.
"""

import crowd
import standin

MEMORY_MB = 64
CLIENTS = 100
ANSWER = b"d" * 524288
PIPELINED = 40  # on a connection
REQUEST = (f"PUT /box/more HTTP/1.1\r\nHost: {standin.HOST}\r\n"
           "X-Request-Id: more\r\nX-Deadline-Ms: 9000\r\n"
           "Content-Length: 0\r\n\r\n").encode()


def one(_):
    return ()


def pipelined(_):
    return [REQUEST] * PIPELINED


FORMS = [crowd.Form("one request", CLIENTS, "Content-Length: 0", one,
                    completes=1),
         crowd.Form("pipelined", CLIENTS, "Content-Length: 0", pipelined,
                    completes=1)]


async def case(make):
    return await crowd.run_forms(make, FORMS, MEMORY_MB, 1048576, ANSWER)


standin.main(__file__, case, limit_s=200)
