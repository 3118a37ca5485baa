"""Starts daemons and fakes as separate processes on loopback."""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

import anyio
import msgspec

from daisyhub.config import ConfigStore
from daisyhub.connections import RequestFailedError
from daisyhub.hosting import EndpointRecord, PlatformClient
from daisyhub.settings import Address
from daisyhub.testing.caller import Caller

__all__ = ["Deployment", "Process"]

HASH_KEY = "5f" * 32
_LOOPBACK = "127.0.0.1"
_READY_WAIT_S = 20.0
_END_WAIT_S = 10.0


@dataclasses.dataclass(slots=True)
class Process:
    """A started process and where it listens."""

    name: str
    popen: subprocess.Popen
    address: Address
    operators_address: Address | None = None

    def send_signal(self, number: int) -> None:
        """Sends a signal to this process only."""
        self.popen.send_signal(number)

    def wait(self, timeout_s: float = _END_WAIT_S) -> int:
        """Waits for its end and returns the exit code."""
        return self.popen.wait(timeout_s)


class Deployment:
    """A fake platform, daemons of several failure domains, and endpoints.

    Args:
        domains: Names of the failure domains.
        daemons_per_domain: Daemons in each.
        engines_per_domain: Fake engines in each.
        services_per_domain: Fake services in each.
        timing: Overrides of `TimingSettings`, by name.
        folder: Where settings and logs go; a temporary folder if empty.
    """

    def __init__(
        self,
        domains: tuple[str, ...] = ("busan", "ulsan"),
        daemons_per_domain: int = 2,
        engines_per_domain: int = 2,
        services_per_domain: int = 1,
        timing: dict[str, float] | None = None,
        folder: str = "",
    ):
        self.domains = domains
        self.daemons_per_domain = daemons_per_domain
        self.engines_per_domain = engines_per_domain
        self.services_per_domain = services_per_domain
        self.timing = {**_FAST_TIMING, **(timing or {})}
        self.processes: dict[str, Process] = {}
        self._temporary = None
        if not folder:
            self._temporary = tempfile.TemporaryDirectory(prefix="daisyhub-")
            folder = self._temporary.name
        self.folder = pathlib.Path(folder)
        self._next_ports: list[int] = []

    @property
    def platform(self) -> Process:
        """The fake platform."""
        return self.processes["platform"]

    def daemons(self, domain: str = "") -> list[Process]:
        """Returns the daemons of a domain, or all."""
        return self._named(f"daemon-{domain}")

    def engines(self, domain: str = "") -> list[Process]:
        """Returns the engines of a domain, or all."""
        return self._named(f"engine-{domain}")

    def services(self, domain: str = "") -> list[Process]:
        """Returns the services of a domain, or all."""
        return self._named(f"service-{domain}")

    def _named(self, prefix: str) -> list[Process]:
        return [p for n, p in self.processes.items() if n.startswith(prefix)]

    async def start(self) -> None:
        """Starts everything and waits until it listens."""
        self._start_fake("platform", "fake_platform")
        for domain in self.domains:
            for number in range(self.engines_per_domain):
                self._start_fake(f"engine-{domain}-{number}", "fake_engine")
            for number in range(self.services_per_domain):
                name = f"service-{domain}-{number}"
                self._start_fake(name, "fake_service", f"--name={name}")
        await self._wait_for_listeners()
        for domain in self.domains:
            await self.publish_endpoints(domain)
        self._plan_daemons()
        for name in list(self._daemon_settings):
            self.start_daemon(name)
        await self._wait_for_listeners()

    async def publish_endpoints(self, domain: str) -> None:
        """Puts the domain's endpoints on the platform's list."""
        records = []
        pools = (("model", self.engines), ("records", self.services))
        for pool, find in pools:
            for process in find(domain):
                records.append(
                    EndpointRecord(
                        endpoint_id=process.name,
                        pool=pool,
                        ip=process.address.ip,
                        port=process.address.port,
                    )
                )
        caller = Caller(self.platform.address)
        value = msgspec.to_builtins(records)
        await caller.send("PUT", f"/admin/endpoints/{domain}", value)
        await caller.aclose()

    async def apply(self, document: dict) -> int:
        """Puts a document in force and waits until all daemons have it."""
        caller = Caller(self.platform.address)
        client = PlatformClient(self.platform.address, caller.http, 5.0)
        store = ConfigStore(client)
        head, _ = await store.read_head()
        head = await store.apply(
            document,
            base_version=head.version,
            author="test",
            team="test",
            at_s=0.0,
        )
        await caller.aclose()
        await self.wait_for_version(head.version)
        return head.version

    def start_daemon(self, name: str) -> None:
        """Starts a planned daemon, again if it ended before."""
        plan = self._daemon_settings[name]
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(plan, indent=2), encoding="utf-8")
        args = ["-m", "daisyhub.daemon", f"--settings={path}"]
        self.processes[name] = Process(
            name,
            self._popen(name, args),
            Address(**plan["callers_address"]),
            Address(**plan["operators_address"]),
        )

    def stop(self) -> None:
        """Ends every process that is still there."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        if self._temporary is not None:
            self._temporary.cleanup()

    def write_operator_settings(self) -> pathlib.Path:
        """Writes settings for the command line; returns the file's path."""
        platform = self.platform.address
        settings = {
            "platform_address": {"ip": platform.ip, "port": platform.port},
            "key_hash_secret": HASH_KEY,
            "daemons": {
                d.name: {
                    "ip": d.operators_address.ip,
                    "port": d.operators_address.port,
                }
                for d in self.daemons()
            },
        }
        path = self.folder / "operator.jsonc"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        return path

    def read_log(self, name: str) -> str:
        """Returns what a process wrote to its log."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def _start_fake(self, name: str, module: str, *args: str) -> None:
        port = self._free_port()
        command = ["-m", f"daisyhub.testing.{module}", f"--port={port}", *args]
        self.processes[name] = Process(
            name,
            self._popen(name, command),
            Address(ip=_LOOPBACK, port=port),
        )

    def _popen(self, name: str, args: list[str]) -> subprocess.Popen:
        with open(self.folder / f"{name}.log", "ab") as log:
            return subprocess.Popen(
                [sys.executable, *args],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": os.getcwd()},
            )

    def _free_port(self) -> int:
        """Returns an unused port outside the range of outgoing connections."""
        if not self._next_ports:
            start = 10_000 + (os.getpid() * 97) % 20_000
            self._next_ports = list(range(start + 2_000, start, -1))
        while True:
            port = self._next_ports.pop()
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.bind((_LOOPBACK, port))
                return port

    def _plan_daemons(self) -> None:
        self._daemon_settings: dict[str, dict] = {}
        peers = []
        for domain in self.domains:
            for number in range(self.daemons_per_domain):
                name = f"daemon-{domain}-{number}"
                self._daemon_settings[name] = self._plan(name, domain)
                peers.append(
                    {
                        "daemon_id": name,
                        "failure_domain": domain,
                        "address": self._daemon_settings[name]["peer_address"],
                    }
                )
        for name, plan in self._daemon_settings.items():
            plan["peers"] = [p for p in peers if p["daemon_id"] != name]

    def _plan(self, name: str, domain: str) -> dict:
        def address() -> dict:
            return {"ip": _LOOPBACK, "port": self._free_port()}

        platform = self.platform.address
        return {
            "daemon_id": name,
            "failure_domain": domain,
            "callers_address": address(),
            "operators_address": address(),
            "peer_address": address(),
            "platform_address": {"ip": platform.ip, "port": platform.port},
            "key_hash_secret": HASH_KEY,
            "timing": self.timing,
        }

    async def _wait_for_listeners(self) -> None:
        for process in self.processes.values():
            if process.popen.poll() is None:
                await self.wait_until_listening(process)

    async def wait_until_listening(self, process: Process) -> None:
        """Waits until a process listens."""
        address = process.operators_address or process.address
        target = "/healthz" if process.operators_address else "/load"
        caller = Caller(address)
        with anyio.fail_after(_READY_WAIT_S):
            while True:
                with contextlib.suppress(RequestFailedError):
                    await caller.send("GET", target)
                    break
                await anyio.sleep(0.05)
        await caller.aclose()

    async def wait_for_version(
        self, version: int, *, skip: tuple[str, ...] = ()
    ) -> float:
        """Waits until every daemon has a version in force; returns seconds."""

        def has_version(status: dict) -> bool:
            return status["config"]["version"] >= version

        return await self.wait_for_status(has_version, skip=skip)

    async def wait_for_status(
        self, is_met, *, skip: tuple[str, ...] = ()
    ) -> float:
        """Waits until every daemon's status meets a condition."""
        started_s = anyio.current_time()
        with anyio.fail_after(_READY_WAIT_S):
            for process in self.daemons():
                if process.name in skip:
                    continue
                caller = Caller(process.operators_address)
                while not is_met(await caller.json("GET", "/status")):
                    await anyio.sleep(0.01)
                await caller.aclose()
        return anyio.current_time() - started_s


_FAST_TIMING = {
    "watch_wait_s": 2.0,
    "platform_timeout_s": 1.0,
    "endpoint_poll_s": 0.2,
    "probe_s": 0.2,
    "peer_tick_s": 0.2,
    "lease_term_s": 1.5,
    "lease_margin_s": 0.3,
    "usage_window_s": 2.0,
    "usage_grace_s": 1.0,
    "drain_notice_s": 0.5,
    "drain_limit_s": 30.0,
}
