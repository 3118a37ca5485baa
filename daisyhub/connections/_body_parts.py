"""Reads the body of a response in parts, whatever the size of its chunks.

A chunk costs as much to parse and to pass on if it has one byte as if it has
many. Chunks that arrived together are therefore joined into one part, and a
long run of small ones is parsed in slices, which together take a bounded share
of the event loop; see `WorkShare`.
"""

import time
from collections.abc import AsyncIterator

import anyio
import h11
import httpcore

from daisyhub.connections._connection import Connection
from daisyhub.work_share import WorkShare

__all__ = ["read_parts"]

# Size of a read from the network, in bytes.
_READ_BYTES = 1 << 16
# Chunks of one read after which a slice ends, if their mean size is below
# `_SMALL_CHUNK_BYTES`. A stream of a model engine has one or a few events in a
# read; larger chunks take a few milliseconds for a whole read.
_SLICE_CHUNKS = 64
_SMALL_CHUNK_BYTES = 512
# Share of the loop for such slices: the rest is left to other requests.
_SLICES = WorkShare(0.25)


async def read_parts(conn: Connection) -> AsyncIterator[bytes]:
    """Yields the body of the current response; returns after a whole one.

    Each part has what one read of the network brought, or less.

    Args:
        conn: A connection on which the head of a response was received.

    Raises:
        httpcore.NetworkError: The connection failed.
        httpcore.RemoteProtocolError: The body is cut short or malformed.
    """
    part = bytearray()
    chunks = 0
    started_s = time.monotonic()
    while True:
        event = _next_event(conn)
        if isinstance(event, h11.Data):
            part += event.data
            chunks += 1
            if chunks < _SLICE_CHUNKS:
                continue
            is_small = len(part) < chunks * _SMALL_CHUNK_BYTES
            chunks = 0
            if not is_small:
                continue
            now_s = time.monotonic()
            wait_s = _SLICES.add(now_s - started_s, now_s)
            yield bytes(part)
            part.clear()
            await anyio.sleep(wait_s)
            started_s = time.monotonic()
            continue
        if part:
            yield bytes(part)
            part.clear()
        if event is not h11.NEED_DATA:
            return
        # An empty read is the end of the connection, as h11 expects it.
        conn.parser.receive_data(await conn.read(_READ_BYTES))
        chunks = 0
        started_s = time.monotonic()


def _next_event(conn: Connection) -> object:
    try:
        return conn.parser.next_event()
    except h11.RemoteProtocolError as exc:
        raise httpcore.RemoteProtocolError(str(exc)) from exc
