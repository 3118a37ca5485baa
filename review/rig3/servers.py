"""Stand-ins of the platform's servers: engines and plain services."""

import asyncio
import contextlib
import itertools
import secrets
import time

import wire

LOAD_S = 0.9
IMPOSSIBLE = 422
# Requests that wait at a server with no free slot.
QUEUE = 24
# Seconds after which the entry of a server that crashed is removed.
ENTRY_S = 3.6


class Server:
    """One server, with its channels.

    Args:
        store: Where it registers itself.
        record: Writes a line of the record.
        name: Its id.
        service: Its service.
        zone: Its zone.
        model: The model that it serves; empty for a plain service.
        slots: Requests that it serves at one time.

    Attributes:
        version: Version of its weights.
        work_of: Returns the seconds for a request of a plain service.
        gap_s: Seconds between the events of a stream.
        lengths: Returns the number of events of an item's text.
        pace: What follows the load in its header, such as ",100".
        impossible: The items that it answers with 422.
        other_models: Further models, at their first version.
        running: Number of requests that it works on.
        runs: What it ran, in the order in which it began.
        on_answer: Called with the channel's state and the answer of a plain
            request; returns the bytes to send.
    """

    def __init__(self, store, record, name, service, zone, model="", slots=8):
        self._store = store
        self._record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.model = model
        self.slots = slots
        self.version = 1
        self.work_of = lambda request: 0.03
        self.gap_s = 0.02
        self.lengths = lambda item_id, version: 10
        self.pace = ""
        self.impossible: frozenset[str] = frozenset()
        self.runs: list[dict] = []
        self.orders: list[dict] = []
        self.on_answer = lambda channel, request, answer: answer
        self.state = "ready"
        self.address = ""
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._is_busy = False
        self._fence = 0
        self.running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._writers: set = set()
        self.other_models: tuple[str, ...] = ()
        self._stamps = itertools.count(1)
        self._channels = itertools.count(1)
        self._mark = secrets.token_hex(3)
        self._server = None

    async def start(self) -> None:
        """Listens and registers."""
        self._server = await asyncio.start_server(
            self._serve, self._store.ip, 0, limit=1 << 22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._store.ip}:{port}"
        self.register()

    async def crash(self) -> None:
        """Ends for good; its entry is removed after its silence."""
        self._record("server_gone", server=self.name)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(ENTRY_S)
        self._store.drop("servers", self.name)

    def register(self) -> None:
        """Writes its entry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "r1",
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "sequence": 1,
            "born": self._born,
            "stage": "both",
            "models": self._models(),
        }
        self._store.put("servers", self.name, entry)

    def _models(self) -> list[dict]:
        if not self.model:
            return []
        versions = {self.model: self.version}
        versions.update((name, 1) for name in self.other_models)
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in versions.items()
        ]

    def _load_text(self) -> str:
        return f"{self.running},{self._waiting},{self.slots}{self.pace}"

    def _headers(self, request: wire.Request) -> dict[str, str]:
        return {
            "Daisyhub-Request-Id": request.headers["daisyhub-request-id"],
            "Daisyhub-Server-Stamp": f"{self._mark}.{next(self._stamps)}",
            "Daisyhub-Server-Load": self._load_text(),
            "Keep-Alive": "timeout=30",
        }

    async def _serve(self, reader, writer) -> None:
        channel = {
            "server": self.name,
            "number": next(self._channels),
            "extra": b"",
        }
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await wire.read_request(reader)) is not None:
                await self._handle(channel, request, reader, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _handle(self, channel, request, reader, writer) -> None:
        expected = request.headers.get("daisyhub-expect-instance", self.name)
        if expected != self.name:
            writer.write(wire.encode_answer(421))
        elif request.path == "/health":
            headers = {
                "Daisyhub-Instance-Id": self.name,
                "Daisyhub-Server-Load": self._load_text(),
            }
            answer = wire.encode_answer(200, b"", headers)
            writer.write(self.on_answer(channel, request, answer))
        elif request.path == "/v1/report":
            writer.write(wire.encode_json(200, self._report()))
        elif request.path == "/v1/order":
            writer.write(wire.encode_json(self._order(request.json()), {}))
        elif "daisyhub-request-id" not in request.headers:
            headers = {"Daisyhub-Not-Executed": "1"}
            writer.write(wire.encode_answer(400, b"", headers))
        elif self._waiting >= QUEUE:
            headers = {
                "Daisyhub-Request-Id": request.headers["daisyhub-request-id"],
                "Daisyhub-Not-Executed": "1",
            }
            writer.write(wire.encode_answer(503, b"", headers))
        else:
            await self._run(channel, request, reader, writer)

    def _report(self) -> dict:
        return {
            "stage": "both",
            "models": self._models(),
            "busy": self._is_busy,
            "sequence": self._sequence,
            "num-waiting": 0,
            "num-running": self.running,
            "kv-used": 0,
            "kv-total": 49_641,
            "handles": 0,
            "born": self._born,
        }

    def _order(self, order: dict) -> int:
        self.orders.append({"at_s": time.monotonic(), **order})
        status = self._judge_order(order)
        self._record("order", server=self.name, status=status, **order)
        return status

    def _judge_order(self, order: dict) -> int:
        if order["fencing-token"] < self._fence:
            return 412
        self._fence = order["fencing-token"]
        if order["version"] == self.version:
            return 200
        if self._is_busy or order.get("expect", self._sequence) != (
            self._sequence
        ):
            return 409
        self._sequence += 1
        self._is_busy = True
        asyncio.create_task(self._load(order["version"]))
        return 202

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self.version = version
        self._is_busy = False
        self.register()

    async def _run(self, channel, request, reader, writer) -> None:
        run = {
            "server": self.name,
            "channel": channel["number"],
            "id": request.headers["daisyhub-request-id"],
            "tenant": request.headers.get("daisyhub-tenant", ""),
            "target": request.target,
            "after": int(request.headers.get("last-event-id", 0)),
            "began_s": time.monotonic(),
            "made_s": [],
            "ended_s": None,
            "stamp": "",
            "status": wire.OK,
        }
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        run["began_s"] = time.monotonic()
        self.runs.append(run)
        self.running += 1
        try:
            if run["id"] in self.impossible:
                run["status"] = IMPOSSIBLE
                headers = self._headers(request)
                writer.write(wire.encode_answer(IMPOSSIBLE, b"", headers))
            elif self.model and request.target.startswith("/gen/"):
                await self._stream(run, request, reader, writer)
            else:
                await self._look_up(channel, run, request, writer)
        finally:
            self.running -= 1
            self._free.release()
            run["ended_s"] = time.monotonic()

    async def _look_up(self, channel, run, request, writer) -> None:
        await asyncio.sleep(self.work_of(request))
        headers = self._headers(request)
        run["stamp"] = headers["Daisyhub-Server-Stamp"]
        body = f"answer to {run['id']}".encode().ljust(800, b".")
        answer = wire.encode_answer(200, body, headers)
        writer.write(self.on_answer(channel, request, answer))

    async def _stream(self, run, request, reader, writer) -> None:
        headers = {
            **self._headers(request),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "Daisyhub-Weight-Versions": str(self.version),
        }
        run["stamp"] = headers["Daisyhub-Server-Stamp"]
        last = self.version
        count = self.lengths(run["id"], self.version)
        writer.write(wire.encode_head(200, headers))
        for number in range(run["after"] + 1, count + 1):
            await asyncio.sleep(self.gap_s)
            if reader.at_eof() or writer.is_closing():
                raise ConnectionResetError
            line = ""
            if self.version != last:
                last = self.version
                line = f"daisyhub-weight-versions: {last}\n"
            event = f"{line}id: {number}\ndata: {run['id']}.{number}\n\n"
            run["made_s"].append((number, last, time.monotonic()))
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
