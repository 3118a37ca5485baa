"""A daemon is cut off; what it ordered as the cut began is run after it.

One daemon holds the duty for batch submissions and has the others run the
items. It is cut off from the other machines and the store for five seconds, as
it has just sent an order. Meanwhile the trainer ends its submission at its
deadline, and goes on to the next step. Which items of the ended submission do
daemons that were never disturbed send to model servers afterwards?
"""

import asyncio
import base64
import collections
import functools
import json
import time

from review.rig2 import gateway
from review.rig2.case import Record, has_trouble, run_case
from review.rig2.daemons import Daemons, free_port
from review.rig2.http import (
    LOOPBACK,
    Answer,
    Call,
    Listener,
    request,
    serve,
)
from review.rig2.servers import MODEL, ModelServer, entry
from review.rig2.store import Store

_KEY = "2b9wu3fexd9dnn2ctnfz"
_CANCEL_S = 3.0
_ACCEPTED = 202
_OK = 200
_ITEM_PATH = "/assess/3/91c4"
# The submissions of two steps, and what the ids of their items begin with.
_LOTS = ("7c41e09b52d6a3f8", "0a41e09b52d6a3f8")
_PREFIXES = ("b2", "c7")
_GROUPS = 120
_GROUP = 8
# Groups that the trainer waits for: `want` of the site, 0.9.
_WANTED = 108
_DAEMONS = 6
# Model servers and scoring servers in each zone, as in the site file.
_ZONES = {"busan-yard": (3, 1), "ulsan-yard": (3, 1), "changwon-yard": (2, 1)}
# Seconds between two events of a text. An item has 4 to 12 events.
_PAUSE_S = 0.12
_SCORE_S = 0.045
# The daemon that is started first, so that it gets the duty for submissions. It
# is alone in its zone, so that all of its peers are a zone's delay away.
_HOLDER = "edge-5"
_DAEMON_ZONES = {
    "edge-1": "busan-yard",
    "edge-2": "changwon-yard",
    "edge-3": "changwon-yard",
    "edge-4": "busan-yard",
    "edge-5": "ulsan-yard",
    "edge-6": "changwon-yard",
}
# The daemons that get its duties in the cut. The next holder sends no orders to
# daemons that have a duty.
_HEIRS = ("edge-2", "edge-3")
# The trainer's deadline (`deadline_ms` of the site), its training, and the time
# between its reads ("about twice per second").
_DEADLINE_S = 12.0
_TRAINING_S = 1.0
_READ_S = 0.5
# Seconds before the deadline from which on the cut may begin, its length, and
# those that are watched after it.
_BEFORE_S = 0.3
_CUT_S = 4.9
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
        fields["zone"] = _DAEMON_ZONES[name]
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


async def listen_for_all(serve_channel, net: gateway.Gateway) -> int:
    """Listens for the daemons and, by the gateway, for the cut one."""
    server = await asyncio.start_server(serve_channel, gateway.OTHERS, 0)
    port = server.sockets[0].getsockname()[1]
    await net.open(
        (gateway.OTHERS_SEEN, port),
        (gateway.OTHERS, port),
        is_out=True,
        is_spared=True,
    )
    return port


class ZoneServer(ModelServer):
    """A model server in a zone.

    Args:
        name: Its id.
        store: Where it registers itself.
        zone: Its zone.
    """

    def __init__(self, name: str, store: Store, zone: str):
        super().__init__(name, store, lambda _: None)
        self.pause_s = _PAUSE_S
        self._zone = zone

    def register(self, port: int) -> None:
        """Writes its entry."""
        self.port = port
        spec = entry("assessor-lm", port, self.born, slots=8)
        spec["models"] = [
            {"name": MODEL, "version": self.version, "adapters": []}
        ]
        spec["stage"] = "both"
        spec["zone"] = self._zone
        spec["address"] = f"{gateway.OTHERS}:{port}"
        self._store.put("servers", self.name, spec)


