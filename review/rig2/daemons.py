"""Starts daemons as the deploy file says, on loopback addresses."""

import asyncio
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib

from review.rig2.http import LOOPBACK, request

ROOT = pathlib.Path(__file__).resolve().parents[2]
_PLACE = re.compile(r"\{\{([a-z0-9.-]+)(\|json)?\}\}")
_SECTION = re.compile(r"\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_OK = 200
_ZONES = ("busan-yard", "ulsan-yard", "changwon-yard")
# The bounds of the Hanbit deployment, from the users' pages.
_BOUNDS = {
    "grace-s": 8,
    "fencing-enforced": True,
    "lease-ms": 3000,
    "usage-window-s": 5,
    "usage-late-s": 10,
    "status-s": 120,
    "cancel-ms": 3000,
}
_LIMITS = {"cpu-share": 0.537, "cores": 2, "memory-mb": 300, "max-fds": 4100}


def _look_up(fields: dict, path: str) -> object:
    found: object = fields
    for part in path.split("."):
        if isinstance(found, list):
            found = found[int(part)]
        elif isinstance(found, dict):
            found = found.get(part)
        else:
            return None
    return found


def fill_template(text: str, fields: dict) -> str:
    """Fills in the placeholders and sections that the template uses."""

    def section(match: re.Match) -> str:
        found = _look_up(fields, match[1])
        return match[2] if found not in (None, False, [], {}) else ""

    def place(match: re.Match) -> str:
        found = _look_up(fields, match[1])
        return json.dumps(found) if match[2] else str(found)

    return _PLACE.sub(place, _SECTION.sub(section, text))


# Below the range from which the system takes ports for outgoing connections.
_candidate_ports = itertools.count(10_000 + os.getpid() * 131 % 20_000)


def free_port() -> int:
    """Returns a port that nobody uses for TCP or UDP."""
    while True:
        port = next(_candidate_ports)
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


class Daemons:
    """Daemons of one deployment, each a process of its own.

    Args:
        count: Number of daemons.
        store_port: Port of the store and of the API for duties.
    """

    def __init__(self, count: int, store_port: int):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["hub"]
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self._store = f"{LOOPBACK}:{store_port}"
        self.names = [f"edge-{n}" for n in range(1, count + 1)]
        self._ports = {
            name: {
                use: free_port()
                for use in ("front", "ready", "control", "metrics", "relay")
            }
            for name in self.names
        }
        self.processes: dict[str, subprocess.Popen] = {}

    def port(self, name: str, use: str = "front") -> int:
        """Returns the port of a daemon's listener."""
        return self._ports[name][use]

    def _fields(self, name: str) -> dict:
        ports = self._ports[name]
        number = self.names.index(name)
        return {
            "node-name": name,
            "zone": _ZONES[number % len(_ZONES)],
            "listen": {
                use: f"{LOOPBACK}:{ports[use]}"
                for use in ("front", "ready", "control")
            },
            "internal-ports": [ports["metrics"], ports["relay"]],
            "seeds": [
                f"{LOOPBACK}:{self.port(other, 'control')}"
                for other in self.names[:3]
            ],
            "limits": _LIMITS,
            "bounds": _BOUNDS,
            "platform": {"address": self._store},
            "cloud-api": {
                "address": self._store,
                "duties": ["usage_report", "autoscale"],
            },
        }

    def start(self, name: str) -> None:
        """Starts a daemon with the command of the deploy file."""
        template = (ROOT / self._role["template"]).read_text()
        path = self._folder / f"{name}.jsonc"
        path.write_text(fill_template(template, self._fields(name)))
        command = self._role["run"].split()
        command[0] = sys.executable
        env = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        env["DAISYHUB_NODE_FILE"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self._folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def start_all(self, timeout_s: float = 25.0) -> None:
        """Starts all daemons; returns once each is ready.

        Raises:
            TimeoutError: One isn't in time.
        """
        for name in self.names:
            self.start(name)
        async with asyncio.timeout(timeout_s):
            for name in self.names:
                while not await self.is_ready(name):
                    await asyncio.sleep(0.1)

    async def is_ready(self, name: str) -> bool:
        """Whether a daemon answers its readiness check with 200."""
        port = self.port(name, "ready")
        status, _, _ = await request(port, "GET", "/v1/readiness")
        return status == _OK

    def log(self, name: str) -> str:
        """Returns what a daemon wrote."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def stop(self) -> None:
        """Ends all processes that were started; removes the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)
