"""Starts the daemons of the deploy file and the stand-ins around them."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

import wire
from servers import Server
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "yard.example"
KEY = "key-of-tenant-1"
TENANT = "tenant-1"
MODEL, OTHER_MODEL = "m0", "m1"
ZONES = ("busan-yard", "ulsan-yard", "changwon-yard")
_PLACEHOLDER = re.compile(r"\{\{([a-z0-9.-]+)(\|json)?\}\}")
_SECTION = re.compile(r"\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_ports = iter(range(20_000, 32_000))


def run(main) -> int:
    """Runs a case; returns its exit status, 2 if it is told to stop."""

    async def play() -> int:
        task = asyncio.ensure_future(main())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return 2

    return asyncio.run(play())


class CannotRunError(Exception):
    """The case could not be set up."""


def own_address() -> str:
    """Returns a loopback address that no other run has at the same time."""
    number, last = divmod(os.getpid(), 254)
    number, third = divmod(number, 256)
    return f"127.{64 + number % 64}.{third}.{last + 1}"


def free_port(ip: str) -> int:
    """Returns a port below those of outgoing connections that is free."""
    for port in _ports:
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind((ip, port))
            udp.bind((ip, port))
            return port
    raise CannotRunError("no port is free")


def _look_up(fields: dict, name: str):
    value = fields
    for part in name.split("."):
        try:
            value = value[int(part)] if part.isdigit() else value[part]
        except (KeyError, IndexError, TypeError):
            return None
    return value


def fill_in(template: str, fields: dict) -> str:
    """Fills in the settings template as the platform does."""

    def section(match) -> str:
        return match[2] if _look_up(fields, match[1]) else ""

    def value(match) -> str:
        found = _look_up(fields, match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return _PLACEHOLDER.sub(value, _SECTION.sub(section, template))


class System:
    """A small deployment on loopback.

    Args:
        folder: Folder of the case, in which `record.txt` is written.
        daemons: Number of daemons.
        engines: Number of model servers.
        plain: Number of servers of the plain service.
        desk: Number of servers of the service for the route `/stock/`; without
            any, the plain service has it.
        bounds: Bounds that differ from those of the small deployments.
    """

    def __init__(
        self, folder, daemons=4, engines=4, plain=3, desk=0, bounds=None
    ):
        self._out = open(  # noqa: SIM115
            pathlib.Path(folder) / "record.txt", "w", encoding="utf-8"
        )
        self._started_s = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory(prefix="daisyhub-review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.ip = own_address()
        self.store = Store(self.record, self.ip)
        self.daemons = [f"edge-{n}" for n in range(1, daemons + 1)]
        self.processes: dict[str, subprocess.Popen] = {}
        self.fronts: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self.metrics: dict[str, str] = {}
        self._settings: dict[str, str] = {}
        self._bounds = bounds or {}
        self.engines = [
            Server(
                self.store,
                self.record,
                f"i-e{n}",
                "assessor-lm",
                ZONES[n % 3],
                MODEL,
            )
            for n in range(engines)
        ]
        self.plain = [
            Server(
                self.store,
                self.record,
                f"i-p{n}",
                "yard-records",
                ZONES[n % 3],
                slots=6,
            )
            for n in range(plain)
        ]
        # A service of its own for the route `/stock/`, if there is one.
        self.desk = [
            Server(
                self.store,
                self.record,
                f"i-d{n}",
                "stock-desk",
                ZONES[n % 3],
                slots=6,
            )
            for n in range(desk)
        ]
        for server in self.engines:
            server.other_models = (OTHER_MODEL,)
        self._version = 0

    def record(self, event: str, **fields) -> None:
        """Writes a line of the record."""
        at_s = time.monotonic() - self._started_s
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._out.write(f"{at_s:8.3f} {event} {text}\n")
        self._out.flush()

    async def start(self) -> None:
        """Starts all stand-ins and daemons; waits until all are ready."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: build first")
        self.write_manifest({TENANT: [KEY]})
        for server in (*self.engines, *self.plain, *self.desk):
            await server.start()
        controls = {name: free_port(self.ip) for name in self.daemons}
        seeds = [f"{self.ip}:{controls[n]}" for n in self.daemons[:3]]
        for number, name in enumerate(self.daemons):
            await self._prepare(name, number, controls[name], seeds)
        for name in self.daemons:
            self.start_daemon(name)
        for name in self.daemons:
            await self.wait_until_ready(name)

    async def _prepare(self, name, number, control, seeds) -> None:
        store = await self.store.listen(name)
        front, ready, first, second = (free_port(self.ip) for _ in range(4))
        self.fronts[name] = f"{self.ip}:{front}"
        self.ready[name] = f"{self.ip}:{ready}"
        self.metrics[name] = f"{self.ip}:{first}"
        fields = {
            "node-name": name,
            "zone": ZONES[number % 3],
            "listen": {
                "front": self.fronts[name],
                "ready": self.ready[name],
                "control": f"{self.ip}:{control}",
            },
            "internal-ports": [first, second],
            "seeds": seeds,
            "platform": {"address": store},
            "cloud-api": {
                "address": store,
                "duties": ["usage_report", "autoscale"],
            },
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
            },
            "bounds": {
                "fencing-enforced": True,
                "lease-ms": 3000,
                "grace-s": 8,
                "usage-window-s": 5,
                "usage-late-s": 10,
                "status-s": 120,
                **self._bounds,
            },
        }
        template = (ROOT / "deploy/settings.jsonc.tmpl").read_text()
        path = self.folder / f"{name}.jsonc"
        path.write_text(fill_in(template, fields))
        self._settings[name] = str(path)

    def start_daemon(self, name: str) -> None:
        """Starts a daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["hub"]["run"])
        command[0] = sys.executable
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "DAISYHUB_NODE_FILE": self._settings[name],
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record("started", daemon=name)

    async def wait_until_ready(self, name: str, timeout_s=20.0) -> None:
        """Waits until a daemon says that it is ready."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            answer = await wire.call(
                self.ready[name], "GET", "/v1/readiness", {"Host": "x"}
            )
            if answer is not None and answer.status == wire.OK:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{name} is not ready")

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a daemon."""
        self.record("signal", daemon=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    async def holder(self, duty="rollouts") -> str:
        """Returns the daemon that holds a duty, by its own status."""
        for _ in range(100):
            for name in self.daemons:
                if self.processes[name].poll() is not None:
                    continue
                answer = await wire.call(
                    self.metrics[name], "GET", "/status", {"Host": "x"}
                )
                if answer is None or answer.status != wire.OK:
                    continue
                found = json.loads(answer.body).get(f"duty {duty}", {})
                if found.get("fencing"):
                    return name
            await asyncio.sleep(0.1)
        raise CannotRunError(f"nobody holds {duty}")

    def log_lines(self, name: str) -> list[dict]:
        """Returns the decisions that a daemon has logged."""
        text = (self.folder / f"{name}.log").read_text(errors="replace")
        found = []
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def stop(self) -> None:
        """Ends all daemons."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._out.close()
        keep = os.environ.get("KEEP_LOGS", "")
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()

    def write_manifest(self, keys: dict[str, list[str]], extra=()) -> None:
        """Writes the next manifest, as the operator does."""
        self._version += 3
        routes = [
            {
                "name": "condition-lookup",
                "host": HOST,
                "path-prefix": "/look/",
                "route-type": "safe",
                "service": "yard-records",
                "timeout-ms": 2000,
                "target-latency-ms": 192,
                "priority": 2,
                "max-attempts": 3,
            },
            {
                "name": "stock-check",
                "host": HOST,
                "path-prefix": "/stock/",
                "route-type": "safe",
                "service": "stock-desk" if self.desk else "yard-records",
                "timeout-ms": 1500,
                "target-latency-ms": 200,
                "priority": 2,
                "max-attempts": 3,
                "public": True,
            },
            {
                "name": "board-assess",
                "host": HOST,
                "path-prefix": "/gen/",
                "route-type": "rollout",
                "service": "assessor-lm",
                "timeout-ms": 10_000,
                "target-latency-ms": 500,
                "priority": 1,
                "max-attempts": 3,
                "due-ms": 7500,
                "max-wait-s": 40,
                "sticky": True,
            },
            *extra,
        ]
        manifest = {
            "version": self._version,
            "routes": routes,
            "services": [
                {
                    "name": "assessor-lm",
                    "max-conns": 140,
                    "health-path": "/health",
                    "engine": {
                        "models": [{"name": MODEL}, {"name": OTHER_MODEL}]
                    },
                },
                {
                    "name": "stock-desk",
                    "max-conns": 110,
                    "health-path": "/health",
                },
                {
                    "name": "yard-records",
                    "max-conns": 110,
                    "health-path": "/health",
                },
            ],
            "limits": {
                "max-header-bytes": 16_384,
                "max-body-bytes": 33_554_432,
                "header-timeout-ms": 10_000,
                "idle-timeout-ms": 15_000,
            },
            "tenants": [
                {"name": name, "api-keys": found}
                for name, found in keys.items()
            ],
        }
        self.store.put("config", "main", manifest)
        self.record("manifest", version=self._version)

    def name_version(self, version: int) -> None:
        """Names a version of the weights, as the trainer does."""
        spec = {"model": MODEL, "version": version}
        self.store.put("versions", MODEL, spec)
        self.record("version_named", version=version)

    # Calls of clients.

    async def send(
        self,
        daemon: str,
        method: str,
        target: str,
        request_id: str,
        body=b"",
        headers=None,
        timeout_s=4.0,
        kept_s=0.0,
    ) -> wire.Answer | None:
        """Sends a client's request; returns its answer or None."""
        fields = {
            "Host": HOST,
            "Daisyhub-Request-Id": request_id,
            "Daisyhub-Deadline-Ms": str(int(timeout_s * 1000)),
            "Api-Key": KEY,
            **(headers or {}),
        }
        sent_s = time.monotonic()
        answer = await wire.call(
            self.fronts[daemon],
            method,
            target,
            fields,
            body,
            timeout_s,
            kept_s,
        )
        self.record(
            "call",
            daemon=daemon,
            method=method,
            target=target,
            id=request_id,
            status=answer.status if answer else "none",
            took_s=round(time.monotonic() - sent_s, 3),
        )
        return answer

    async def submit(self, daemon: str, lot: dict, timeout_s=4.0):
        """Submits a lot; returns the status, or 0 without an answer."""
        answer = await self.send(
            daemon,
            "POST",
            f"/gen/{lot['id']}",
            lot["id"],
            json.dumps({k: v for k, v in lot.items() if k != "id"}).encode(),
            {"Content-Type": "application/json"},
            timeout_s,
        )
        return answer.status if answer else 0

    async def read(self, daemon: str, lot_id: str, after: int, wait_ms=1000):
        """Reads results; returns the status and the decoded body."""
        answer = await self.send(
            daemon,
            "GET",
            f"/v1/lots/{lot_id}?after={after}",
            f"read-{time.monotonic_ns():x}",
            headers={"Daisyhub-Wait-Ms": str(wait_ms)},
        )
        if answer is None or answer.status != wire.OK:
            return (answer.status if answer else 0), None
        return wire.OK, json.loads(answer.body)

    async def end(self, daemon: str, lot_id: str) -> int:
        """Ends a lot; returns the status."""
        answer = await self.send(
            daemon, "DELETE", f"/v1/lots/{lot_id}", f"end-{lot_id}"
        )
        return answer.status if answer else 0


def _part_id(name: str) -> str:
    return f"{zlib.crc32(name.encode()):08x}"


def make_item(
    item_id: str, group: str, tokens=160, model=MODEL, scorer="/stock/"
) -> dict:
    """Returns an item with its reward call."""
    headers = {
        "Daisyhub-Model": model,
        "Daisyhub-Token-Count": f"271,{tokens}",
        "Daisyhub-Prompt-Prefix": (
            f"{_part_id(group)}:255,{_part_id(item_id)}:16"
        ),
    }
    return {
        "id": item_id,
        "path": f"/gen/{item_id}",
        "headers": headers,
        "body": base64.b64encode(b"note " * 120).decode(),
        "tokens": 271 + tokens,
        "group": group,
        "scorer": {
            "id": f"r{item_id}",
            "host": HOST,
            "path": f"{scorer}{item_id}",
            "body": base64.b64encode(b"check").decode(),
        },
    }


def make_lot(lot_id, step, min_version, items, wanted, model=MODEL) -> dict:
    """Returns a lot as a trainer submits it."""
    return {
        "id": lot_id,
        "step": step,
        "model": model,
        "min-version": min_version,
        "desired-count": wanted,
        "items": items,
    }
