"""Starts `daisyhub.daemon` processes and fakes on loopback.

`daisyhub.testing.fleet` does the same for `daisyhub.platform`.
"""

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
_WAIT_TIMEOUT_S = 20.0
_EXIT_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class Process:
    """A started process.

    Attributes:
        name: Its name in the deployment.
        popen: The handle of the process.
        address: The address where it serves requests.
        operators_address: A daemon's listener for operators; None for a fake.
        peer_address: A daemon's listener for peers; None for a fake.
    """

    name: str
    popen: subprocess.Popen
    address: Address
    operators_address: Address | None = None
    peer_address: Address | None = None

    def send_signal(self, number: int) -> None:
        """Sends a signal to this process only."""
        self.popen.send_signal(number)

    def wait(self, timeout_s: float = _EXIT_TIMEOUT_S) -> int:
        """Waits until it exits and returns the exit code.

        Raises:
            subprocess.TimeoutExpired: It still runs after `timeout_s`.
        """
        return self.popen.wait(timeout_s)


class Deployment:
    """A fake platform, and daemons and endpoints in several failure domains.

    Methods that wait raise `TimeoutError` after 20 seconds.

    Args:
        domains: Names of the failure domains.
        daemons_per_domain: Number of daemons per failure domain.
        engines_per_domain: Number of fake engines per failure domain.
        services_per_domain: Number of fake services per failure domain.
        timing: Fields of `TimingSettings` to override.
        folder: Folder for settings and logs; empty for a temporary one.
        limits: Fields of `LimitSettings` to override.
    """

    def __init__(
        self,
        domains: tuple[str, ...] = ("busan", "ulsan"),
        daemons_per_domain: int = 2,
        engines_per_domain: int = 2,
        services_per_domain: int = 1,
        timing: dict[str, float] | None = None,
        folder: str = "",
        limits: dict[str, float] | None = None,
    ):
        self.domains = domains
        self.daemons_per_domain = daemons_per_domain
        self.engines_per_domain = engines_per_domain
        self.services_per_domain = services_per_domain
        self.timing = {**_FAST_TIMING, **(timing or {})}
        self.limits = limits or {}
        self.processes: dict[str, Process] = {}
        self._temporary_folder = None
        if not folder:
            self._temporary_folder = tempfile.TemporaryDirectory(
                prefix="daisyhub-"
            )
            folder = self._temporary_folder.name
        self.folder = pathlib.Path(folder)
        self._candidate_ports: list[int] = []

    @property
    def platform(self) -> Process:
        """The fake platform."""
        return self.processes["platform"]

    def daemons(self, domain: str = "") -> list[Process]:
        """Returns the daemons of a failure domain, or all."""
        return self._processes_named(f"daemon-{domain}")

    def engines(self, domain: str = "") -> list[Process]:
        """Returns the engines of a failure domain, or all."""
        return self._processes_named(f"engine-{domain}")

    def services(self, domain: str = "") -> list[Process]:
        """Returns the services of a failure domain, or all."""
        return self._processes_named(f"service-{domain}")

    def _processes_named(self, prefix: str) -> list[Process]:
        return [p for n, p in self.processes.items() if n.startswith(prefix)]

    async def start(self) -> None:
        """Starts all processes and waits until they listen."""
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
        self._build_all_settings()
        for name in list(self._daemon_settings):
            self.start_daemon(name)
        await self._wait_for_listeners()

    async def publish_endpoints(self, domain: str) -> None:
        """Writes a failure domain's endpoints to the fake platform's list."""
        records = []
        pools = (("model", self.engines), ("records", self.services))
        for pool, find_processes in pools:
            for process in find_processes(domain):
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
        """Applies a document and waits until it is active in all daemons.

        Returns:
            The configuration version.
        """
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
        """Starts a daemon, for the first time or after it has exited."""
        settings = self._daemon_settings[name]
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        args = ["-m", "daisyhub.daemon", f"--settings={path}"]
        self.processes[name] = Process(
            name,
            self._popen(name, args),
            Address(**settings["callers_address"]),
            Address(**settings["operators_address"]),
            Address(**settings["peer_address"]),
        )

    def stop(self) -> None:
        """Kills all processes and removes a temporary folder."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        if self._temporary_folder is not None:
            self._temporary_folder.cleanup()

    def write_operator_settings(self) -> pathlib.Path:
        """Writes the command line's settings; returns the path of the file."""
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
        """Returns the log of a process."""
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
        """Returns an unused port below the range of outgoing connections.

        The search begins at an offset by process id, so that deployments of
        several test processes rarely try the same ports.
        """
        if not self._candidate_ports:
            start = 10_000 + (os.getpid() * 97) % 20_000
            self._candidate_ports = list(range(start + 2_000, start, -1))
        while True:
            port = self._candidate_ports.pop()
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.bind((_LOOPBACK, port))
                return port

    def _build_all_settings(self) -> None:
        self._daemon_settings: dict[str, dict] = {}
        peers = []
        for domain in self.domains:
            for number in range(self.daemons_per_domain):
                name = f"daemon-{domain}-{number}"
                self._daemon_settings[name] = self._build_settings(name, domain)
                peers.append(
                    {
                        "daemon_id": name,
                        "failure_domain": domain,
                        "address": self._daemon_settings[name]["peer_address"],
                    }
                )
        for name, settings in self._daemon_settings.items():
            settings["peers"] = [p for p in peers if p["daemon_id"] != name]

    def _build_settings(self, name: str, domain: str) -> dict:
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
            "limits": self.limits,
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
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(RequestFailedError):
                    await caller.send("GET", target)
                    break
                await anyio.sleep(0.05)
        await caller.aclose()

    async def wait_for_version(
        self, version: int, *, skip: tuple[str, ...] = ()
    ) -> float:
        """Waits until a version is active in every daemon.

        Args:
            version: The configuration version; a later one counts too.
            skip: Names of daemons to ignore.

        Returns:
            Seconds waited.
        """

        def has_version(status: dict) -> bool:
            return status["config"]["version"] >= version

        return await self.wait_for_status(has_version, skip=skip)

    async def wait_for_status(
        self, is_met, *, skip: tuple[str, ...] = ()
    ) -> float:
        """Waits until every daemon's status meets a condition.

        Args:
            is_met: Takes the decoded status; returns whether it is met.
            skip: Names of daemons to ignore.

        Returns:
            Seconds waited.
        """
        started_s = anyio.current_time()
        with anyio.fail_after(_WAIT_TIMEOUT_S):
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
