"""Model servers and plain services, as PROTOCOL.md describes them."""

import asyncio
import hashlib
import json
import time

from review.lib.store import Store
from review.lib.wire import Request, encode_head, read_request, write_answer

__all__ = ["Server", "item_text"]

_HEARTBEAT_S = 1.2
_QUEUE = 24
_LOAD_S = 0.9
_UNTOLD = {"Daisyhub-Not-Executed": "1"}


def event_data(item_id: str, number: int, size: int) -> str:
    """Returns the data of one event of an item's text."""
    digest = hashlib.sha256(f"{item_id}/{number}".encode()).hexdigest()
    return (digest * (size // len(digest) + 1))[:size]


def item_text(item_id: str, count: int, size: int) -> str:
    """Returns the whole text of an item."""
    return "\n".join(event_data(item_id, n, size) for n in range(1, count + 1))


class Server:
    """A server that registers itself, serves requests, and keeps records.

    Args:
        store: The platform's store.
        name: Its id.
        service: Its service.
        zone: Its zone.
        models: Version by model; empty for a plain service.
        slots: Requests that it serves at one time.
        work_of: Time of a plain request, by path.
        events: Number of events of an item's text, by item id.
        event_s: Time of an event.
        event_bytes: Size of an event's data.

    Attributes:
        ran: Records of the requests that it ran: time, id, path, tenant.
        finished: Ids of the requests that it answered whole.
        idle_since_s: When its last request ended, on the monotonic clock.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        zone: str,
        *,
        models: dict[str, int] | None = None,
        slots: int = 8,
        work_of=lambda path: 0.03,
        events=lambda item_id: 20,
        event_s: float = 0.03,
        event_bytes: int = 340,
    ):
        self._store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.models = dict(models or {})
        self.slots = slots
        self.work_of = work_of
        self.events = events
        self.event_s = event_s
        self.event_bytes = event_bytes
        self.born = int(time.time() * 1000)
        self.ran: list[dict] = []
        self.finished: set[str] = set()
        self.idle_since_s = time.monotonic()
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._sequence = 0
        self._orders = 0
        self._highest_fence = 0
        self._is_busy = False
        self._stamps = 0
        self._server = None
        self._beating: asyncio.Task | None = None
        self._writers: set = set()
        self.state = "ready"
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Listens on a free port and registers itself."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._beating = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(_HEARTBEAT_S)

    def write_entry(self) -> None:
        """Writes its entry to the store."""
        self._sequence += 1
        ip, port = self.address
        self._store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"{ip}:{port}",
                "zone": self.zone,
                "version": "r1",
                "slots": self.slots,
                "state": self.state,
                "cold-left-ms": 0,
                "sequence": self._sequence,
                "born": self.born,
                "stage": "both",
                "models": self._models(),
            },
        )

    def _models(self) -> list[dict]:
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]

    async def leave(self, drain_s: float, linger_s: float) -> None:
        """Reports `draining`, serves on for a while, and ends."""
        self.state = "draining"
        self.write_entry()
        await asyncio.sleep(drain_s + linger_s)
        self.stop()
        self._store.delete("servers", self.name)

    async def leave_unreported(self, drain_s: float, linger_s: float) -> None:
        """Removes its entry, serves on for a while, and ends."""
        self._beating.cancel()
        self._store.delete("servers", self.name)
        await asyncio.sleep(drain_s + linger_s)
        self.stop()

    def stop(self) -> None:
        """Ends: closes the listener and all channels."""
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                await self.on_request(writer, req)
                await self._answer(writer, req)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def on_request(self, writer, req: Request) -> None:
        """Called with each request of a channel before it is answered."""

    def _common(self, req: Request) -> dict[str, str]:
        head = {"Keep-Alive": "timeout=20"}
        if "daisyhub-request-id" in req.headers:
            head["Daisyhub-Request-Id"] = req.headers["daisyhub-request-id"]
        return head

    async def _answer(self, writer, req: Request) -> None:
        head = self._common(req)
        expected = req.headers.get("daisyhub-expect-instance", self.name)
        if expected != self.name:
            await write_answer(writer, 421, {**head, **_UNTOLD}, b"")
        elif req.path == "/v1/report":
            await self.write_report(writer, head)
        elif req.path == "/v1/order":
            status = self._take_order(json.loads(req.body))
            await write_answer(writer, status, head, b"{}")
        elif self.running >= self.slots and self.waiting >= _QUEUE:
            await write_answer(writer, 503, {**head, **_UNTOLD}, b"")
        else:
            await self._queue(writer, req, head)

    async def write_health(self, writer, head: dict[str, str]) -> None:
        """Answers `GET` of the health path."""
        named = {**head, "Daisyhub-Instance-Id": self.name}
        await write_answer(writer, 200, named, b"ok")

    async def write_report(self, writer, head: dict[str, str]) -> None:
        """Answers `GET /v1/report`."""
        body = json.dumps(
            {
                "stage": "both",
                "models": self._models(),
                "busy": self._is_busy,
                "sequence": self._orders,
                "num-waiting": self.waiting,
                "num-running": self.running,
                "kv-used": 0,
                "kv-total": 90000,
                "handles": 0,
                "born": self.born,
            }
        ).encode()
        typed = {**head, "Content-Type": "application/json"}
        await write_answer(writer, 200, typed, body)

    def _take_order(self, order: dict) -> int:
        if order["fencing-token"] < self._highest_fence:
            return 412
        self._highest_fence = order["fencing-token"]
        if self.models.get(order["model"], 0) >= order["version"]:
            return 200
        if self._is_busy or order.get("expect", self._orders) != self._orders:
            return 409
        self._orders += 1
        self._is_busy = True
        asyncio.get_running_loop().call_later(_LOAD_S, self._loaded, order)
        return 202

    def _loaded(self, order: dict) -> None:
        self.models[order["model"]] = order["version"]
        self._is_busy = False

    async def _queue(self, writer, req: Request, head: dict[str, str]) -> None:
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            if req.path == "/health":
                await self.write_health(writer, head)
            else:
                await self._run(writer, req, head)
                self.finished.add(req.headers.get("daisyhub-request-id", ""))
        finally:
            self.running -= 1
            self.idle_since_s = time.monotonic()
            self._free.release()

    async def _run(self, writer, req: Request, head: dict[str, str]) -> None:
        self._stamps += 1
        head["Daisyhub-Server-Stamp"] = f"{self.name}.{self._stamps}"
        load = f"{self.running},{self.waiting},{self.slots}"
        head["Daisyhub-Server-Load"] = load
        self.ran.append(
            {
                "at": time.monotonic(),
                "id": req.headers.get("daisyhub-request-id", ""),
                "path": req.path,
                "tenant": req.headers.get("daisyhub-tenant", ""),
                "after": int(req.headers.get("last-event-id", 0)),
                "server": self.name,
            }
        )
        if "daisyhub-model" in req.headers:
            await self._stream(writer, req, head)
            return
        work_s = self.work_of(req.path)
        left_s = int(req.headers.get("daisyhub-deadline-ms", 600_000)) / 1000
        await asyncio.sleep(min(work_s, left_s))
        if work_s > left_s:
            await write_answer(writer, 504, head, b"")
            return
        body = f"answer to {req.headers.get('daisyhub-request-id')}".encode()
        await write_answer(writer, 200, head, body)

    async def _stream(self, writer, req: Request, head) -> None:
        item_id = req.headers["daisyhub-request-id"]
        model = req.headers["daisyhub-model"]
        version = self.models.get(model, 0)
        head["Daisyhub-Weight-Versions"] = str(version)
        head["Content-Type"] = "text/event-stream"
        head["Transfer-Encoding"] = "chunked"
        writer.write(encode_head(200, head))
        first = int(req.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events(item_id) + 1):
            await asyncio.sleep(self.event_s)
            data = event_data(item_id, number, self.event_bytes)
            now = self.models.get(model, 0)
            line = (
                "" if now == version else f"daisyhub-weight-versions: {now}\n"
            )
            version = now
            part = f"{line}id: {number}\ndata: {data}\n\n".encode()
            writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
