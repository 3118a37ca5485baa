"""What all fakes share: routing, JSON, and faults on demand.

`POST /faults` with a `Fault` makes the next matching calls fail; `DELETE
/faults` ends all faults.
"""

import abc
import dataclasses
import urllib.parse
from typing import Literal

import anyio
import msgspec
from absl import flags

from daisyhub.serving import HttpServer
from daisyhub.settings import Address

__all__ = ["Request", "FakeApp", "Fault", "Response", "serve_fake"]

_PORT = flags.DEFINE_integer("port", 0, "Port on loopback to listen on.")
_FOREVER_S = 3600.0


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault of a fake.

    Attributes:
        kind: `hang` never answers; `late` answers after `delay_s`; `lose`
            takes effect and never answers; `truncate` cuts the answer in the
            middle; `error` answers with status 500 and no effect; `silent`
            makes connections that are open now silent for good.
        path: Prefix of the paths that it applies to.
        method: Method that it applies to; empty for all.
        count: How many calls it applies to.
        delay_s: Delay of a late answer.
    """

    kind: Literal["hang", "late", "lose", "truncate", "error", "silent"]
    path: str = "/"
    method: str = ""
    count: int = 1_000_000_000
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request to a fake."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self, kind: type):
        """Returns the body as `kind`."""
        return msgspec.json.decode(self.body, type=kind)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A fake's answer; `value` is sent as JSON, `chunks` as a stream."""

    status: int = 200
    value: object = None
    headers: tuple[tuple[bytes, bytes], ...] = ()
    chunks: tuple[bytes, ...] = ()
    chunk_pause_s: float = 0.0


class FakeApp(abc.ABC):
    """An ASGI app with faults."""

    def __init__(self):
        self._faults: list[list] = []
        self._clients: set[tuple] = set()
        self._silent: set[tuple] = set()

    @abc.abstractmethod
    async def handle(self, call: Request) -> Response:
        """Serves one call without faults."""

    async def __call__(self, scope, receive, send) -> None:
        """Serves one call, with faults."""
        if scope["type"] != "http":
            return
        client = tuple(scope["client"])
        call = await _read_call(scope, receive)
        if call.path == "/faults":
            await _send(send, self._change_faults(call))
            return
        self._clients.add(client)
        if client in self._silent:
            await anyio.sleep(_FOREVER_S)
        fault = self._take_fault(call)
        await self._serve(call, fault, send)

    async def _serve(self, call: Request, fault: Fault | None, send) -> None:
        kind = fault.kind if fault else ""
        if kind == "hang":
            await anyio.sleep(_FOREVER_S)
        if kind == "error":
            await _send(send, Response(status=500, value={"error": "injected"}))
            return
        reply = await self.handle(call)
        if kind == "late":
            await anyio.sleep(fault.delay_s)
        if kind == "lose":
            await anyio.sleep(_FOREVER_S)
        await _send(send, reply, truncate=kind == "truncate")

    def _change_faults(self, call: Request) -> Response:
        if call.method == "DELETE":
            self._faults.clear()
            return Response(value={})
        fault = call.json(Fault)
        if fault.kind == "silent":
            self._silent |= self._clients
            return Response(value={"connections": len(self._silent)})
        self._faults.append([fault, fault.count])
        return Response(value={})

    def _take_fault(self, call: Request) -> Fault | None:
        for entry in self._faults:
            fault, left = entry
            if not call.path.startswith(fault.path) or not left:
                continue
            if fault.method not in ("", call.method):
                continue
            entry[1] -= 1
            return fault
        return None


async def _read_call(scope, receive) -> Request:
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            break
    query = urllib.parse.parse_qsl(scope["query_string"].decode())
    headers = {k.decode(): v.decode("latin-1") for k, v in scope["headers"]}
    return Request(
        method=scope["method"],
        path=scope["path"],
        query=dict(query),
        headers=headers,
        body=body,
    )


async def _send(send, reply: Response, *, truncate: bool = False) -> None:
    headers = [(b"content-type", b"application/json"), *reply.headers]
    body = b"" if reply.chunks else msgspec.json.encode(reply.value)
    if not reply.chunks:
        headers.append((b"content-length", str(len(body)).encode()))
    start = {"type": "http.response.start", "status": reply.status}
    await send({**start, "headers": headers})
    if truncate:
        part = body[: len(body) // 2] or b"".join(reply.chunks[:1])
        await send(
            {"type": "http.response.body", "body": part, "more_body": True}
        )
        raise ConnectionAbortedError
    for chunk in reply.chunks:
        await send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )
        await anyio.sleep(reply.chunk_pause_s)
    await send({"type": "http.response.body", "body": body})


def serve_fake(app: FakeApp) -> None:
    """Serves a fake on the port of the command line until it is killed."""
    server = HttpServer(app, Address(ip="127.0.0.1", port=_PORT.value))
    anyio.run(server.run_until_stopped)
