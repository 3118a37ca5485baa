"""Stand-ins for the users' platform: its store, order desk and servers.

One process serves one of them: `--role=platform` the store of objects and the
calls for usage, `--role=server` an engine and a plain service at one address.
"""

import base64
import random

import anyio
import msgspec
from absl import app, flags

from daisyhub.logs import set_up_logs
from daisyhub.objects import (
    HistoryGoneError,
    ObjectConflictError,
    StoredObject,
)
from daisyhub.testing.fake_app import FakeApp, Request, Response, serve_fake
from daisyhub.testing.object_store import MemoryStore

__all__ = ["FakePlatformStore", "FakeServer"]

_ROLE = flags.DEFINE_enum(
    "role", "platform", ["platform", "server"], "What to stand in for."
)
_NAME = flags.DEFINE_string("name", "i-1", "Id of a server.")
_EVENT_S = flags.DEFINE_float("event_s", 0.02, "Seconds an event takes.")
_EVENTS = 6
_LOAD_S = 0.2
_OBJECTS = "/v1/objects/"
_MS_PER_S = 1000.0


class FakePlatformStore(FakeApp):
    """The store over HTTP, and the order desk.

    `GET /admin/usage` tells all usage calls that were accepted.
    """

    def __init__(self):
        super().__init__()
        self._store = MemoryStore()
        self._usage: list[dict] = []

    async def handle(self, call: Request) -> Response:
        """Serves one call."""
        if call.path == "/admin/usage":
            return Response(value=self._usage)
        if call.path == "/usage":
            self._usage.append(
                {
                    "holder": call.headers["daisyhub-duty-holder"],
                    "fencing": int(call.headers["daisyhub-fencing-token"]),
                    **msgspec.json.decode(call.body),
                }
            )
            return Response(value={})
        if not call.path.startswith(_OBJECTS):
            return Response(status=404)
        kind, _, name = call.path[len(_OBJECTS) :].partition("/")
        try:
            return await self._objects(call, kind, name)
        except ObjectConflictError as exc:
            value = _shown(exc.found) if exc.found else None
            return Response(status=409, value=value)
        except HistoryGoneError:
            return Response(status=410)

    async def _objects(self, call: Request, kind: str, name: str) -> Response:
        store = self._store
        if call.method == "GET" and name:
            found = await store.read(kind, name)
            return (
                Response(value=_shown(found)) if found else Response(status=404)
            )
        if call.method == "GET" and "watch" in call.query:
            batch = await store.watch(
                kind,
                after_revision=int(call.query["watch"]),
                wait_s=int(call.query["wait-ms"]) / _MS_PER_S,
            )
            events = [
                {"deleted": c.is_deleted, "object": _shown(c)}
                for c in batch.changes
            ]
            return Response(value={"events": events, "at": batch.revision})
        if call.method == "GET":
            listed = await store.list_all(kind)
            items = [_shown(item) for item in listed.items]
            return Response(
                value={"items": items, "has-more": False, "at": listed.revision}
            )
        if call.method == "DELETE":
            await store.delete(kind, name)
            return Response(value={})
        return await self._write(call, kind, name)

    async def _write(self, call: Request, kind: str, name: str) -> Response:
        body = msgspec.json.decode(call.body)
        meta = body["metadata"]
        spec = msgspec.json.encode(body.get("spec"))
        if name.endswith("/status"):
            status = msgspec.json.encode(body["status"])
            name = name.removesuffix("/status")
            found = await self._store.set_status(kind, name, status)
        elif call.method == "POST":
            found = await self._store.create(kind, meta["name"], spec)
        elif "revision" in meta:
            found = await self._store.replace(
                kind, name, spec, revision=meta["revision"]
            )
        else:
            found = self._store.put(kind, name, spec)
        return Response(value=_shown(found)) if found else Response(status=404)


def _shown(found: StoredObject) -> dict:
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
    """An engine whose texts depend on the item only, and a record service.

    `GET /admin/ran` tells the request ids that ran, with what they carried.
    """

    def __init__(self, name: str, event_s: float):
        super().__init__()
        self.name = name
        self.event_s = event_s
        self._version = 1
        self._orders = 0
        self._is_busy = False
        self._highest = 0
        self._ran: list[dict] = []

    async def handle(self, call: Request) -> Response:
        """Serves one call."""
        if call.path == "/admin/ran":
            return Response(value=self._ran)
        expected = call.headers.get("daisyhub-expect-instance", self.name)
        if expected != self.name:
            return Response(status=421)
        if call.path == "/v1/report":
            return Response(
                value={
                    "models": [{"name": "m", "version": self._version}],
                    "busy": self._is_busy,
                    "sequence": self._orders,
                }
            )
        if call.path == "/v1/order":
            return await self._order(msgspec.json.decode(call.body))
        self._ran.append(
            {
                "id": call.headers["daisyhub-request-id"],
                "account": call.headers.get("daisyhub-tenant", ""),
                "has_key": "api-key" in call.headers,
                "resumed": "last-event-id" in call.headers,
            }
        )
        if call.path.startswith("/gen/"):
            return self._generate(call)
        await anyio.sleep(self.event_s)
        return self._reply(value={"path": call.path})

    async def _order(self, order: dict) -> Response:
        if order["fencing-token"] < self._highest:
            return Response(status=412)
        self._highest = order["fencing-token"]
        if self._is_busy or order.get("expect", self._orders) != self._orders:
            return Response(status=409)
        if order["version"] == self._version:
            return Response(value={})
        self._orders += 1
        self._is_busy = True
        await anyio.sleep(_LOAD_S)
        self._version = order["version"]
        self._is_busy = False
        return Response(status=202)

    def _generate(self, call: Request) -> Response:
        item_id = call.headers["daisyhub-request-id"]
        first = int(call.headers.get("last-event-id", 0)) + 1
        chunks = tuple(
            f"id: {n}\ndata: {item_id}-{n}\n\n".encode()
            for n in range(first, _EVENTS + 1)
        )
        version = str(self._version).encode()
        return self._reply(
            # A stream that has nothing more to tell is empty, and whole.
            chunks=chunks or (b"",),
            # Items end in another order each time that they run.
            chunk_pause_s=self.event_s * random.uniform(0.7, 1.3),
            headers=((b"daisyhub-weight-versions", version),),
        )

    def _reply(self, *, headers=(), **fields) -> Response:
        stamp = base64.b32encode(self.name.encode()).lower()
        return Response(
            headers=((b"daisyhub-server-stamp", stamp), *headers), **fields
        )


def _run(_: list[str]) -> None:
    set_up_logs("text")
    if _ROLE.value == "platform":
        serve_fake(FakePlatformStore())
    else:
        serve_fake(FakeServer(_NAME.value, _EVENT_S.value))


if __name__ == "__main__":
    app.run(_run)
