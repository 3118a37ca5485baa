"""A reward call goes on after its batch submission was ended.

The service that scores has one server, which hangs: it reads a reward call and
doesn't answer. The trainer ends its batch submission. The operators replace
the server: a new one starts, the old one's process ends. Which calls does the
new one run?
"""

import asyncio
import base64
import json
import time

from review.rig2.case import Record, has_trouble, run_case
from review.rig2.daemons import Daemons
from review.rig2.http import Answer, Call, listen, request
from review.rig2.servers import MODEL, ModelServer, entry
from review.rig2.store import Store

_KEY = "2b9wu3fexd9dnn2ctnfz"
_CANCEL_S = 3.0
_ACCEPTED = 202
_ENDED = 200
_LOT = "7c41e09b52d6a3f8"
_ITEMS = 4
_OTHER_LOT = "0a41e09b52d6a3f8"
_OTHER_ITEMS = 96
# Seconds after the confirmed end at which the hanging server is replaced.
_REPLACED_S = 3.4
_MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-reward",
            "host": "a.example",
            "path-prefix": "/check/",
            "route-type": "safe",
            "timeout-ms": 10000,
            "target-latency-ms": 199,
            "priority": 2,
            "service": "yard-records",
            "max-attempts": 4,
            "public": True,
        },
        {
            "name": "r-desk",
            "host": "a.example",
            "path-prefix": "/desk/",
            "route-type": "safe",
            "timeout-ms": 1500,
            "target-latency-ms": 199,
            "priority": 2,
            "service": "report-desk",
            "max-attempts": 4,
            "public": True,
        },
        {
            "name": "r-assess",
            "host": "a.example",
            "path-prefix": "/assess/",
            "route-type": "rollout",
            "timeout-ms": 10000,
            "target-latency-ms": 500,
            "priority": 1,
            "service": "assessor-lm",
            "max-attempts": 3,
            "due-ms": 7500,
            "max-wait-s": 40,
            "sticky": True,
        },
    ],
    "services": [
        {"name": "yard-records", "health-path": "/health"},
        {"name": "report-desk", "health-path": "/health"},
        {
            "name": "assessor-lm",
            "health-path": "/health",
            "engine": {"slots": 8, "models": [{"name": MODEL}]},
        },
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 33554432,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [{"name": "kaje80", "api-keys": [_KEY], "priority": 1}],
}


class ScoreServer:
    """A server of the service that scores.

    Attributes:
        hangs: Whether it reads requests and never answers.
        arrived: When each request arrived, and its id.
    """

    def __init__(self, name: str, record: Record):
        self.name = name
        self._record = record
        self.hangs = False
        self.arrived: list[tuple[float, str]] = []
        self._ended = asyncio.Event()

    def end(self) -> None:
        """Ends the process: open channels close without an answer."""
        self._ended.set()

    async def handle(self, call: Call) -> Answer | None:
        """Runs one request; None closes its channel."""
        if call.path == "/health":
            return Answer(headers={"daisyhub-instance-id": self.name})
        if call.headers.get("daisyhub-expect-instance") != self.name:
            return Answer(421)
        request_id = call.headers.get("daisyhub-request-id", "")
        self.arrived.append((time.monotonic(), request_id))
        self._record.write(f"score server {self.name} runs {request_id}")
        if self.hangs:
            await self._ended.wait()
            return None
        await asyncio.sleep(0.045)
        headers = {
            "daisyhub-request-id": request_id,
            "daisyhub-server-stamp": f"{self.name}.{request_id}",
        }
        return Answer(headers=headers, body=b"{}")


