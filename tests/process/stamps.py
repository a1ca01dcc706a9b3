"""Sockets that know when the kernel got what they read.

A stand-in on a busy machine reads a request long after it has reached it."""

import socket
import struct
import time

SO_TIMESTAMPNS = 35  # of Linux; the socket module does not name it
TIME = struct.Struct("qq")
_sockets = {}  # file number: the last socket that had it


class StampedSocket(socket.socket):
    """Listens, or reads from one connection."""

    arrived_s = 0.0  # of the last bytes read, on the wall clock

    def accept(self):
        accepted, remote = super().accept()
        stamped = StampedSocket(fileno=accepted.detach())
        _sockets[stamped.fileno()] = stamped
        return stamped, remote

    def recv(self, bufsize, flags=0):
        data, ancillary, _, _ = self.recvmsg(
            bufsize, socket.CMSG_SPACE(TIME.size), flags)
        self.arrived_s = next(
            (seconds + nanoseconds / 1e9
             for level, kind, value in ancillary
             if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS)
             for seconds, nanoseconds in [TIME.unpack(value)]), 0.0)
        return data


def listen(address, port=0):
    listener = StampedSocket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    listener.bind((address, port))
    return listener


def arrival(writer):
    """Returns when the last bytes read from a connection reached this machine,
    on the monotonic clock; now if the kernel has not said so."""
    number = writer.get_extra_info("socket").fileno()
    stamped = _sockets.get(number)
    if stamped is None or not stamped.arrived_s:
        return time.monotonic()
    return monotonic(stamped.arrived_s)


def monotonic(wall_s):
    return wall_s - time.time() + time.monotonic()
