"""A stand-in of the platform's store and of its API for duties."""

import asyncio
import json

from review.rig2.http import Answer, Call, json_answer

_PREFIX = "/v1/objects/"


class Store:
    """Objects by kind and name, as the page on the protocol describes them.

    Attributes:
        usage: Usage reports that were accepted, with the fencing number.
    """

    def __init__(self):
        self._revision = 1
        self._objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._fences: dict[str, int] = {}
        self.usage: list[dict] = []

    def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object as an operator, a trainer or a server does."""
        known = self._objects.setdefault(kind, {}).get(name)
        status = known["status"] if known else None
        self._set(kind, name, spec, status)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            self._revision += 1
            found["metadata"]["revision"] = self._revision
            self._tell(kind, found, True)

    def get(self, kind: str, name: str) -> dict | None:
        """Returns an object, or None."""
        return self._objects.get(kind, {}).get(name)

    def _set(self, kind, name, spec, status) -> dict:
        self._revision += 1
        metadata = {"name": name, "revision": self._revision}
        found = {"metadata": metadata, "spec": spec, "status": status}
        self._objects.setdefault(kind, {})[name] = found
        self._tell(kind, found, False)
        return found

    def _tell(self, kind: str, found: dict, is_deleted: bool) -> None:
        copy = json.loads(json.dumps(found))
        self._events.append((self._revision, kind, copy, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, call: Call) -> Answer:
        """Answers one call."""
        await asyncio.sleep(0.004)
        if call.path == "/usage":
            return self._report_usage(call)
        if not call.path.startswith(_PREFIX):
            return Answer(404)
        kind, _, name = call.path[len(_PREFIX) :].partition("/")
        if call.method == "GET" and name:
            found = self.get(kind, name)
            return json_answer(found) if found else Answer(404)
        if call.method == "GET" and "watch" in call.query:
            return await self._watch(kind, call)
        if call.method == "GET":
            items = list(self._objects.get(kind, {}).values())
            page = {"items": items, "has-more": False, "at": self._revision}
            return json_answer(page)
        if call.method == "DELETE":
            found = self.get(kind, name)
            self.remove(kind, name)
            return json_answer({}) if found else Answer(404)
        return self._write(call, kind, name)

    def _write(self, call: Call, kind: str, name: str) -> Answer:
        body = json.loads(call.body)
        if call.method == "POST":
            name = body["metadata"]["name"]
            if self.get(kind, name):
                return Answer(409)
            return json_answer(self._set(kind, name, body.get("spec"), None))
        is_status = name.endswith("/status")
        name = name.removesuffix("/status")
        known = self.get(kind, name)
        if known is None:
            return Answer(404)
        stated = body.get("metadata", {}).get("revision")
        if stated is not None and stated != known["metadata"]["revision"]:
            return json_answer(known, 409)
        spec, status = known["spec"], known["status"]
        if is_status:
            status = body.get("status")
        else:
            spec = body.get("spec")
        if (spec, status) == (known["spec"], known["status"]):
            return json_answer(known)
        return json_answer(self._set(kind, name, spec, status))

    async def _watch(self, kind: str, call: Call) -> Answer:
        after = int(call.query["watch"])
        left_s = int(call.query.get("wait-ms", 0)) / 1000
        loop = asyncio.get_running_loop()
        until_s = loop.time() + left_s
        while True:
            events = [
                {"object": found, "deleted": is_deleted}
                for revision, its_kind, found, is_deleted in self._events
                if revision > after and its_kind == kind
            ]
            left_s = until_s - loop.time()
            if events or left_s <= 0:
                return json_answer({"events": events, "at": self._revision})
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _report_usage(self, call: Call) -> Answer:
        fence = int(call.headers["daisyhub-fencing-token"])
        if fence < self._fences.get("usage", 0):
            return Answer(409)
        self._fences["usage"] = fence
        self.usage.append({"fence": fence, **json.loads(call.body)})
        return json_answer({})
