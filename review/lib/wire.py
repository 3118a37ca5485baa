"""A small HTTP/1.1 server and client side for the stand-ins."""

import asyncio
import dataclasses
import urllib.parse

__all__ = ["Answer", "Request", "call", "read_request", "write_answer"]

_REASONS = {200: "OK", 201: "Created", 202: "Accepted"}


@dataclasses.dataclass(slots=True)
class Request:
    """A request as a stand-in received it; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query's parameters."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client got; status 0 if the channel ended without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True


async def _read_head(reader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader, headers: dict[str, str]) -> bytes:
    """Reads a body that has a length or comes in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader) -> Request | None:
    """Returns the next request of a channel; None at its end."""
    found = await _read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(" ", 2)
    return Request(method, target, headers, await _read_body(reader, headers))


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def write_answer(
    writer, status: int, headers: dict[str, str], body: bytes
) -> None:
    """Writes an answer with a length."""
    sized = {**headers, "Content-Length": str(len(body))}
    writer.write(encode_head(status, sized) + body)
    await writer.drain()


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Sends a request on a new channel; returns what came back."""
    writer = None
    answer = Answer(0, {}, b"", is_whole=False)
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            sized = {"Content-Length": str(len(body)), **(headers or {})}
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in sized.items()]
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode("latin-1") + body)
            found = await _read_head(reader)
            if found is None:
                return answer
            answer.status = int(found[0].split(" ")[1])
            answer.headers = found[1]
            answer.body = await _read_body(reader, found[1])
            answer.is_whole = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer
