"""Finds unused loopback ports outside of the ephemeral port range."""

import contextlib
import itertools
import os
import socket

__all__ = ["free_ports"]

# The range ends below 32,768, the first ephemeral port of Linux by default.
_FIRST_PORT = 30_000
_PORT_COUNT = 2_500
_LOOPBACK = "127.0.0.1"

_port_offsets = itertools.count(os.getpid() * 61)


def free_ports(count: int) -> list[int]:
    """Returns ports on which nothing listens.

    The search starts at an offset that depends on the process id and continues
    where the previous call stopped, so that ports aren't reused immediately.
    """
    ports = []
    while len(ports) < count:
        port = _FIRST_PORT + next(_port_offsets) % _PORT_COUNT
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((_LOOPBACK, port))
            ports.append(port)
    return ports
