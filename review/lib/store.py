"""The platform's store and its `cloud-api`, as PROTOCOL.md describes them."""

import asyncio
import json
import time

from review.lib.wire import Request, read_request, write_answer

__all__ = ["Store"]

_ANSWER_S = 0.004
_PREFIX = "/v1/objects/"
_PAGE = 500
_VALUE_BYTES = 1_048_576


class Store:
    """Objects by kind and name, with conditional writes and watches.

    Attributes:
        usage: The accepted usage reports.
        too_large: Kind, name and size of the writes that were refused, as
            their object would be larger than `value-bytes`.
        refuses: Tells whether a call from a client address gets 503.
    """

    def __init__(self):
        self._objects: dict[str, dict[str, dict]] = {}
        self._revision = 1000
        self._changes: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._server = None
        self.usage: list[dict] = []
        self.too_large: list[tuple[str, str, int]] = []
        self.refuses = lambda port: False
        self.address = ("127.0.0.1", 0)
        self._open: set = set()
        self._silent: set = set()

    def silence_open_channels(self) -> int:
        """Makes all open channels silent for good; returns their number."""
        self._silent |= self._open
        return len(self._open)

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Closes the listener."""
        if self._server is not None:
            self._server.close()

    def get(self, kind: str, name: str) -> dict | None:
        """Returns an object."""
        return self._objects.get(kind, {}).get(name)

    def names(self, kind: str) -> list[str]:
        """Returns the names of a kind's objects."""
        return sorted(self._objects.get(kind, {}))

    def put(self, kind: str, name: str, spec, status=None) -> dict:
        """Writes an object unconditionally, as the operator and servers do."""
        known = self.get(kind, name)
        if known and known["spec"] == spec and known["status"] == status:
            return known
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
        self._objects.setdefault(kind, {})[name] = found
        self._note(kind, found, is_deleted=False)
        return found

    def delete(self, kind: str, name: str) -> bool:
        """Removes an object."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is None:
            return False
        self._revision += 1
        meta = {**found["metadata"], "revision": self._revision}
        self._note(kind, {**found, "metadata": meta}, is_deleted=True)
        return True

    def _note(self, kind: str, found: dict, *, is_deleted: bool) -> None:
        self._changes.append((self._revision, kind, found, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        self._open.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                if writer in self._silent:
                    continue
                await asyncio.sleep(_ANSWER_S)
                status, value = await self._handle(req)
                if writer in self._silent:
                    continue
                body = json.dumps(value).encode()
                head = {"Content-Type": "application/json"}
                await write_answer(writer, status, head, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _handle(self, req: Request) -> tuple[int, object]:
        if req.path == "/usage":
            self.usage.append(
                {
                    "holder": req.headers.get("daisyhub-duty-holder"),
                    "fence": req.headers.get("daisyhub-fencing-token"),
                    **json.loads(req.body),
                }
            )
            return 200, {}
        if not req.path.startswith(_PREFIX):
            return 404, {}
        if self.refuses(req):
            return 503, {}
        kind, _, name = req.path[len(_PREFIX) :].partition("/")
        if req.method == "GET":
            return await self._read(req, kind, name)
        if req.method == "DELETE":
            return (200 if self.delete(kind, name) else 404), {}
        return self._write(req, kind, name)

    async def _read(self, req: Request, kind: str, name: str):
        if name:
            found = self.get(kind, name)
            return (200, found) if found else (404, {})
        if "watch" in req.query:
            return 200, await self._watch(req, kind)
        after = req.query.get("after", "")
        names = [n for n in self.names(kind) if n > after]
        items = [self.get(kind, n) for n in names[:_PAGE]]
        more = len(names) > _PAGE
        return 200, {"items": items, "has-more": more, "at": self._revision}

    async def _watch(self, req: Request, kind: str) -> dict:
        since = int(req.query["watch"])
        ends_s = time.monotonic() + int(req.query["wait-ms"]) / 1000
        while True:
            events = [
                {"object": found, "deleted": is_deleted}
                for revision, k, found, is_deleted in self._changes
                if k == kind and revision > since
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(self, req: Request, kind: str, name: str):
        body = json.loads(req.body)
        meta = body["metadata"]
        is_status = name.endswith("/status")
        name = name.removesuffix("/status") or meta["name"]
        known = self.get(kind, name)
        if is_status:
            if known is None:
                return 404, {}
            found = self.put(kind, name, known["spec"], body["status"])
            return 200, found
        spec = body["spec"]
        compact = (",", ":")
        text = json.dumps(spec, ensure_ascii=False, separators=compact)
        size = len(text.encode())
        if size > _VALUE_BYTES:
            self.too_large.append((kind, name, size))
            return 413, {"error": "too large"}
        if req.method == "POST" and known is not None:
            return 409, {}
        if "revision" in meta:
            if known is None:
                return 404, {}
            if meta["revision"] != known["metadata"]["revision"]:
                return 409, known
        status = known["status"] if known else None
        return 200, self.put(kind, name, spec, status)
