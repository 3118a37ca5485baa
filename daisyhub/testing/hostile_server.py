"""An HTTP server with late, truncated, misplaced, malformed or no responses.

The path of a request, `/<id>/<behaviour>`, selects how the server responds.
The body is derived from the id, so that a test detects the response of another
request.
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
    """Returns the body of a request's valid response, if it has one.

    The size varies with the length of the id.
    """
    return f"<{request_id}>".encode() * (1 + len(request_id) * 37 % 400)


class HostileServer:
    """Listens on loopback and records how clients reuse connections.

    Attributes:
        unsafe_reuses: Paths of requests on a connection whose last response
            was missing or invalid, so that the client had to close it.
        reused_ids: Ids of requests that weren't the first on their connection.
        connections: Number of connections accepted so far.
    """

    def __init__(self):
        self.unsafe_reuses: list[str] = []
        self.reused_ids: set[str] = set()
        self.connections = 0
        self._silenced_connections: set[int] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> int:
        """Starts listening and returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Stops all responses on the connections accepted so far."""
        self._silenced_connections = set(range(1, self.connections + 1))

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        self.connections += 1
        connection_number, request_count, is_unusable = (
            self.connections,
            0,
            False,
        )
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, path, _ = head.decode().split(" ", 2)
                _, request_id, behaviour = path.split("/")
                request_count += 1
                if request_count > 1:
                    self.reused_ids.add(request_id)
                if is_unusable:
                    self.unsafe_reuses.append(path)
                if (
                    connection_number in self._silenced_connections
                    or behaviour == "silent"
                ):
                    is_unusable = True
                    continue
                # With "extra_late" the client may send its next request before
                # the extra bytes arrive.
                is_unusable = behaviour not in (
                    *VALID_BEHAVIOURS,
                    "extra_late",
                )
                if not await self._respond(
                    writer, method, request_id, behaviour
                ):
                    break
        writer.close()

    async def _respond(self, writer, method, request_id, behaviour) -> bool:
        """Responds to one request; returns whether to keep the connection."""
        parts = _response_parts(method, request_id, behaviour)
        if behaviour == "late":
            await asyncio.sleep(_PAUSE_S)
        for part in parts:
            writer.write(part)
            await writer.drain()
            if len(parts) > 1:
                await asyncio.sleep(_PAUSE_S / 3)
        return behaviour not in ("close", "cut", "cut_chunked", "no_length")


def _response_parts(
    method: str, request_id: str, behaviour: str
) -> list[bytes]:
    body = expected_body(request_id)
    half = len(body) // 2
    complete = _valid_response(method, request_id, body)
    chunked = _head(request_id, "transfer-encoding: chunked")
    chunks = [_chunk(body[:half]), _chunk(body[half:])]
    length = f"content-length: {len(body)}"
    foreign = _valid_response(method, "other", b"stolen")
    return {
        "chunked": [chunked, *chunks, b"0\r\n\r\n"],
        "inform": [b"HTTP/1.1 103 Early Hints\r\n\r\n", complete],
        "empty": [_head(request_id, "x: y", "204 No Content")],
        "unchanged": [_head(request_id, length, "304 Not Modified")],
        "close": [_head(request_id, length + "\r\nconnection: close") + body],
        "extra": [complete + foreign],
        "extra_late": [complete, foreign],
        "crossed": [foreign],
        "cut": [_head(request_id, length), body[:half]],
        "cut_chunked": [chunked, *chunks],
        "no_length": [_head(request_id, "x: y") + body],
        "garbage": [b"<html>\r\n\r\n"],
        "two_lengths": [
            _head(request_id, length + "\r\ncontent-length: 1") + body
        ],
    }.get(behaviour, [complete])


def _valid_response(method: str, request_id: str, body: bytes) -> bytes:
    head = _head(request_id, f"content-length: {len(body)}")
    return head if method == "HEAD" else head + body


def _head(request_id: str, fields: str, status: str = "200 OK") -> bytes:
    return (
        f"HTTP/1.1 {status}\r\ndaisyhub-request-id: {request_id}\r\n"
        f"{fields}\r\n\r\n"
    ).encode()


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
