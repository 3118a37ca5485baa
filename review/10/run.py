"""A daemon is cut off; what it ordered as the cut began is run after it.

One daemon holds the duty for batch submissions and has the others run the
items. It is cut off from the other machines and the store for five seconds.
Meanwhile the trainer ends its submission at another daemon. Which items does
that daemon, or another one that was never disturbed, send to model servers
afterwards?
"""

import asyncio
import base64
import functools
import json
import time

from review.rig2 import gateway
from review.rig2.case import Record, has_trouble, run_case
from review.rig2.daemons import Daemons, free_port
from review.rig2.http import LOOPBACK, Call, Listener, request, serve
from review.rig2.servers import MODEL, ModelServer
from review.rig2.store import Store

_KEY = "2b9wu3fexd9dnn2ctnfz"
_CANCEL_S = 3.0
_ACCEPTED = 202
_ENDED = 200
_ITEM_PATH = "/assess/3/91c4"
_LOT = "7c41e09b52d6a3f8"
_GROUPS = 60
_GROUP = 8
_DAEMONS = 6
_SERVERS = 8
# Seconds between two events of a text. An item has 4 to 12 events.
_PAUSE_S = 0.05
# The daemon that is started first, so that it gets the duty for submissions.
_HOLDER = "edge-5"
# Seconds from the acceptance to the cut, at least; from the cut to the end of
# the submission; and the length of the cut.
_BEFORE_S = 1.0
_END_S = 0.3
_CUT_S = 5.0
_AFTER_S = 3.0
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
        },
    ],
    "services": [
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


class CutDaemons(Daemons):
    """Daemons of which one is behind a gateway.

    Args:
        store_port: Port of the store.
        net: The gateway.
    """

    def __init__(self, store_port: int, net: gateway.Gateway):
        super().__init__(_DAEMONS, store_port)
        self._net = net
        self._store_port = store_port
        self._store_seen = (gateway.OTHERS_SEEN, free_port())

    async def open_gateway(self) -> None:
        """Lets the gateway listen for the daemons and the store."""
        await self._net.open(
            self._store_seen, (LOOPBACK, self._store_port), is_out=True
        )
        for name in self.names:
            is_out = name != _HOLDER
            seen, real = (
                (gateway.OTHERS_SEEN, gateway.OTHERS)
                if is_out
                else (gateway.OWN_SEEN, gateway.OWN)
            )
            for use in ("control", "relay"):
                port = self.port(name, use)
                await self._net.open(
                    (seen, port),
                    (real, port),
                    is_out=is_out,
                    has_datagrams=use == "control",
                )

    async def start_others(self) -> None:
        """Starts the daemons besides the holder; returns once all are ready."""
        for name in self.names:
            if name != _HOLDER:
                self.start(name)
        for name in self.names:
            while not await self.is_ready(name):
                await asyncio.sleep(0.1)

    def _fields(self, name: str) -> dict:
        fields = super()._fields(name)
        is_holder = name == _HOLDER
        own = gateway.OWN if is_holder else gateway.OTHERS
        fields["listen"]["control"] = f"{own}:{self.port(name, 'control')}"
        others = gateway.OTHERS_SEEN if is_holder else gateway.OTHERS
        fields["seeds"] = [
            f"{others}:{self.port(seed, 'control')}" for seed in self.names[:3]
        ]
        if is_holder:
            store = "{}:{}".format(*self._store_seen)
            fields["platform"]["address"] = store
            fields["cloud-api"]["address"] = store
        return fields


class SeenServer(ModelServer):
    """A model server that the gateway forwards the cut daemon's requests to."""

    async def open(self, serve_channel, net: gateway.Gateway) -> None:
        """Listens, also for the cut daemon, and writes its entry."""
        server = await asyncio.start_server(serve_channel, gateway.OTHERS, 0)
        port = server.sockets[0].getsockname()[1]
        await net.open(
            (gateway.OTHERS_SEEN, port),
            (gateway.OTHERS, port),
            is_out=True,
            is_spared=True,
        )
        self.register(port)

    def register(self, port: int) -> None:
        """Writes its entry."""
        super().register(port)
        spec = self._store.get("servers", self.name)["spec"]
        spec = {**spec, "address": f"{gateway.OTHERS}:{port}"}
        self._store.put("servers", self.name, spec)


class Items:
    """The items that reached model servers.

    Attributes:
        arrived: When each arrived, its id, and whether the daemon that can be
            cut off sent it.
    """

    def __init__(self, record: Record, net: gateway.Gateway):
        self._record = record
        self._net = net
        self.arrived: list[tuple[float, str, bool]] = []

    async def handle(self, model: ModelServer, port: int, call: Call):
        """Passes a call on to a model server; notes items."""
        if call.path.startswith("/assess/"):
            item_id = call.headers.get("daisyhub-request-id", "")
            is_own = port in self._net.own_ports
            self.arrived.append((time.monotonic(), item_id, is_own))
            sender = _HOLDER if is_own else "another machine"
            self._record.write(f"{model.name} gets item {item_id} of {sender}")
        return await model.handle(call)


def _build_lot() -> bytes:
    items = [
        {
            "id": f"b2907c14da6f{n:04d}",
            "path": _ITEM_PATH,
            "headers": {
                "Daisyhub-Model": MODEL,
                "Daisyhub-Token-Count": "271,100",
            },
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 371,
            "group": f"g{n // _GROUP}",
        }
        for n in range(_GROUPS * _GROUP)
    ]
    lot = {
        "step": 0,
        "model": MODEL,
        "min-version": 1,
        "desired-count": _GROUPS,
        "items": items,
    }
    return json.dumps(lot).encode()


async def play(record: Record) -> list[str]:
    """Plays the case; returns what broke the rule."""
    store = Store()
    store_port = await Listener().open(
        lambda reader, writer: serve(store.handle, reader, writer)
    )
    store.put("config", "main", _MANIFEST)
    net = gateway.Gateway()
    daemons = CutDaemons(store_port, net)
    await daemons.open_gateway()
    items = Items(record, net)
    for number in range(_SERVERS):
        model = SeenServer(f"m-{number}", store, lambda _: None)
        model.pause_s = _PAUSE_S

        def serve_channel(reader, writer, model=model):
            _, port = writer.get_extra_info("peername")
            handle = functools.partial(items.handle, model, port)
            return serve(handle, reader, writer)

        await model.open(serve_channel, net)
    try:
        daemons.start(_HOLDER)
        while _find_holder(store) != _HOLDER:
            await asyncio.sleep(0.1)
        await daemons.start_others()
        # All machines are in touch: `contact-ms` after their start.
        await asyncio.sleep(4)
        return await _play_lot(record, store, daemons, net, items)
    finally:
        daemons.stop()
        net.close()


def _find_holder(store: Store) -> str:
    found = store.get("duties", "rollouts")
    return found["spec"]["holder"].split("/")[0] if found else ""


async def _call(record, daemons, method, target, call_id, body=b"") -> int:
    name = daemons.names[0]
    headers = {
        "api-key": _KEY,
        "daisyhub-request-id": call_id,
        "content-type": "application/json",
    }
    status, _, _ = await request(
        daemons.port(name), method, target, headers, body
    )
    record.write(f"trainer: {method} {target} at {name}: {status}")
    return status


async def _play_lot(record, store, daemons, net, items) -> list[str]:
    holder = _find_holder(store)
    record.write(f"holder: {holder}")
    if holder != _HOLDER:
        raise RuntimeError("another daemon is the holder")
    status = await _call(
        record, daemons, "POST", "/assess/1", _LOT, _build_lot()
    )
    if status != _ACCEPTED:
        raise RuntimeError(f"the submission got {status}")
    await asyncio.sleep(_BEFORE_S)
    if has_trouble():
        # An order to run items; nothing else that it sends names their path.
        await net.cut_at(_ITEM_PATH.encode())
        record.write(f"{_HOLDER} has sent an order and is cut off")
    cut_s = time.monotonic()
    await asyncio.sleep(_END_S)
    status = await _call(record, daemons, "DELETE", f"/v1/lots/{_LOT}", "d1")
    if status != _ENDED:
        raise RuntimeError(f"the end got {status}")
    ended_s = time.monotonic()
    stored = store.get("lots", _LOT)
    record.write(f"status in the store: {stored and stored['status']}")
    await asyncio.sleep(cut_s + _CUT_S - time.monotonic())
    record.write(f"holder in the store: {_find_holder(store)}")
    if has_trouble():
        net.heal()
        record.write("the cut is over")
    await asyncio.sleep(_AFTER_S)
    return [
        f"UNASKED: item {item_id} of {_LOT} reached a model server from a "
        f"machine in touch {at_s - ended_s:.2f} s after its end was confirmed"
        for at_s, item_id, is_own in items.arrived
        # The machine that was cut off isn't in touch.
        if at_s - ended_s > _CANCEL_S and not is_own
    ]


if __name__ == "__main__":
    run_case(__file__, play)
