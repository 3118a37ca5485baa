"""A stand-in of the platform's store and of its calls for duties."""

import asyncio
import contextlib
import copy
import json
import time
import urllib.parse

import wire

ANSWER_S = 0.004
PAGE = 500
MIN_STATUS = 100
# Parts of the shortest path of an object: version, objects, kind.
OBJECT_PARTS = 3


class Store:
    """Objects by kind and name, with one counter of revisions.

    Each daemon gets an address of its own, so that the store can tell them
    apart.

    Attributes:
        usage: The usage reports that were accepted, in the order of arrival.
        on_call: Called before each call with the daemon and the request; the
            coroutine's result says what happens: "" for the usual,
            "lost" (done, but not answered), "silent" (neither), a status (an
            answer of that status, not done), or a number of seconds (done and
            answered so much later).
    """

    def __init__(self, record, ip: str):
        self._record = record
        self.ip = ip
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._revision = 10
        self._changed = asyncio.Event()
        self.usage: list[dict] = []
        self.on_call = None

    async def listen(self, daemon: str) -> str:
        """Opens the address of a daemon; returns it."""

        async def serve(reader, writer):
            await self._serve(daemon, reader, writer)

        server = await asyncio.start_server(serve, self.ip, 0, limit=1 << 25)
        return f"{self.ip}:{server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec) -> int:
        """Writes an object as the operator or a server does."""
        known = self._objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known["metadata"]["revision"]
        status = known["status"] if known else None
        return self._set(kind, name, spec, status)["metadata"]["revision"]

    def drop(self, kind: str, name: str) -> None:
        """Removes an object."""
        known = self._objects.pop((kind, name), None)
        if known is not None:
            self._revision += 1
            gone = copy.deepcopy(known)
            gone["metadata"]["revision"] = self._revision
            self._append(kind, gone, True)

    def get(self, kind: str, name: str) -> dict | None:
        """Returns an object."""
        return self._objects.get((kind, name))

    def names(self, kind: str) -> list[str]:
        """Returns the names of a kind."""
        return sorted(n for k, n in self._objects if k == kind)

    def _set(self, kind: str, name: str, spec, status) -> dict:
        self._revision += 1
        found = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created-at": int(time.time() * 1000),
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._objects[kind, name] = found
        self._append(kind, found, False)
        return found

    def _append(self, kind: str, found: dict, deleted: bool) -> None:
        entry = (self._revision, kind, copy.deepcopy(found), deleted)
        self._history.append(entry)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, daemon: str, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await wire.read_request(reader)) is not None:
                answer = await self._answer(daemon, request)
                if answer is None:
                    # Nothing more is answered on such a channel.
                    await asyncio.sleep(3600)
                writer.write(answer)
                await writer.drain()
        writer.close()

    async def _answer(self, daemon: str, request: wire.Request):
        verdict = ""
        if self.on_call is not None:
            verdict = await self.on_call(daemon, request)
        if verdict == "silent":
            return None
        if isinstance(verdict, int) and verdict >= MIN_STATUS:
            return wire.encode_json(verdict, {})
        await asyncio.sleep(ANSWER_S)
        if isinstance(verdict, tuple):
            # Carried out later, and never answered.
            asyncio.create_task(self._later(verdict[1], request))
            return None
        answer = await self._handle(request)
        if isinstance(verdict, float):
            await asyncio.sleep(verdict)
        return None if verdict == "lost" else answer

    async def _later(self, delay_s: float, request: wire.Request) -> None:
        await asyncio.sleep(delay_s)
        answer = await self._handle(request)
        self._record(
            "late_write",
            method=request.method,
            target=request.target,
            status=int(answer.split(b" ")[1]),
        )

    async def _handle(self, request: wire.Request) -> bytes:
        parts = request.path.strip("/").split("/")
        if parts == ["usage"]:
            report = {
                "holder": request.headers.get("daisyhub-duty-holder", ""),
                "fence": int(request.headers.get("daisyhub-fencing-token", 0)),
                "at_s": time.monotonic(),
                **request.json(),
            }
            self.usage.append(report)
            return wire.encode_json(200, {})
        if parts[:2] != ["v1", "objects"] or len(parts) < OBJECT_PARTS:
            return wire.encode_json(404, {})
        kind, *rest = (urllib.parse.unquote(part) for part in parts[2:])
        if request.method == "GET" and not rest:
            return await self._list(kind, request.query)
        if request.method == "GET":
            found = self._objects.get((kind, rest[0]))
            return wire.encode_json(200 if found else 404, found or {})
        if request.method == "DELETE":
            return self._delete(kind, rest[0], request.query)
        return self._write(kind, rest, request)

    async def _list(self, kind: str, query: dict[str, str]) -> bytes:
        if "watch" in query:
            return await self._watch(kind, query)
        after = urllib.parse.unquote(query.get("after", ""))
        names = [n for n in self.names(kind) if n > after]
        items = [self._objects[kind, n] for n in names[:PAGE]]
        value = {
            "items": items,
            "has-more": len(names) > PAGE,
            "at": self._revision,
        }
        return wire.encode_json(200, value)

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        since = int(query["watch"])
        until_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            events = [
                {"object": found, "deleted": deleted}
                for revision, k, found, deleted in self._history
                if k == kind and revision > since
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                value = {"events": events, "at": self._revision}
                return wire.encode_json(200, value)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _delete(self, kind: str, name: str, query: dict[str, str]) -> bytes:
        known = self._objects.get((kind, name))
        if known is None:
            return wire.encode_json(404, {})
        stated = query.get("revision")
        if stated and int(stated) != known["metadata"]["revision"]:
            return wire.encode_json(409, known)
        self.drop(kind, name)
        return wire.encode_json(200, known)

    def _write(self, kind: str, rest: list[str], request) -> bytes:
        value = json.loads(request.body)
        meta = value.get("metadata", {})
        if request.method == "POST":
            if (kind, meta["name"]) in self._objects:
                return wire.encode_json(409, {})
            found = self._set(kind, meta["name"], value.get("spec"), None)
            return wire.encode_json(201, found)
        known = self._objects.get((kind, rest[0]))
        if known is None:
            return wire.encode_json(404, {})
        stated = meta.get("revision")
        if stated is not None and stated != known["metadata"]["revision"]:
            return wire.encode_json(409, known)
        spec, status = known["spec"], known["status"]
        if rest[1:] == ["status"]:
            status = value.get("status")
        else:
            spec = value.get("spec")
        if (spec, status) == (known["spec"], known["status"]):
            return wire.encode_json(200, known)
        return wire.encode_json(200, self._set(kind, rest[0], spec, status))
