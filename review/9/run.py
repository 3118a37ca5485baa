"""A reward call goes on after its batch submission was ended.

The service that scores has one server, which hangs on some requests: it reads
them and doesn't answer. The trainer has the groups that it waits for and ends
its batch submission. The server is replaced: a new one starts, the old one
reports `draining`, serves on and exits. Which calls does the new one run?
"""

import asyncio
import base64
import collections
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
_GROUPS = 3
_GROUP = 4
_WANTED = 2
# Reward calls, by the number of their item, on which the server hangs, and the
# largest share of its requests on which it may.
_HANGS = (8, 9)
_MOST_HANGING = 0.4
# The next step, which the trainer requests ahead, and the groups that it waits
# for there: `want` of the site, 0.9.
_NEXT_LOT = "0a41e09b52d6a3f8"
_NEXT_GROUPS = 48
_NEXT_WANTED = 43
# The trainer's deadline (`deadline_ms` of the site), its training, and the time
# between its reads ("about twice per second").
_DEADLINE_S = 12.0
_TRAINING_S = 1.0
_READ_S = 0.5
# Seconds after the confirmed end at which the new server registers itself, the
# old one reports `draining`, and exits: `drain-ms` and a little later.
_NEW_S = 0.6
_DRAINING_S = 1.1
_EXIT_S = 3.3
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
    """A server of a service that scores.

    Attributes:
        hangs: The requests that it reads and never answers, by id.
        arrived: When each request arrived, and its id.
    """

    def __init__(self, name: str, record: Record):
        self.name = name
        self._record = record
        self.hangs: frozenset[str] = frozenset()
        self.arrived: list[tuple[float, str]] = []

    def count_hanging(self) -> int:
        """Returns the number of requests on which it hangs."""
        return sum(request_id in self.hangs for _, request_id in self.arrived)

    async def handle(self, call: Call) -> Answer:
        """Runs one request."""
        if call.path == "/health":
            return Answer(headers={"daisyhub-instance-id": self.name})
        if call.headers.get("daisyhub-expect-instance") != self.name:
            return Answer(421)
        request_id = call.headers.get("daisyhub-request-id", "")
        self.arrived.append((time.monotonic(), request_id))
        self._record.write(f"score server {self.name} runs {request_id}")
        if request_id in self.hangs:
            await asyncio.Event().wait()
        await asyncio.sleep(0.045)
        headers = {
            "daisyhub-request-id": request_id,
            "daisyhub-server-stamp": f"{self.name}.{request_id}",
        }
        return Answer(headers=headers, body=b"{}")


