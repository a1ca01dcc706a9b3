"""Runs a process on an allotment of processor time, as DEPLOY.md describes:
at full speed until the share of a tenth of a second is used up, then not at
all for the rest of that tenth.

Usage: allotment.py PID SHARE
"""

import os
import signal
import sys
import time

WINDOW_S = 0.1


def used_s(pid):
    """Returns the processor time of a process; OSError if it has ended."""
    process_clock = ~pid << 3 | 2  # as clock_getcpuclockid() makes it
    return time.clock_gettime(process_clock)


def main(pid, share):
    windows = stops = 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    try:
        while True:
            end = time.monotonic() + WINDOW_S
            limit = used_s(pid) + share * WINDOW_S
            windows += 1
            while time.monotonic() < end:
                if used_s(pid) >= limit:
                    stops += 1
                    os.kill(pid, signal.SIGSTOP)
                    time.sleep(max(0.0, end - time.monotonic()))
                    os.kill(pid, signal.SIGCONT)
                    break
                time.sleep(0.001)
    except (OSError, IndexError, SystemExit):
        try:
            os.kill(pid, signal.SIGCONT)
        except OSError:
            pass
    print(f"allotment used up in {stops} of {windows} tenths of a second")


main(int(sys.argv[1]), float(sys.argv[2]))