class ScoreServer:
    """A server of the service that scores, with six slots.

    Args:
        name: Its id.
    """

    def __init__(self, name: str):
        self._name = name
        self._slots = asyncio.Semaphore(6)

    async def handle(self, call: Call) -> Answer:
        """Answers one request."""
        if call.path == "/health":
            return Answer(headers={"daisyhub-instance-id": self._name})
        if call.headers.get("daisyhub-expect-instance") != self._name:
            return Answer(421)
        async with self._slots:
            await asyncio.sleep(_SCORE_S)
        request_id = call.headers.get("daisyhub-request-id", "")
        headers = {
            "daisyhub-request-id": request_id,
            "daisyhub-server-stamp": f"{self._name}.{request_id}",
        }
        return Answer(headers=headers, body=b"{}")


class Items:
    """The items that model servers ran.

    Attributes:
        run: When each arrived, its id, and whether the daemon that can be cut
            off sent it.
    """

    def __init__(self, record: Record, net: gateway.Gateway):
        self._record = record
        self._net = net
        self.run: list[tuple[float, str, bool]] = []

    async def handle(self, model: ModelServer, port: int, call: Call) -> Answer:
        """Passes a call on to a model server; notes items that run."""
        arrived_s = time.monotonic()
        answer = await model.handle(call)
        if call.path.startswith("/assess/"):
            item_id = call.headers.get("daisyhub-request-id", "")
            is_own = port in self._net.own_ports
            if answer.status == _OK:
                self.run.append((arrived_s, item_id, is_own))
            sender = _HOLDER if is_own else "another machine"
            self._record.write(
                f"{model.name} gets item {item_id} of {sender}: {answer.status}"
            )
        return answer


def _build_lot(step: int) -> bytes:
    items = [
        {
            "id": f"{_PREFIXES[step]}907c14da6f{n:04d}",
            "path": _ITEM_PATH,
            "headers": {
                "Daisyhub-Model": MODEL,
                "Daisyhub-Token-Count": "271,100",
            },
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 371,
            "group": f"g{step}-{n // _GROUP}",
            "scorer": {
                "id": f"{_PREFIXES[step]}40c8f1a7b3{n:04d}",
                "host": "a.example",
                "path": "/check/5e07",
                "body": base64.b64encode(b"score").decode(),
            },
        }
        for n in range(_GROUPS * _GROUP)
    ]
    lot = {
        "step": step,
        "model": MODEL,
        "min-version": 1,
        "desired-count": _WANTED,
        "items": items,
    }
    return json.dumps(lot).encode()