def _build_lot(lot_id: str, count: int, scorer_path: str) -> bytes:
    items = [
        {
            "id": f"{lot_id[:2]}b2907c14da6f{n:02d}",
            "path": "/assess/3/91c4",
            "headers": {
                "Daisyhub-Model": MODEL,
                "Daisyhub-Token-Count": "271,100",
            },
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 371,
            "group": "g1002a",
            "scorer": {
                "id": f"{lot_id[:2]}c8f1a7b3e926{n:02d}",
                "host": "a.example",
                "path": scorer_path,
                "body": base64.b64encode(b"score").decode(),
            },
        }
        for n in range(count)
    ]
    lot = {
        "step": 0,
        "model": MODEL,
        "min-version": 1,
        "desired-count": 1,
        "items": items,
    }
    return json.dumps(lot).encode()


async def play(record: Record) -> list[str]:
    """Plays the case; returns what broke the rule."""
    store = Store()
    _, store_port = await listen(store.handle)
    store.put("config", "main", _MANIFEST)
    for number in range(2):
        model = ModelServer(f"m-{number}", store, record.write)
        model.pause_s = 0.12
        _, port = await listen(model.handle)
        model.register(port)
    desk = ScoreServer("i-desk", record)
    _, desk_port = await listen(desk.handle)
    store.put("servers", desk.name, entry("report-desk", desk_port, 900))
    old = ScoreServer("i-old", record)
    new = ScoreServer("i-new", record)
    old.hangs = has_trouble()
    old_listener, old_port = await listen(old.handle)
    store.put("servers", old.name, entry("yard-records", old_port, 1000))
    daemons = Daemons(3, store_port)
    try:
        await daemons.start_all()
        await asyncio.sleep(2)
        return await _play_lot(record, store, daemons, (old, new, old_listener))
    finally:
        daemons.stop()


async def _call(record, daemons, name, method, target, lot_id, body=b""):
    headers = {
        "api-key": _KEY,
        "daisyhub-request-id": lot_id,
        "content-type": "application/json",
    }
    status, _, content = await request(
        daemons.port(name), method, target, headers, body
    )
    record.write(f"trainer: {method} {target} at {name}: {status}")
    return status, content


async def _play_lot(record, store, daemons, servers) -> list[str]:
    old, new, old_listener = servers
    first, second, _ = daemons.names
    for lot_id, count, scorer_path in (
        (_LOT, _ITEMS, "/check/5e07"),
        (_OTHER_LOT, _OTHER_ITEMS, "/desk/5e07"),
    ):
        lot = _build_lot(lot_id, count, scorer_path)
        status, _ = await _call(
            record, daemons, first, "POST", "/assess/1", lot_id, lot
        )
        if status != _ACCEPTED:
            raise RuntimeError(f"the submission got {status}")
    # Until the texts are whole and the reward calls are at the old server.
    while len(old.arrived) < _ITEMS:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)
    status, content = await _call(
        record, daemons, second, "GET", f"/v1/lots/{_LOT}?after=0", "r1"
    )
    record.write(f"listed: {content[:120]!r}")
    status, _ = await _call(
        record, daemons, second, "DELETE", f"/v1/lots/{_LOT}", "d1"
    )
    if status != _ENDED:
        raise RuntimeError(f"the end got {status}")
    ended_s = time.monotonic()
    record.write(f"the end of the submission is confirmed: {status}")
    stored = store.get("lots", _LOT)
    record.write(f"status in the store: {stored and stored['status']}")
    # The operators replace the server: the new one starts first.
    await asyncio.sleep(_REPLACED_S - 1.0)
    _, new_port = await listen(new.handle)
    store.put("servers", new.name, entry("yard-records", new_port, 2000))
    record.write("the new score server registers itself")
    await asyncio.sleep(1.0)
    record.write("the old score server's process ends")
    old_listener.close()
    old.end()
    store.remove("servers", old.name)
    await asyncio.sleep(4)
    return [
        f"UNASKED: reward call {request_id} reached {server.name} "
        f"{at_s - ended_s:.2f} s after the end of {_LOT} was confirmed"
        for server in (old, new)
        for at_s, request_id in server.arrived
        if at_s - ended_s > _CANCEL_S
    ]


if __name__ == "__main__":
    run_case(__file__, play)
