"""A server that answers late, crossed, cut, with extra bytes, or never.

The path of a request, `/<id>/<behaviour>`, tells how to answer it. Bodies
are worked out from the id, so that a test can tell whose answer it got.
"""

import asyncio
import contextlib

__all__ = ["BEHAVIOURS", "VALID_BEHAVIOURS", "HostileServer", "expected_body"]

VALID_BEHAVIOURS = (
    "ok",
    "chunked",
    "late",
    "inform",
    "empty",
    "unchanged",
    "close",
)
BEHAVIOURS = (
    *VALID_BEHAVIOURS,
    *("extra", "extra_late", "crossed", "cut", "cut_chunked"),
    *("no_length", "silent", "garbage", "two_lengths"),
)
_PAUSE_S = 0.003


def expected_body(request_id: str) -> bytes:
    """Returns the right content for a request."""
    return f"<{request_id}>".encode() * (1 + len(request_id) * 37 % 400)


class HostileServer:
    """Listens on loopback; notes what clients do wrong.

    Attributes:
        faults: Requests on a connection that was in doubt.
        reused: Requests that weren't the first on their connection.
    """

    def __init__(self):
        self.unsafe_reuses: list[str] = []
        self.reused_ids: set[str] = set()
        self.connections = 0
        self._silent: set[int] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> int:
        """Starts to listen; returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Ends all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Makes all connections that are open now silent for good."""
        self._silent = set(range(1, self.connections + 1))

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        self.connections += 1
        number, count, is_doubtful = self.connections, 0, False
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, path, _ = head.decode().split(" ", 2)
                _, request_id, behaviour = path.split("/")
                count += 1
                if count > 1:
                    self.reused_ids.add(request_id)
                if is_doubtful:
                    self.unsafe_reuses.append(path)
                if number in self._silent or behaviour == "silent":
                    is_doubtful = True
                    continue
                is_doubtful = behaviour not in (*VALID_BEHAVIOURS, "extra_late")
                if not await self._answer(
                    writer, method, request_id, behaviour
                ):
                    break
        writer.close()

    async def _answer(self, writer, method, request_id, behaviour) -> bool:
        """Answers one request; returns whether the connection stays."""
        parts = _answer_parts(method, request_id, behaviour)
        if behaviour == "late":
            await asyncio.sleep(_PAUSE_S)
        for part in parts:
            writer.write(part)
            await writer.drain()
            if len(parts) > 1:
                await asyncio.sleep(_PAUSE_S / 3)
        return behaviour not in ("close", "cut", "cut_chunked", "no_length")


def _answer_parts(method: str, request_id: str, behaviour: str) -> list[bytes]:
    body = expected_body(request_id)
    half = len(body) // 2
    whole = _plain(method, request_id, body)
    chunked = _head(request_id, "transfer-encoding: chunked")
    chunks = [_chunk(body[:half]), _chunk(body[half:])]
    length = f"content-length: {len(body)}"
    stolen = _plain(method, "other", b"stolen")
    return {
        "chunked": [chunked, *chunks, b"0\r\n\r\n"],
        "inform": [b"HTTP/1.1 103 Early Hints\r\n\r\n", whole],
        "empty": [_head(request_id, "x: y", "204 No Content")],
        "unchanged": [_head(request_id, length, "304 Not Modified")],
        "close": [_head(request_id, length + "\r\nconnection: close") + body],
        "extra": [whole + stolen],
        "extra_late": [whole, stolen],
        "crossed": [stolen],
        "cut": [_head(request_id, length), body[:half]],
        "cut_chunked": [chunked, *chunks],
        "no_length": [_head(request_id, "x: y") + body],
        "garbage": [b"<html>\r\n\r\n"],
        "two_lengths": [
            _head(request_id, length + "\r\ncontent-length: 1") + body
        ],
    }.get(behaviour, [whole])


def _plain(method: str, request_id: str, body: bytes) -> bytes:
    head = _head(request_id, f"content-length: {len(body)}")
    return head if method == "HEAD" else head + body


def _head(request_id: str, fields: str, status: str = "200 OK") -> bytes:
    return (
        f"HTTP/1.1 {status}\r\ndaisyhub-request-id: {request_id}\r\n"
        f"{fields}\r\n\r\n"
    ).encode()


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
