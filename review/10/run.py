"""An item that can never be done comes again in later batch submissions.

The service that scores is lost, so that no group is complete at the trainer's
deadline. The trainer asks for the same group again in its next batch
submissions, under the same ids. One item of the group can never be done: model
servers answer it with 422. How often does it reach one?
"""

import asyncio
import base64
import json

from review.rig2.case import Record, has_trouble, run_case
from review.rig2.daemons import Daemons
from review.rig2.http import Answer, Call, listen, request
from review.rig2.servers import MODEL, ModelServer, entry
from review.rig2.store import Store

_KEY = "2b9wu3fexd9dnn2ctnfz"
_ACCEPTED = 202
_ENDED = 200
_IMPOSSIBLE = "422"
# Answers of 422 after which an item must not reach a server again.
_MOST_IMPOSSIBLE = 3
_STEPS = 5
# The trainer's deadline: that of the class in the site file.
_DEADLINE_S = 12.0
_TRAIN_S = 1.0
_GROUP = 8
# The item that can never be done; see `ModelServer`.
_NEVER = "never907c14da6f38"
_MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-reward",
            "host": "a.example",
            "path-prefix": "/check/",
            "route-type": "safe",
            "timeout-ms": 1500,
            "target-latency-ms": 199,
            "priority": 2,
            "service": "yard-records",
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
    """A sound server of the service that scores."""

    def __init__(self, name: str, record: Record):
        self.name = name
        self._record = record

    async def handle(self, call: Call) -> Answer:
        """Runs one request."""
        if call.path == "/health":
            return Answer(headers={"daisyhub-instance-id": self.name})
        if call.headers.get("daisyhub-expect-instance") != self.name:
            return Answer(421)
        request_id = call.headers.get("daisyhub-request-id", "")
        self._record.write(f"score server {self.name} runs {request_id}")
        await asyncio.sleep(0.045)
        headers = {
            "daisyhub-request-id": request_id,
            "daisyhub-server-stamp": f"{self.name}.{request_id}",
        }
        return Answer(headers=headers, body=b"{}")


def _build_lot(step: int, groups: dict[str, list[str]]) -> bytes:
    items = [
        {
            "id": item_id,
            "path": "/assess/3/91c4",
            "headers": {
                "Daisyhub-Model": MODEL,
                "Daisyhub-Token-Count": "271,100",
            },
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 371,
            "group": group,
            "scorer": {
                "id": f"40c8{item_id}",
                "host": "a.example",
                "path": "/check/5e07",
                "body": base64.b64encode(b"score").decode(),
            },
        }
        for group, ids in groups.items()
        for item_id in ids
    ]
    lot = {
        "step": step,
        "model": MODEL,
        "min-version": max(1, step),
        "desired-count": len(groups),
        "items": items,
    }
    return json.dumps(lot).encode()


async def play(record: Record) -> list[str]:
    """Plays the steps of a trainer; returns what broke the rule."""
    store = Store()
    _, store_port = await listen(store.handle)
    store.put("config", "main", _MANIFEST)
    models = [ModelServer(f"m-{n}", store, record.write) for n in range(2)]
    for model in models:
        _, port = await listen(model.handle)
        model.register(port)
    score = ScoreServer("i-score", record)
    listener, score_port = await listen(score.handle)
    store.put("servers", score.name, entry("yard-records", score_port, 1000))
    daemons = Daemons(3, store_port)
    try:
        await daemons.start_all()
        await asyncio.sleep(4)
        if has_trouble():
            record.write("the score server is lost")
            listener.close()
            loop = asyncio.get_running_loop()
            # After three intervals of silence.
            loop.call_later(3.6, store.remove, "servers", score.name)
        await _train(record, store, daemons)
    finally:
        daemons.stop()
    return _judge([run for model in models for run in model.ran])


async def _train(record: Record, store: Store, daemons: Daemons) -> None:
    """Asks for steps of two groups, one of which may come again."""
    again = {"g1002a": [_NEVER, *_make_ids("e5", _GROUP - 1)]}
    for step in range(_STEPS):
        groups = {**again, f"g{step}": _make_ids(f"{step:02d}", _GROUP)}
        if not again:
            groups[f"h{step}"] = _make_ids(f"{step + 50:02d}", _GROUP)
        lot_id = f"7c41e09b52d6a3{step:02d}"
        daemon = daemons.names[step % len(daemons.names)]
        lot = _build_lot(step, groups)
        status, _ = await _call(
            record, daemons, daemon, "POST", "/assess/1", lot_id, lot
        )
        if status != _ACCEPTED:
            raise RuntimeError(f"the submission got {status}")
        listed = await _read_until(record, daemons, daemon, lot_id)
        status, _ = await _call(
            record, daemons, daemon, "DELETE", f"/v1/lots/{lot_id}", "d"
        )
        if status != _ENDED:
            raise RuntimeError(f"the end got {status}")
        incomplete = [
            group for group, ids in groups.items() if not listed >= set(ids)
        ]
        record.write(f"trainer: groups that aren't complete: {incomplete}")
        again = {group: groups[group] for group in incomplete[:1]}
        await asyncio.sleep(_TRAIN_S)
        version = {"model": MODEL, "version": step + 2}
        store.put("versions", MODEL, version)
        record.write(f"trainer: names {version}")


def _make_ids(prefix: str, count: int) -> list[str]:
    return [f"{prefix}b2907c14da6f{n:02d}" for n in range(count)]


async def _read_until(record, daemons, daemon: str, lot_id: str) -> set[str]:
    """Reads results until all are listed or the deadline; returns the ids."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + _DEADLINE_S
    listed = []
    while loop.time() < until_s and len(listed) < 2 * _GROUP:
        status, _, content = await request(
            daemons.port(daemon),
            "GET",
            f"/v1/lots/{lot_id}?after={len(listed)}",
            {
                "api-key": _KEY,
                "daisyhub-request-id": "r",
                "daisyhub-wait-ms": "500",
            },
        )
        if status == _ENDED:
            listed += json.loads(content)["results"]
        await asyncio.sleep(0.1)
    states = {result["id"]: result["state"] for result in listed}
    record.write(f"trainer: {lot_id} lists {states}")
    return set(states)


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


def _judge(ran: list[tuple[float, str, str]]) -> list[str]:
    """Returns a line for each arrival after the third 422 to its item."""
    broken = []
    answers = 0
    for _, item_id, status in sorted(ran):
        if item_id != _NEVER:
            continue
        if answers >= _MOST_IMPOSSIBLE:
            broken.append(
                f"BUDGET: {item_id} reached a server after {answers} answers "
                "of 422"
            )
        answers += status == _IMPOSSIBLE
    return broken


if __name__ == "__main__":
    run_case(__file__, play)
