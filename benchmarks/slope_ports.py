"""Unused ports outside the range of outgoing connections."""

import contextlib
import itertools
import os
import socket

__all__ = ["free_ports"]

_FIRST_PORT = 30_000
_PORTS = 2_500
_LOOPBACK = "127.0.0.1"

_offsets = itertools.count(os.getpid() * 61)


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens on, never one twice in a row."""
    found = []
    while len(found) < count:
        port = _FIRST_PORT + next(_offsets) % _PORTS
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((_LOOPBACK, port))
            found.append(port)
    return found
