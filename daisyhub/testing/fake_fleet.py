"""Fakes of the users' platform: its object store, usage API and servers.

A process has one role: `--role=platform` is the object store and the usage
API, `--role=server` an engine and a plain service at one address.
`daisyhub.platform` is the daemon that uses them; `fake_platform` is the fake of
the product's own platform API.
"""

import base64
import dataclasses
import os
import random
import time

import anyio
import msgspec
from absl import app, flags

from daisyhub.logs import set_up_logs
from daisyhub.objects import (
    HistoryGoneError,
    ObjectConflictError,
    StoredObject,
)
from daisyhub.testing.fake_app import (
    LARGE_TEXT,
    FakeApp,
    Request,
    Response,
    serve_fake,
)
from daisyhub.testing.object_store import MemoryStore

__all__ = ["CRASH_STATUS", "FakePlatformStore", "FakeServer"]

# Exit status of a server that a request ended.
CRASH_STATUS = 70

_ROLE = flags.DEFINE_enum(
    "role", "platform", ["platform", "server"], "Which fake to run."
)
_NAME = flags.DEFINE_string("name", "i-1", "Instance id of a server.")
_EVENT_S = flags.DEFINE_float("event_s", 0.02, "Seconds per event or look-up.")
_SOFTWARE = flags.DEFINE_string(
    "software", "v1", "Software version of a server."
)
# The version whose texts carry no mark.
_UNMARKED_SOFTWARE = "v1"
_EVENT_COUNT = 6
_WEIGHT_LOAD_S = 0.2
_OBJECTS_PATH = "/v1/objects/"
_MS_PER_S = 1000.0
_BORN = flags.DEFINE_integer("born", 1, "Start of the process.")


class FakePlatformStore(FakeApp):
    """The object store over HTTP, and the usage API of the order desk.

    `GET /admin/usage` returns all accepted usage reports, `GET /admin/created`
    the monotonic time at which each lot was created.
    """

    def __init__(self):
        super().__init__()
        self._store = MemoryStore()
        self._usage: list[dict] = []
        self._lots_created_s: dict[str, float] = {}

    async def handle(self, request: Request) -> Response:
        """Handles one request."""
        if request.path == "/admin/usage":
            return Response(value=self._usage)
        if request.path == "/admin/created":
            return Response(value=self._lots_created_s)
        if request.path == "/usage":
            self._usage.append(
                {
                    "holder": request.headers["daisyhub-duty-holder"],
                    "fencing": int(request.headers["daisyhub-fencing-token"]),
                    **msgspec.json.decode(request.body),
                }
            )
            return Response(value={})
        if not request.path.startswith(_OBJECTS_PATH):
            return Response(status=404)
        kind, _, name = request.path[len(_OBJECTS_PATH) :].partition("/")
        try:
            return await self._handle_objects(request, kind, name)
        except ObjectConflictError as exc:
            # A conflict of a create doesn't return the object.
            found = None if request.method == "POST" else exc.found
            value = _encode_object(found) if found else None
            return Response(status=409, value=value)
        except HistoryGoneError:
            return Response(status=410)

    async def _handle_objects(
        self, request: Request, kind: str, name: str
    ) -> Response:
        store = self._store
        if request.method == "GET" and name:
            found = await store.read(kind, name)
            return (
                Response(value=_encode_object(found))
                if found
                else Response(status=404)
            )
        if request.method == "GET" and "watch" in request.query:
            batch = await store.watch(
                kind,
                after_revision=int(request.query["watch"]),
                wait_s=int(request.query["wait-ms"]) / _MS_PER_S,
            )
            events = [
                {"deleted": c.is_deleted, "object": _encode_object(c)}
                for c in batch.changes
            ]
            return Response(value={"events": events, "at": batch.revision})
        if request.method == "GET":
            listed = await store.list_all(kind)
            items = [_encode_object(item) for item in listed.items]
            return Response(
                value={"items": items, "has-more": False, "at": listed.revision}
            )
        if request.method == "DELETE":
            await store.delete(kind, name)
            return Response(value={})
        return await self._handle_write(request, kind, name)

    async def _handle_write(
        self, request: Request, kind: str, name: str
    ) -> Response:
        """Writes a status, a new object (POST), or an existing object.

        Without a revision in the metadata, an object is written
        unconditionally, as by an operator.
        """
        body = msgspec.json.decode(request.body)
        meta = body["metadata"]
        spec = msgspec.json.encode(body.get("spec"))
        if name.endswith("/status"):
            status = msgspec.json.encode(body["status"])
            name = name.removesuffix("/status")
            found = await self._store.set_status(kind, name, status)
        elif request.method == "POST":
            found = await self._store.create(kind, meta["name"], spec)
            if kind == "lots":
                self._lots_created_s.setdefault(found.name, time.monotonic())
        elif "revision" in meta:
            found = await self._store.replace(
                kind, name, spec, revision=meta["revision"]
            )
        else:
            found = self._store.put(kind, name, spec)
        return (
            Response(value=_encode_object(found))
            if found
            else Response(status=404)
        )


def _encode_object(found: StoredObject) -> dict:
    return {
        "metadata": {
            "name": found.name,
            "revision": found.revision,
            "deleting": False,
        },
        "spec": msgspec.Raw(found.spec),
        "status": msgspec.Raw(found.status),
    }


