"""Starts, watches and ends the processes of a run, each by its own id."""

import signal
import socket
import subprocess
import time

FIRST_PORT = 10_000
LAST_PORT = 32_000
END_TIMEOUT_S = 5


def find_ports(count):
    """Returns the first of `count` consecutive ports that are all free."""
    for first in range(FIRST_PORT, LAST_PORT - count, count):
        if all(is_free(port) for port in range(first, first + count)):
            return first
    raise RuntimeError(f"no {count} consecutive ports are free")


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class Processes:
    """The processes of a run; all of them end with it."""

    def __init__(self, directory):
        self.directory = directory
        self.running = {}

    def start(self, name, command):
        """Starts a process whose output goes to a file of its name."""
        output = open(self.directory / f"{name}.log", "ab")
        process = subprocess.Popen(
            [str(word) for word in command], stdout=output,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        output.close()
        self.running[name] = process
        return process

    def wait_for_line(self, name, prefix, timeout_s=10):
        """Waits until a line of the output starts with `prefix`."""
        path = self.directory / f"{name}.log"
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            for line in path.read_text(errors="replace").splitlines():
                if line.startswith(prefix):
                    return line
            if self.running[name].poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{name}: no line {prefix!r}; see {path}")

    def signal(self, name, number):
        process = self.running[name]
        if process.poll() is None:
            process.send_signal(number)

    def end(self, name, timeout_s=30):
        """Asks a process to end; returns its exit code, None if it had to be
        killed."""
        process = self.running.pop(name)
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        try:
            return process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    def kill(self, name):
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def end_all(self):
        """Ends what still runs, by force if need be."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + END_TIMEOUT_S
        for process in self.running.values():
            try:
                process.wait(max(0.0, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.running.clear()
