"""Starts `daisyhub.platform` daemons and fakes of the users' platform.

All processes listen on loopback. `daisyhub.testing.processes` does the same for
`daisyhub.daemon`.
"""

import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import anyio
import msgspec

from daisyhub.connections import HttpResponse, RequestFailedError
from daisyhub.testing.fleet_documents import build_lot, build_manifest
from daisyhub.testing.fleet_fakes import FleetFakes

__all__ = ["KEY", "Fleet"]

# API key of the client account `t`.
KEY = "key-of-t"
_LOOPBACK = "127.0.0.1"
_WAIT_TIMEOUT_S = 20.0
_MS_PER_S = 1000
_DOMAINS = ("z1", "z2", "z3")


class Fleet(FleetFakes):
    """Daemons, an object store and servers, each in a process of its own.

    Methods that wait raise `TimeoutError` after 20 seconds.

    Args:
        daemons: Number of daemons, distributed over three failure domains.
        servers: Number of servers.
        event_s: Seconds per event or look-up at a server.
        module: The module that a daemon process runs.
        settings: Settings of all daemons that differ from the defaults.

    Attributes:
        daemon_env: Additional environment variables by daemon.
        software: Software version of servers whose version isn't `v1`.
        pool_fields: Further fields of the servers' pool in the manifest.
        limits: The manifest's limits; by default those of a reader without.
        zones: Failure domain of servers whose domain isn't `z1`.
        ports: Port of each fake by name, and of each daemon's listener by
            `name/listener`: front (client requests), ready, peer, metrics,
            relay.
    """

    def __init__(
        self,
        daemons: int = 3,
        servers: int = 2,
        event_s: float = 0.02,
        module: str = "daisyhub.platform",
        settings: dict | None = None,
    ):
        super().__init__([f"i-{n}" for n in range(servers)])
        self._module = module
        self._settings = settings or {}
        self.daemon_env: dict[str, dict[str, str]] = {}
        self.software: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.pool_fields: dict[str, object] = {}
        self.limits: dict[str, int] = {}
        self.daemon_names = [f"edge-{n}" for n in range(daemons)]
        self.event_s = event_s
        self.processes: dict[str, subprocess.Popen] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="daisyhub-fleet-")
        self.folder = pathlib.Path(self._folder.name)
        self._version = 1

    async def start(self) -> None:
        """Starts all processes and waits until every daemon is ready."""
        await self.start_fakes()
        await self.start_daemons()

    async def start_fakes(self) -> None:
        """Starts the fake platform and the fake servers."""
        self._start_fake("platform", "--role=platform")
        for name in self.server_names:
            self._start_server_process(name)
        await self._wait_until_listening("platform", *self.server_names)

    async def start_server(self, name: str) -> None:
        """Starts a server that was killed, at its old address."""
        self._start_server_process(name)
        await self._wait_until_listening(name)

    async def restart_server(self, name: str, *, is_listed=True) -> None:
        """Starts a server that ended as another process with an own entry.

        Returns without an entry if it ends again at once.

        Args:
            name: The server.
            is_listed: Whether its entry is written; else that of the process
                before stays, as for daemons that are cut off.
        """
        born = int(time.time() * _MS_PER_S)
        self._start_server_process(name, born)
        if not is_listed:
            await self._wait_until_listening(name)
            return
        process = self.processes[name]
        entry = {**self.build_server_entry(name), "born": born}
        while process.poll() is None:
            try:
                await self._get(self.ports[name], "/admin/ran")
            except RequestFailedError:
                await anyio.sleep(0.05)
                continue
            await self.put("servers", name, entry)
            return

    def kill_server(self, name: str) -> None:
        """Kills a server and waits for the end of its process."""
        self.processes[name].kill()
        self.processes[name].wait()

    async def start_daemons(self) -> None:
        """Writes the manifest and the servers' entries; starts the daemons."""
        await self.write_config({"t": [KEY]})
        for name in self.server_names:
            await self.put("servers", name, self.build_server_entry(name))
        for name in self.daemon_names:
            self._reserve_ports(name)
        for name in self.daemon_names:
            self.start_daemon(name)
        for name in self.daemon_names:
            await self.wait_until_ready(name)

    def stop(self) -> None:
        """Kills all processes and removes their folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._folder.cleanup()

    def start_daemon(self, name: str) -> None:
        """Starts a daemon, for the first time or after it has exited."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.build_settings(name)), encoding="utf-8")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", self._module],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={
                    **os.environ,
                    "PYTHONPATH": os.getcwd(),
                    "DAISYHUB_NODE_FILE": str(path),
                    **self.daemon_env.get(name, {}),
                },
            )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to one process."""
        self.processes[name].send_signal(number)

    def read_log(self, name: str) -> list[dict]:
        """Returns the structured lines of a daemon's log."""
        text = (self.folder / f"{name}.log").read_text(encoding="utf-8")
        return [
            json.loads(line) for line in text.splitlines() if line[:1] == "{"
        ]

    async def status(self, name: str) -> dict:
        """Returns the status of a daemon."""
        response = await self._get(self.ports[f"{name}/metrics"], "/status")
        return json.loads(response.body)

    async def holder(self, duty: str = "rollouts") -> str:
        """Waits until a daemon holds a duty; returns the daemon's name."""
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while True:
                for name in self.daemon_names:
                    if self.processes[name].poll() is not None:
                        continue
                    with contextlib.suppress(RequestFailedError):
                        duty_status = (await self.status(name)).get(
                            f"duty {duty}"
                        )
                        if duty_status and duty_status["fencing"]:
                            return name
                await anyio.sleep(0.05)

    async def write_config(self, keys: dict[str, list[str]]) -> None:
        """Writes a manifest with these client accounts and their API keys."""
        self._version += 1
        manifest = build_manifest(
            self._version, keys, self.pool_fields, self.limits
        )
        await self.put("config", "main", manifest)

    async def call(
        self,
        daemon: str,
        method: str,
        target: str,
        *,
        request_id: str = "q",
        key: str = KEY,
        body: bytes = b"",
        headers: tuple = (),
        timeout_s: float = 5.0,
    ) -> HttpResponse:
        """Sends a request to a daemon on a new connection.

        Raises:
            RequestFailedError: No complete response was received.
        """
        return await self.http.request(
            method,
            self.address(f"{daemon}/front"),
            target,
            headers=(
                (b"host", b"a.example"),
                (b"daisyhub-request-id", request_id.encode()),
                (b"daisyhub-deadline-ms", b"4000"),
                *(((b"api-key", key.encode()),) if key else ()),
                *headers,
            ),
            body=body,
            timeout_s=timeout_s,
            fresh=True,
        )

    async def submit_lot(self, daemon: str, lot_id: str, groups=3) -> int:
        """Submits a lot; returns the status code."""
        response = await self.call(
            daemon,
            "POST",
            "/gen/lot",
            request_id=lot_id,
            body=msgspec.json.encode(build_lot(lot_id, groups)),
        )
        return response.status

    async def results(self, daemon: str, lot_id: str, after=0) -> dict | None:
        """Reads a lot's results from a position.

        Returns:
            The decoded body; None if the read fails.
        """
        try:
            response = await self.call(
                daemon,
                "GET",
                f"/v1/lots/{lot_id}?after={after}",
                headers=((b"daisyhub-wait-ms", b"300"),),
            )
        except RequestFailedError:
            return None
        return json.loads(response.body) if response.status == 200 else None

    async def read_whole_lot(self, daemons: list[str], lot_id: str) -> list:
        """Reads all results of a lot, from each daemon in turn.

        Raises:
            AssertionError: A position returned two different results.
            TimeoutError: The lot wasn't complete after 20 seconds.
        """
        collected: list[dict] = []
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            read_count = 0
            while True:
                daemon = daemons[read_count % len(daemons)]
                # Every third read starts at an earlier position.
                after = (
                    len(collected) if read_count % 3 else len(collected) // 2
                )
                read_count += 1
                response = await self.results(daemon, lot_id, after)
                if response is None:
                    await anyio.sleep(0.1)
                    continue
                listed = response["results"]
                overlap = len(collected) - after
                if listed[:overlap] != collected[after : after + len(listed)]:
                    raise AssertionError(
                        f"lot {lot_id}: a position changed at {daemon}"
                    )
                collected += listed[overlap:]
                if len(collected) == response["total"]:
                    return collected

    async def wait_until_ready(self, name: str) -> None:
        """Waits until a daemon is ready."""
        port = self.ports[f"{name}/ready"]
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(RequestFailedError):
                    response = await self._get(port, "/v1/readiness")
                    if response.status == 200:
                        return
                await anyio.sleep(0.05)

    def build_server_entry(self, name: str) -> dict:
        """Returns a server's entry in the object store."""
        return {
            "service": "s",
            "address": str(self.address(name)),
            "zone": self.zones.get(name, "z1"),
            "slots": 4,
            "state": "ready",
            "models": [{"name": "m", "version": 1}],
            "version": self._software_of(name),
            "born": 1,
        }

    def _reserve_ports(self, name: str) -> None:
        for use in ("front", "ready", "peer", "metrics", "relay"):
            self.ports[f"{name}/{use}"] = _free_port()

    def build_settings(self, name: str) -> dict:
        """Returns a daemon's settings."""

        def address_text(listener: str, daemon: str = name) -> str:
            return f"{_LOOPBACK}:{self.ports[f'{daemon}/{listener}']}"

        number = self.daemon_names.index(name)
        return {
            "daemon_id": name,
            "failure_domain": _DOMAINS[number % len(_DOMAINS)],
            "callers": address_text("front"),
            "readiness": address_text("ready"),
            "peer": address_text("peer"),
            "metrics_port": self.ports[f"{name}/metrics"],
            "relay_port": self.ports[f"{name}/relay"],
            "seeds": [address_text("peer", d) for d in self.daemon_names[:3]],
            "store": str(self.address("platform")),
            "order_desk": str(self.address("platform")),
            "usage_window_s": 1.0,
            "usage_late_s": 2.0,
            **self._settings,
        }

    def _start_server_process(self, name: str, born: int = 1) -> None:
        self._start_fake(
            name,
            "--role=server",
            f"--name={name}",
            f"--event_s={self.event_s}",
            f"--software={self._software_of(name)}",
            f"--born={born}",
        )

    def _software_of(self, server: str) -> str:
        return self.software.get(server, "v1")

    def _start_fake(self, name: str, *args: str) -> None:
        if name not in self.ports:
            self.ports[name] = _free_port()
        command = [sys.executable, "-m", "daisyhub.testing.fake_fleet"]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [*command, f"--port={self.ports[name]}", *args],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": os.getcwd()},
            )

    async def _wait_until_listening(self, *names: str) -> None:
        """Waits until each fake responds, with any status."""
        with anyio.fail_after(_WAIT_TIMEOUT_S):
            for name in names:
                while True:
                    with contextlib.suppress(RequestFailedError):
                        await self._get(self.ports[name], "/admin/none")
                        break
                    await anyio.sleep(0.05)


# Candidate ports: below the range that the system assigns to outgoing
# connections, and at an offset by process id, so that fleets of other
# processes rarely bind one before its listener does.
_candidate_ports = itertools.count(10_000 + os.getpid() * 97 % 20_000)


def _free_port() -> int:
    while True:
        port = next(_candidate_ports)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((_LOOPBACK, port))
            return port