def _build_lot(
    lot_id: str, step: int, groups: int, wanted: int, scorer_path: str
) -> bytes:
    items = [
        {
            "id": f"{lot_id[:2]}b2907c14da6f{n:03d}",
            "path": "/assess/3/91c4",
            "headers": {
                "Daisyhub-Model": MODEL,
                "Daisyhub-Token-Count": "271,100",
            },
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 371,
            "group": f"g{n // _GROUP}",
            "scorer": {
                "id": f"{lot_id[:2]}c8f1a7b3e926{n:03d}",
                "host": "a.example",
                "path": scorer_path,
                "body": base64.b64encode(b"score").decode(),
            },
        }
        for n in range(groups * _GROUP)
    ]
    lot = {
        "step": step,
        "model": MODEL,
        "min-version": 1,
        "desired-count": wanted,
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
    if has_trouble():
        old.hangs = frozenset(f"{_LOT[:2]}c8f1a7b3e926{n:03d}" for n in _HANGS)
    old_listener, old_port = await listen(old.handle)
    spec = entry("yard-records", old_port, 1000)
    store.put("servers", old.name, spec)
    daemons = Daemons(3, store_port)
    try:
        await daemons.start_all()
        # All machines are in touch: `contact-ms` after their start.
        await asyncio.sleep(4)
        return await _play_lot(
            record, store, daemons, (old, new, old_listener, spec)
        )
    finally:
        daemons.stop()


async def _read_groups(record, daemons, lot_id: str, wanted: int) -> bool:
    """Reads until enough groups are complete; False at the deadline."""
    listed = []
    deadline_s = time.monotonic() + _DEADLINE_S
    while time.monotonic() < deadline_s:
        target = f"/v1/lots/{lot_id}?after={len(listed)}"
        name = daemons.names[1]
        status, content = await _call(record, daemons, name, "GET", target, "r")
        if status == _ENDED:
            listed += json.loads(content)["results"]
        counts = collections.Counter(
            int(result["id"][-3:]) // _GROUP for result in listed
        )
        if sum(count == _GROUP for count in counts.values()) >= wanted:
            return True
        await asyncio.sleep(_READ_S)
    return False


async def _follow_next(record, daemons) -> None:
    """Reads the next step and ends it, as the first one."""
    await _read_groups(record, daemons, _NEXT_LOT, _NEXT_WANTED)
    await _end(record, daemons, _NEXT_LOT)


async def _end(record, daemons, lot_id: str) -> None:
    target = f"/v1/lots/{lot_id}"
    name = daemons.names[1]
    status, _ = await _call(record, daemons, name, "DELETE", target, "d1")
    if status != _ENDED:
        raise RuntimeError(f"the end got {status}")


async def _name_version(record, store) -> None:
    await asyncio.sleep(_TRAINING_S)
    store.put("versions", MODEL, {"model": MODEL, "version": 2})
    record.write("trainer: names version 2")


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
    old, new, old_listener, spec = servers
    for lot_id, step, groups, wanted, scorer_path in (
        (_LOT, 0, _GROUPS, _WANTED, "/check/5e07"),
        (_NEXT_LOT, 1, _NEXT_GROUPS, _NEXT_WANTED, "/desk/5e07"),
    ):
        lot = _build_lot(lot_id, step, groups, wanted, scorer_path)
        name = daemons.names[0]
        status, _ = await _call(
            record, daemons, name, "POST", "/assess/1", lot_id, lot
        )
        if status != _ACCEPTED:
            raise RuntimeError(f"the submission got {status}")
    following = asyncio.create_task(_follow_next(record, daemons))
    if not await _read_groups(record, daemons, _LOT, _WANTED):
        raise RuntimeError("the groups weren't complete in time")
    # Each hanging call is there, and its repeat after the usual latency.
    while old.count_hanging() < 2 * len(old.hangs):
        await asyncio.sleep(0.02)
    await _end(record, daemons, _LOT)
    ended_s = time.monotonic()
    record.write("the end of the submission is confirmed")
    training = asyncio.create_task(_name_version(record, store))
    stored = store.get("lots", _LOT)
    record.write(f"status in the store: {stored and stored['status']}")
    # A release: the new one starts first, the old one drains.
    await asyncio.sleep(_NEW_S)
    _, new_port = await listen(new.handle)
    store.put("servers", new.name, entry("yard-records", new_port, 2000))
    record.write("the new score server registers itself")
    await asyncio.sleep(_DRAINING_S - _NEW_S)
    store.put("servers", old.name, {**spec, "state": "draining"})
    record.write("the old score server reports draining")
    await asyncio.sleep(_EXIT_S - _DRAINING_S)
    hanging, arrived = old.count_hanging(), len(old.arrived)
    record.write(f"the old one exits; it hung on {hanging} of {arrived}")
    if hanging > _MOST_HANGING * arrived:
        raise RuntimeError("the server hung on too many requests")
    old_listener.close()
    store.remove("servers", old.name)
    await asyncio.sleep(4)
    await training
    following.cancel()
    return [
        f"UNASKED: reward call {request_id} reached {server.name} "
        f"{at_s - ended_s:.2f} s after the end of {_LOT} was confirmed"
        for server in (old, new)
        for at_s, request_id in server.arrived
        if at_s - ended_s > _CANCEL_S
    ]


if __name__ == "__main__":
    run_case(__file__, play)
