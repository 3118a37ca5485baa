"""The base of all fakes: an ASGI app with JSON bodies and injected faults.

`POST /faults` with a `Fault` as JSON makes matching requests fail; `DELETE
/faults` removes the faults, or with `id` one of them, but connections that were
silenced stay silent. `GET /faults` returns the clients to which each fault was
applied, by its id.
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

__all__ = [
    "LARGE_TEXT",
    "FakeApp",
    "Fault",
    "Request",
    "Response",
    "serve_fake",
]

_PORT = flags.DEFINE_integer("port", 0, "Port on loopback to listen on.")
_FOREVER_S = 3600.0
# Text of a large response, which all share.
LARGE_TEXT = "a" * (4 << 20)


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault to inject into a fake.

    Attributes:
        kind: `hang` has no effect and sends no response; `late` takes effect
            and responds after `delay_s`; `hold` takes effect and responds once
            the fault is removed; `lose` takes effect and sends no
            response; `defer` takes effect after `delay_s` and sends no
            response; `truncate` takes effect and cuts the response in the
            middle; `error` has no effect and responds with `status`; `silent`
            stops all responses on the connections that have carried a request
            so far.
        id: Name by which the fault is removed; may be empty.
        path: Prefix of the paths to which it applies; `silent` ignores it, as
            it does `method` and `count`.
        method: Method to which it applies; empty for all.
        client: Prefix of the IP addresses of the clients to which it applies.
        count: Number of requests to which it applies; by default all.
        delay_s: Delay of a late response or a deferred effect.
        status: Status of an error.
        then: Fault that is injected when this one is first used.

    If several faults apply to a request, the one injected first is used.
    """

    kind: Literal[
        "hang",
        "late",
        "hold",
        "lose",
        "defer",
        "truncate",
        "error",
        "silent",
    ]
    id: str = ""
    path: str = "/"
    method: str = ""
    client: str = ""
    count: int = 1_000_000_000
    delay_s: float = 0.0
    status: int = 500
    then: "Fault | None" = None


@dataclasses.dataclass(slots=True, eq=False)
class _ActiveFault:
    """An injected fault.

    Attributes:
        fault: The fault.
        clients: The IP addresses to which it was applied.
        removed: Set when the fault is removed.
    """

    fault: Fault
    clients: list[str] = dataclasses.field(default_factory=list)
    removed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def matches(self, request: "Request", ip: str) -> bool:
        fault = self.fault
        return (
            len(self.clients) < fault.count
            and request.path.startswith(fault.path)
            and fault.method in ("", request.method)
            and ip.startswith(fault.client)
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """An HTTP request to a fake."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self, kind: type):
        """Decodes the body from JSON as the type `kind`."""
        return msgspec.json.decode(self.body, type=kind)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """An HTTP response of a fake.

    Attributes:
        status: The status code.
        value: The body, encoded as JSON; ignored if there are chunks.
        headers: Headers besides content type and length.
        chunks: Parts of a streamed body.
        chunk_pause_s: Pause after each chunk.
    """

    status: int = 200
    value: object = None
    headers: tuple[tuple[bytes, bytes], ...] = ()
    chunks: tuple[bytes, ...] = ()
    chunk_pause_s: float = 0.0


class FakeApp(abc.ABC):
    """An ASGI app into which faults can be injected."""

    def __init__(self):
        self._faults: list[_ActiveFault] = []
        self._clients: set[tuple] = set()
        self._silenced_clients: set[tuple] = set()

    @abc.abstractmethod
    async def handle(self, request: Request) -> Response:
        """Handles one request without faults."""

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request, with the faults that apply to it."""
        if scope["type"] != "http":
            return
        client = tuple(scope["client"])
        request = await _read_request(scope, receive)
        if request.path == "/faults":
            await _send(send, self._change_faults(request))
            return
        self._clients.add(client)
        if client in self._silenced_clients:
            await anyio.sleep(_FOREVER_S)
        active = self._consume_fault(request, client[0])
        await self._serve(request, active, send)

    async def _serve(
        self, request: Request, active: _ActiveFault | None, send
    ) -> None:
        fault = active.fault if active else None
        kind = fault.kind if fault else ""
        if kind == "hang":
            await anyio.sleep(_FOREVER_S)
        if kind == "error":
            value = {"error": "injected"}
            await _send(send, Response(status=fault.status, value=value))
            return
        if kind == "defer":
            await anyio.sleep(fault.delay_s)
        response = await self.handle(request)
        if kind == "late":
            await anyio.sleep(fault.delay_s)
        if kind == "hold":
            await active.removed.wait()
        if kind in ("lose", "defer"):
            await anyio.sleep(_FOREVER_S)
        await _send(send, response, truncate=kind == "truncate")

    def _change_faults(self, request: Request) -> Response:
        if request.method == "GET":
            return Response(value={a.fault.id: a.clients for a in self._faults})
        if request.method == "DELETE":
            fault_id = request.query.get("id")
            removed = [
                a for a in self._faults if fault_id in (None, a.fault.id)
            ]
            for active in removed:
                self._faults.remove(active)
                active.removed.set()
            return Response(value={})
        fault = request.json(Fault)
        if fault.kind == "silent":
            self._silenced_clients |= self._clients
            return Response(value={"connections": len(self._silenced_clients)})
        self._faults.append(_ActiveFault(fault))
        return Response(value={})

    def _consume_fault(self, request: Request, ip: str) -> _ActiveFault | None:
        for active in self._faults:
            if active.matches(request, ip):
                active.clients.append(ip)
                if active.fault.then and len(active.clients) == 1:
                    self._faults.append(_ActiveFault(active.fault.then))
                return active
        return None


async def _read_request(scope, receive) -> Request:
    body = bytearray()
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
        body=bytes(body),
    )


async def _send(send, response: Response, *, truncate: bool = False) -> None:
    headers = [(b"content-type", b"application/json"), *response.headers]
    body = b"" if response.chunks else msgspec.json.encode(response.value)
    if not response.chunks:
        headers.append((b"content-length", str(len(body)).encode()))
    start = {"type": "http.response.start", "status": response.status}
    await send({**start, "headers": headers})
    if truncate:
        part = body[: len(body) // 2] or b"".join(response.chunks[:1])
        await send(
            {"type": "http.response.body", "body": part, "more_body": True}
        )
        # Makes the server close the connection before the end of the body.
        raise ConnectionAbortedError
    for chunk in response.chunks:
        await send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )
        await anyio.sleep(response.chunk_pause_s)
    await send({"type": "http.response.body", "body": body})


def serve_fake(app: FakeApp) -> None:
    """Serves a fake on the port given by `--port` until it is stopped."""
    server = HttpServer(app, Address(ip="127.0.0.1", port=_PORT.value))
    anyio.run(server.run_until_stopped)
