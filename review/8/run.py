"""A batch submission on a public route is accepted; can it be read?

The manifest says of the rollout route that it is public. A trainer hands in a
batch submission with a key of its tenant, as always, reads it with the same
key, and ends it.
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
_LOT = "7c41e09b52d6a3f8"
_ITEMS = 8
_ACCEPTED = 202
_LOST = (404, 410)
# `settle-ms` of the site, in seconds.
_SETTLE_S = 1.0
_MANIFEST = {
    "version": 1,
    "routes": [
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
            "public": False,
        },
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


async def _score(call: Call) -> Answer:
    """Answers a request to the server of the service that scores."""
    if call.headers.get("daisyhub-expect-instance", "i-score") != "i-score":
        return Answer(421)
    request_id = call.headers.get("daisyhub-request-id", "")
    await asyncio.sleep(0.045)
    headers = {
        "daisyhub-instance-id": "i-score",
        "daisyhub-request-id": request_id,
        "daisyhub-server-stamp": f"i-score.{request_id}",
    }
    return Answer(headers=headers, body=b"{}")


def _build_lot() -> bytes:
    items = [
        {
            "id": f"e5b2907c14da6f{n:02d}",
            "path": "/assess/3/91c4",
            "headers": {
                "Daisyhub-Model": MODEL,
                "Daisyhub-Token-Count": "271,100",
            },
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 371,
            "group": "g1002a",
            "scorer": {
                "id": f"40c8f1a7b3e926{n:02d}",
                "host": "a.example",
                "path": "/check/5e07",
                "body": base64.b64encode(b"score").decode(),
            },
        }
        for n in range(_ITEMS)
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
    _MANIFEST["routes"][0]["public"] = has_trouble()
    store.put("config", "main", _MANIFEST)
    for number in range(2):
        model = ModelServer(f"m-{number}", store, record.write)
        _, port = await listen(model.handle)
        model.register(port)
    _, port = await listen(_score)
    store.put("servers", "i-score", entry("yard-records", port, 1000))
    daemons = Daemons(3, store_port)
    try:
        await daemons.start_all()
        # All machines are in touch: `contact-ms` after their start.
        await asyncio.sleep(4)
        return await _play_lot(record, daemons)
    finally:
        daemons.stop()


async def _play_lot(record: Record, daemons: Daemons) -> list[str]:
    broken = []
    status, _ = await _call(
        record, daemons, daemons.names[0], "POST", "/assess/1", _build_lot()
    )
    if status != _ACCEPTED:
        raise RuntimeError(f"the submission got {status}")
    await asyncio.sleep(_SETTLE_S + 1.0)
    for round_number in range(3):
        for name in daemons.names:
            target = f"/v1/lots/{_LOT}?after=0"
            status, content = await _call(record, daemons, name, "GET", target)
            if status in _LOST:
                broken.append(
                    f"LOST: {name} answers {status} for a batch submission "
                    f"that was accepted {2 + round_number} s before"
                )
            elif content:
                listed = len(json.loads(content)["results"])
                record.write(f"listed: {listed} of {_ITEMS}")
        await asyncio.sleep(1.0)
    await _call(record, daemons, daemons.names[1], "DELETE", f"/v1/lots/{_LOT}")
    return broken


async def _call(record, daemons, name, method, target, body=b""):
    headers = {
        "api-key": _KEY,
        "daisyhub-request-id": _LOT,
        "content-type": "application/json",
    }
    status, _, content = await request(
        daemons.port(name), method, target, headers, body
    )
    record.write(f"trainer: {method} {target} at {name}: {status}")
    return status, content


if __name__ == "__main__":
    run_case(__file__, play)
