"""Reads and writes HTTP/1.1 messages for the stand-ins of a case."""

import asyncio
import dataclasses
import json

OK = 200
ACCEPTED = 202


@dataclasses.dataclass
class Request:
    """A request that a stand-in has read.

    Attributes:
        method: Its method.
        target: Its path and query as sent.
        headers: Its headers, names in lower case.
        body: Its body.
    """

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
        """The values of the query by name."""
        text = self.target.partition("?")[2]
        pairs = [part.partition("=") for part in text.split("&") if part]
        return {name: value for name, _, value in pairs}

    def json(self):
        """Returns the decoded body."""
        return json.loads(self.body)


async def read_head(reader) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader, headers: dict[str, str]) -> bytes:
    """Returns the body that headers announce."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader) -> Request | None:
    """Returns the next request of a channel; None at its end."""
    try:
        first, headers = await read_head(reader)
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    method, target, _ = first.split(" ", 2)
    return Request(method, target, headers, body)


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Returns a whole answer with a length."""
    fields = {**(headers or {}), "Content-Length": str(len(body))}
    return encode_head(status, fields) + body


def encode_json(status: int, value) -> bytes:
    """Returns a whole answer with a JSON body."""
    body = json.dumps(value).encode()
    return encode_answer(status, body, {"Content-Type": "application/json"})


@dataclasses.dataclass
class Answer:
    """An answer that a client has read whole.

    Attributes:
        status: Its status.
        headers: Its headers, names in lower case.
        body: Its body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
    kept_s: float = 0.0,
) -> Answer | None:
    """Sends a request on a new channel; returns None without an answer.

    The channel is kept for some seconds after the answer.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 22
            )
            fields = {**headers, "Content-Length": str(len(body))}
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, found = await read_head(reader)
            content = await read_body(reader, found)
            await asyncio.sleep(kept_s)
            return Answer(int(first.split(" ")[1]), found, content)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