class Trainer:
    """A trainer with two steps, at the first daemon.

    Args:
        port: Where that daemon listens.
        store: Where it names versions.
        record: Notes its calls.
    """

    def __init__(self, port: int, store: Store, record: Record):
        self._port = port
        self._store = store
        self._record = record
        self.ended_s = 0.0

    async def submit(self, step: int) -> None:
        """Submits a step."""
        status, _ = await self._call(
            "POST", "/assess/1", _LOTS[step], _build_lot(step)
        )
        if status != _ACCEPTED:
            raise RuntimeError(f"the submission got {status}")

    async def read_until(self, time_s: float) -> None:
        """Reads the first step's results until its deadline."""
        after = 0
        counts = collections.Counter()
        while time.monotonic() + _READ_S < time_s:
            target = f"/v1/lots/{_LOTS[0]}?after={after}"
            status, content = await self._call("GET", target, "r1")
            if status == _OK:
                results = json.loads(content)["results"]
                after += len(results)
                counts.update(int(r["id"][-4:]) // _GROUP for r in results)
            if sum(n == _GROUP for n in counts.values()) >= _WANTED:
                raise RuntimeError("the trainer has its groups in time")
            await asyncio.sleep(_READ_S)
        await asyncio.sleep(time_s - time.monotonic())

    async def go_on(self) -> None:
        """Ends the first step, trains, names the next version and goes on."""
        status, _ = await self._call("DELETE", f"/v1/lots/{_LOTS[0]}", "d1")
        if status != _OK:
            raise RuntimeError(f"the end got {status}")
        self.ended_s = time.monotonic()
        stored = self._store.get("lots", _LOTS[0])
        self._record.write(f"status in the store: {stored['status']}")
        await asyncio.sleep(_TRAINING_S)
        version = {"model": MODEL, "version": 2}
        self._store.put("versions", MODEL, version)
        self._record.write("trainer: names version 2")
        await self.submit(1)

    async def _call(self, method, target, call_id, body=b""):
        headers = {
            "api-key": _KEY,
            "daisyhub-request-id": call_id,
            "content-type": "application/json",
        }
        status, _, content = await request(
            self._port, method, target, headers, body
        )
        self._record.write(f"trainer: {method} {target}: {status}")
        return status, content


async def _start_servers(store, net, items) -> None:
    for zone, (models, scorers) in _ZONES.items():
        for number in range(models):
            model = ZoneServer(f"m-{zone[0]}{number}", store, zone)

            def serve_channel(reader, writer, model=model):
                _, port = writer.get_extra_info("peername")
                handle = functools.partial(items.handle, model, port)
                return serve(handle, reader, writer)

            model.register(await listen_for_all(serve_channel, net))
        for number in range(scorers):
            scorer = ScoreServer(f"s-{zone[0]}{number}")

            def serve_scores(reader, writer, scorer=scorer):
                return serve(scorer.handle, reader, writer)

            port = await listen_for_all(serve_scores, net)
            spec = entry("yard-records", port, 1000 + port)
            spec["zone"] = zone
            spec["address"] = f"{gateway.OTHERS}:{port}"
            store.put("servers", f"s-{zone[0]}{number}", spec)


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
    await _start_servers(store, net, items)
    try:
        daemons.start(_HOLDER)
        while _find_holder(store, "rollouts") != _HOLDER:
            await asyncio.sleep(0.1)
        await daemons.start_others()
        # All machines are in touch: `contact-ms` after their start.
        await asyncio.sleep(4)
        return await _play_steps(record, store, daemons, net, items)
    finally:
        daemons.stop()
        net.close()


def _find_holder(store: Store, duty: str) -> str:
    found = store.get("duties", duty)
    return found["spec"]["holder"].split("/")[0] if found else ""


async def _cut(record, store, daemons, net) -> None:
    """Cuts the holder off as it has sent an order to run items."""
    ports = {daemons.port(name, "control") for name in _HEIRS}
    # Nothing else that it sends to a daemon names the path of items.
    await net.cut_at(_ITEM_PATH.encode(), ports)
    record.write(f"{_HOLDER} has sent an order and is cut off")
    await asyncio.sleep(_CUT_S)
    net.heal()
    record.write("the cut is over")
    for duty in ("rollouts", "accounts"):
        record.write(f"{duty} in the store: {_find_holder(store, duty)}")


async def _play_steps(record, store, daemons, net, items) -> list[str]:
    if _find_holder(store, "rollouts") != _HOLDER:
        raise RuntimeError("another daemon is the holder")
    trainer = Trainer(daemons.port(daemons.names[0]), store, record)
    deadline_s = time.monotonic() + _DEADLINE_S
    await trainer.submit(0)
    reading = asyncio.create_task(trainer.read_until(deadline_s))
    await asyncio.sleep(deadline_s - _BEFORE_S - time.monotonic())
    cut = None
    if has_trouble():
        cut = asyncio.create_task(_cut(record, store, daemons, net))
    await reading
    await trainer.go_on()
    if cut:
        await cut
    await asyncio.sleep(
        max(trainer.ended_s + _CUT_S, time.monotonic())
        + _AFTER_S
        - time.monotonic()
    )
    return [
        f"UNASKED: a server ran item {item_id} of {_LOTS[0]}, which reached it "
        f"from a machine in touch {at_s - trainer.ended_s:.2f} s after the end"
        for at_s, item_id, is_own in items.run
        # The machine that was cut off isn't in touch.
        if item_id.startswith(_PREFIXES[0])
        and at_s - trainer.ended_s > _CANCEL_S
        and not is_own
    ]


if __name__ == "__main__":
    run_case(__file__, play)