class FakeServer(FakeApp):
    """An engine and a plain service at one address.

    A generated text depends on the item id only, so that it can be checked
    wherever and however often the item runs; that of a caller's stream, below
    `/chat/`, on the path. Software versions other than `v1` mark each event
    with their version. `GET /admin/ran` returns the
    executed requests: id, account, whether the client's API key was
    forwarded, whether a stream was resumed, and the monotonic time. After
    `POST /admin/leave`, every response announces that the server is leaving,
    until `DELETE` of the same path; it serves on. `POST /admin/limit` with a
    number makes every response state that limit, until `DELETE`.
    `GET /admin/arrivals` returns the monotonic time of each request, reports
    and orders included, that arrived while a limit was stated, and `GET
    /admin/received` path and time of each one that arrived at all. A look-up of
    `/records/crash` ends the process with `CRASH_STATUS`, that of
    `/records/large` has a response of 4 MB.

    Args:
        name: Instance id.
        event_s: Seconds per event or look-up.
        software: Version of its software.
        born: Start of its process, as it reports it.
    """

    def __init__(
        self,
        name: str,
        event_s: float,
        software: str = _UNMARKED_SOFTWARE,
        born: int = 1,
    ):
        super().__init__()
        self.name = name
        self._born = born
        self.event_s = event_s
        self._mark = "" if software == _UNMARKED_SOFTWARE else f"@{software}"
        self._version = 1
        self._order_count = 0
        self._is_busy = False
        self._highest_fencing = 0
        self._executed_requests: list[dict] = []
        self._is_leaving = False
        self._limit = b""
        self._arrivals: list[float] = []
        self._received: list[dict] = []

    async def handle(self, request: Request) -> Response:
        """Handles one request."""
        if request.path == "/admin/ran":
            return Response(value=self._executed_requests)
        if request.path == "/admin/leave":
            self._is_leaving = request.method == "POST"
            return Response(value={})
        if request.path == "/admin/limit":
            self._limit = request.body
            return Response(value={})
        if request.path == "/admin/arrivals":
            return Response(value=self._arrivals)
        if request.path == "/admin/received":
            return Response(value=self._received)
        self._received.append({"path": request.path, "at_s": time.monotonic()})
        if self._limit:
            self._arrivals.append(time.monotonic())
        response = await self._serve_caller(request)
        headers = response.headers
        if self._is_leaving:
            headers = ((b"server-leaving", b"1"), *headers)
        if self._limit:
            headers = ((b"server-limit", self._limit), *headers)
        return dataclasses.replace(response, headers=headers)

    async def _serve_caller(self, request: Request) -> Response:
        expected = request.headers.get("daisyhub-expect-instance", self.name)
        if expected != self.name:
            return Response(status=421)
        if request.path == "/health":
            return Response(value={})
        if request.path == "/v1/report":
            return Response(
                value={
                    "models": [{"name": "m", "version": self._version}],
                    "busy": self._is_busy,
                    "sequence": self._order_count,
                    "born": self._born,
                }
            )
        if request.path == "/v1/order":
            return await self._handle_order(msgspec.json.decode(request.body))
        self._executed_requests.append(
            {
                "id": request.headers["daisyhub-request-id"],
                "account": request.headers.get("daisyhub-tenant", ""),
                "has_key": "api-key" in request.headers,
                "resumed": "last-event-id" in request.headers,
                "at_s": time.monotonic(),
            }
        )
        if request.path == "/records/crash":
            await anyio.sleep(self.event_s)
            os._exit(CRASH_STATUS)
        if request.path.startswith("/gen/"):
            item_id = request.headers["daisyhub-request-id"]
            return self._generate(request, item_id)
        if request.path.startswith("/chat/"):
            return self._generate(request, request.path.rpartition("/")[2])
        await anyio.sleep(self.event_s)
        if request.path == "/records/large":
            return self._respond(value=LARGE_TEXT)
        return self._respond(value={"path": request.path})

    async def _handle_order(self, order: dict) -> Response:
        if order["fencing-token"] < self._highest_fencing:
            return Response(status=412)
        self._highest_fencing = order["fencing-token"]
        if (
            self._is_busy
            or order.get("expect", self._order_count) != self._order_count
        ):
            return Response(status=409)
        if order["version"] == self._version:
            return Response(value={})
        self._order_count += 1
        self._is_busy = True
        await anyio.sleep(_WEIGHT_LOAD_S)
        self._version = order["version"]
        self._is_busy = False
        return Response(status=202)

    def _generate(self, request: Request, text_id: str) -> Response:
        first = int(request.headers.get("last-event-id", 0)) + 1
        chunks = tuple(
            f"id: {n}\ndata: {text_id}-{n}{self._mark}\n\n".encode()
            for n in range(first, _EVENT_COUNT + 1)
        )
        version = str(self._version).encode()
        return self._respond(
            # A stream resumed after its last event is empty but complete.
            chunks=chunks or (b"",),
            # Random pauses, so that items finish in a different order each run.
            chunk_pause_s=self.event_s * random.uniform(0.7, 1.3),
            headers=((b"daisyhub-weight-versions", version),),
        )

    def _respond(self, *, headers=(), **fields) -> Response:
        stamp = base64.b32encode(self.name.encode()).lower()
        return Response(
            headers=((b"daisyhub-server-stamp", stamp), *headers), **fields
        )


def _run(_: list[str]) -> None:
    set_up_logs("text")
    if _ROLE.value == "platform":
        serve_fake(FakePlatformStore())
    else:
        server = FakeServer(
            _NAME.value, _EVENT_S.value, _SOFTWARE.value, _BORN.value
        )
        serve_fake(server)


if __name__ == "__main__":
    app.run(_run)
