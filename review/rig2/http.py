"""A small HTTP/1.1 server and client for stand-ins, over asyncio streams."""

import asyncio
import contextlib
import dataclasses
import json
import os
import urllib.parse

# A loopback address for each run, by its process id, so that no two runs at one
# time share a port.
LOOPBACK = ".".join(
    str(part)
    for part in (127, *((64 << 16) + os.getpid() % (1 << 22)).to_bytes(3))
)


@dataclasses.dataclass
class Call:
    """A request that a stand-in received.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        headers: Values by name in lower case.
        body: The body, decoded if it was chunked.
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
        """The query's parameters; the last value of each name."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text))


@dataclasses.dataclass
class Answer:
    """An answer; `events` are sent as chunks with a pause before each."""

    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    events: list[bytes] | None = None
    pause_s: float = 0.0


def json_answer(value: object, status: int = 200) -> Answer:
    """Returns an answer with a JSON body."""
    headers = {"content-type": "application/json"}
    return Answer(status, headers, json.dumps(value).encode())


async def read_head(reader) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers: dict[str, str]) -> bytes:
    """Returns the body that the headers announce; empty without one."""
    if "chunked" not in headers.get("transfer-encoding", "").lower():
        length = int(headers.get("content-length", 0))
        return await reader.readexactly(length)
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


async def serve(handle, reader, writer) -> None:
    """Serves one connection; `handle` gets a `Call`, returns an `Answer`.

    The call is cancelled when the client closes the connection. Without an
    answer (None) the connection is closed.
    """
    try:
        while True:
            first, headers = await read_head(reader)
            method, target, _ = first.split(" ", 2)
            body = await read_body(reader, headers)
            call = Call(method, target, headers, body)
            if not await _answer(handle, call, reader, writer):
                return
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return
    finally:
        writer.close()


async def _answer(handle, call, reader, writer) -> bool:
    """Handles one call; returns whether the connection stays open."""
    task = asyncio.create_task(handle(call))
    watch = asyncio.create_task(_wait_for_close(reader))
    try:
        await asyncio.wait((task, watch), return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            return False
        answer = task.result()
        if answer is None:
            return False
        await _send(answer, writer, watch)
        return not watch.done()
    finally:
        for each in (task, watch):
            each.cancel()
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await watch


async def _wait_for_close(reader) -> None:
    """Returns when the client closes; reads nothing."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def _send(answer: Answer, writer, watch) -> None:
    headers = dict(answer.headers)
    if answer.events is None:
        headers["content-length"] = str(len(answer.body))
    else:
        headers["transfer-encoding"] = "chunked"
    lines = [f"HTTP/1.1 {answer.status} x"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
    if answer.events is None:
        writer.write(answer.body)
        await writer.drain()
        return
    for event in answer.events:
        await asyncio.sleep(answer.pause_s)
        if watch.done():
            return
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


class Listener:
    """The listening socket of a process, and its open channels."""

    def __init__(self):
        self._server = None
        self._writers = set()

    async def open(self, serve_channel) -> int:
        """Listens on a free port; returns it."""

        async def accept(reader, writer):
            self._writers.add(writer)
            try:
                await serve_channel(reader, writer)
            finally:
                self._writers.discard(writer)

        self._server = await asyncio.start_server(accept, LOOPBACK, 0)
        return self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Ends the process: nobody listens, and all channels close."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def listen(handle) -> tuple[Listener, int]:
    """Starts a server; returns its listener and its port."""
    listener = Listener()
    port = await listener.open(
        lambda reader, writer: serve(handle, reader, writer)
    )
    return listener, port


async def request(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """Sends a request on a new connection.

    Returns:
        Status, headers and body; status 0 if there is no whole answer.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            try:
                lines = [f"{method} {target} HTTP/1.1"]
                sent = {"host": "a.example", **(headers or {})}
                if body or method == "POST":
                    sent["content-length"] = str(len(body))
                lines += [f"{name}: {value}" for name, value in sent.items()]
                head = "\r\n".join(lines) + "\r\n\r\n"
                writer.write(head.encode("latin-1") + body)
                await writer.drain()
                first, answered = await read_head(reader)
                content = await read_body(reader, answered)
                return int(first.split(" ")[1]), answered, content
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, {}, b""
