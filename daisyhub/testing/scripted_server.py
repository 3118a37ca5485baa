"""An HTTP server that sends prepared bytes, one reply a request."""

import asyncio
import contextlib
import re
from collections.abc import Callable

from daisyhub.settings import Address

__all__ = ["ScriptedServer", "make_response"]

_LENGTH = re.compile(rb"(?i)content-length: *(\d+)")


def make_response(
    status: int, *, request_id: str = "", fields: str = "", body: bytes = b""
) -> bytes:
    """Returns the bytes of a complete response.

    Args:
        status: HTTP status.
        request_id: Value of the request id header; empty for no header.
        fields: Further header lines, each with its line end.
        body: The body.
    """
    if request_id:
        fields += f"daisyhub-request-id: {request_id}\r\n"
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n{fields}\r\n"
    return head.encode() + body


class ScriptedServer:
    """Listens on loopback; sends the next reply once it read a request.

    Args:
        replies: Bytes to send for each request, in the order of the requests;
            the last is repeated. The connection is closed after a reply of
            None, or after the bytes in a reply that is a list of one element.

    Attributes:
        address: Address of the listener, once started.
        requests: Heads of the requests read so far.
        connections: Number of connections accepted so far.
        on_request: Called when a request was read.
    """

    def __init__(self, *replies: bytes | list[bytes] | None):
        self._replies = list(replies)
        self._tasks: set[asyncio.Task] = set()
        self.requests: list[bytes] = []
        self.connections = 0
        self.on_request: Callable[[], None] = lambda: None

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(ip="127.0.0.1", port=port)

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def next_reply(self, head: bytes) -> bytes | list[bytes] | None:
        """Returns the reply to the request with this head, the latest one."""
        number = min(len(self.requests), len(self._replies)) - 1
        return self._replies[number]

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        self.connections += 1
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while await self._answer(reader, writer):
                pass
        writer.close()

    async def _answer(self, reader, writer) -> bool:
        """Reads a request and replies; returns whether to go on."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = _LENGTH.search(head)
        if length is not None:
            await reader.readexactly(int(length[1]))
        self.requests.append(head)
        self.on_request()
        reply = self.next_reply(head)
        if reply is None:
            return False
        is_last = isinstance(reply, list)
        writer.write(reply[0] if is_last else reply)
        await writer.drain()
        return not is_last
