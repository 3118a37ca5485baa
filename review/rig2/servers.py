"""Stand-ins of servers: model servers, plain servers, and their entries."""

import asyncio
import json
import time
import zlib

from review.rig2.http import LOOPBACK, Answer, Call, json_answer
from review.rig2.store import Store

MODEL = "daka510000"
_OK = 200
_IMPOSSIBLE = 422


def entry(
    service: str, port: int, born: int, state: str = "ready", slots: int = 6
) -> dict:
    """Returns a server's entry in the store."""
    return {
        "service": service,
        "address": f"{LOOPBACK}:{port}",
        "zone": "busan-yard",
        "version": "v1",
        "slots": slots,
        "state": state,
        "cold-left-ms": 0,
        "sequence": 1,
        "born": born,
    }


class ModelServer:
    """A model server that streams items.

    A text has 4 to 12 events, by the item's id. An item whose id begins with
    `never` gets 422.

    Args:
        name: Its id.
        store: Where it registers itself.
        log: Takes a line for each run.
    """

    def __init__(self, name: str, store: Store, log):
        self.name = name
        self._store = store
        self._log = log
        self.born = int(time.time() * 1000)
        self.version = 1
        self.pause_s = 0.05
        self._orders = 0
        self._fence = 0
        self._is_busy = False
        self.port = 0
        self.ran: list[tuple[float, str, str]] = []

    def register(self, port: int) -> None:
        """Writes the entry of the server."""
        self.port = port
        spec = entry("assessor-lm", port, self.born, slots=8)
        spec["models"] = [
            {"name": MODEL, "version": self.version, "adapters": []}
        ]
        spec["stage"] = "both"
        self._store.put("servers", self.name, spec)

    async def handle(self, call: Call) -> Answer:
        """Answers one request."""
        if call.path == "/health":
            return Answer(headers={"daisyhub-instance-id": self.name})
        if call.path == "/v1/report":
            return json_answer(self._report())
        if call.headers.get("daisyhub-expect-instance", self.name) != self.name:
            return Answer(421)
        if call.path == "/v1/order":
            return await self._order(call)
        return self._run(call)

    def _report(self) -> dict:
        return {
            "stage": "both",
            "models": [
                {"name": MODEL, "version": self.version, "adapters": []}
            ],
            "busy": self._is_busy,
            "sequence": self._orders,
            "num-waiting": 0,
            "num-running": 0,
            "kv-used": 0,
            "kv-total": 49641,
            "handles": 0,
            "born": self.born,
        }

    async def _order(self, call: Call) -> Answer:
        order = json.loads(call.body)
        if order["fencing-token"] < self._fence:
            return Answer(412)
        self._fence = order["fencing-token"]
        is_stale = order.get("expect", self._orders) != self._orders
        if self._is_busy or is_stale:
            return Answer(409)
        if order["version"] == self.version:
            return Answer(200)
        self._orders += 1
        self._is_busy = True
        asyncio.get_running_loop().call_later(0.9, self._load, order["version"])
        return Answer(202)

    def _load(self, version: int) -> None:
        self.version = version
        self._is_busy = False
        self.register(self.port)

    def _run(self, call: Call) -> Answer:
        item_id = call.headers.get("daisyhub-request-id", "")
        after = int(call.headers.get("last-event-id", 0))
        stamp = {
            "daisyhub-request-id": item_id,
            "daisyhub-server-stamp": f"{self.name}.{item_id}",
            "daisyhub-weight-versions": str(self.version),
            "content-type": "text/event-stream",
        }
        status = _IMPOSSIBLE if item_id.startswith("never") else _OK
        self.ran.append((time.monotonic(), item_id, str(status)))
        self._log(f"model server {self.name} gets item {item_id}: {status}")
        if status == _IMPOSSIBLE:
            return Answer(status, stamp, b"")
        total = 4 + zlib.crc32(item_id.encode()) % 9
        events = [
            f"id: {n}\ndata: {item_id}-{n}\n\n".encode()
            for n in range(after + 1, total + 1)
        ]
        return Answer(status, stamp, events=events, pause_s=self.pause_s)
