"""Starts the daemons of a case, keeps its record, and ends all processes."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from review.lib.store import Store
from review.lib.wire import Answer, call

__all__ = ["HOST", "KEY", "ZONES", "Case", "CouldNotRunError", "run_case"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = "key-of-t"
HOST = "a.example"
# The zone of each daemon, as on the site `tachibana-insp`.
ZONES = ["z1", "z1", "z1", "z2", "z2", "z3"]
_HELD, _BROKEN, _COULD_NOT_RUN = 0, 1, 2
_READY_TIMEOUT_S = 25.0


class CouldNotRunError(Exception):
    """The case could not be brought about."""


def _free_ports(count: int) -> list[int]:
    """Returns free ports below the range of outgoing connections.

    Scripts that run at the same time take theirs from different blocks, by the
    id of their process.
    """
    first = 12_000 + os.getpid() % 200 * 100
    candidates = itertools.chain(
        range(first, first + 100), range(12_000, 32_000)
    )
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            port = next(candidates)
            tcp = stack.enter_context(socket.socket())
            udp = stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            )
            with contextlib.suppress(OSError):
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
                ports.append(port)
        return ports


def _fill_in(template: str, fields: dict) -> str:
    """Fills in the placeholders that the settings template uses."""

    def find(path: str):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
        return value

    def section(match: re.Match) -> str:
        return match[2] if find(match[1]) is not None else ""

    text = re.sub(
        r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )
    return re.sub(
        r"\{\{([\w.-]+)\|json\}\}", lambda m: json.dumps(find(m[1])), text
    )


class Case:
    """The processes and the record of one case.

    Attributes:
        trouble: Whether the disruption takes place.
        store: The platform's store.
        daemons: Names of the daemons.
        broken: What broke the rule.
    """

    def __init__(self, folder: pathlib.Path, seconds: float = 110.0):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.daemons: list[str] = []
        self.broken: list[str] = []
        self.servers: list = []
        self.deadline_s = time.monotonic() + seconds
        self._record = folder / "record.txt"
        self._record.write_text("", encoding="utf-8")
        self._started_s = time.monotonic()
        self._temp = tempfile.TemporaryDirectory(prefix="daisyhub-review-")
        self._folder = pathlib.Path(self._temp.name)
        self._processes: dict[str, subprocess.Popen] = {}
        self._fields: dict[str, dict] = {}
        self._role = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )["roles"]["hub"]

    def note(self, text: str) -> None:
        """Writes a line of the record."""
        at_s = time.monotonic() - self._started_s
        with self._record.open("a", encoding="utf-8") as record:
            record.write(f"{at_s:8.3f} {text}\n")

    def break_rule(self, text: str) -> None:
        """Records that the rule was broken."""
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    async def start_store(self) -> None:
        """Starts the platform's store."""
        await self.store.start()

    async def start_daemons(
        self, zones: list[str], bounds: dict | None = None
    ) -> None:
        """Starts one daemon for each entry, in the zone that it names."""
        self.daemons = [f"edge-{z}-{n}" for n, z in enumerate(zones)]
        free = _free_ports(5 * len(zones))
        ports = {
            name: free[5 * n : 5 * n + 5] for n, name in enumerate(self.daemons)
        }
        seeds = [f"127.0.0.1:{ports[n][2]}" for n in self.daemons[:3]]
        platform = "{}:{}".format(*self.store.address)
        for name, zone in zip(self.daemons, zones, strict=True):
            front, ready, control, first, last = ports[name]
            self._fields[name] = {
                "node-name": name,
                "zone": zone,
                "listen": {
                    "front": f"127.0.0.1:{front}",
                    "ready": f"127.0.0.1:{ready}",
                    "control": f"127.0.0.1:{control}",
                },
                "internal-ports": [first, last],
                "seeds": seeds,
                "limits": {"cpu-share": 0.537, "cores": 2},
                "platform": {"address": platform},
                "cloud-api": {
                    "address": platform,
                    "duties": ["usage_report", "autoscale"],
                },
                "bounds": {
                    "fencing-enforced": True,
                    "lease-ms": 3000,
                    "grace-s": 8,
                    "usage-window-s": 5,
                    "usage-late-s": 10,
                    "status-s": 120,
                    **(bounds or {}),
                },
            }
            self.start_daemon(name)
        for name in self.daemons:
            await self.wait_until_ready(name)
        self.note(f"daemons ready: {', '.join(self.daemons)}")

    def start_daemon(self, name: str) -> None:
        """Starts a daemon with the command of the deploy file."""
        template = (ROOT / self._role["template"]).read_text(encoding="utf-8")
        path = self._folder / f"{name}.jsonc"
        path.write_text(_fill_in(template, self._fields[name]), "utf-8")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME")}
        with open(self._folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                self._role["run"].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **env,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "DAISYHUB_NODE_FILE": str(path),
                },
            )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a daemon."""
        self.note(f"{signal.Signals(number).name} to {name}")
        self._processes[name].send_signal(number)

    async def wait_for_exit(self, name: str) -> None:
        """Waits until a daemon's process has ended."""
        while self._processes[name].poll() is None:
            await asyncio.sleep(0.02)

    def log_of(self, name: str) -> str:
        """Returns what a daemon has logged."""
        return (self._folder / f"{name}.log").read_text("utf-8", "replace")

    def address(self, name: str, listener: str = "front") -> tuple[str, int]:
        """Returns the address of a daemon's listener."""
        ip, port = self._fields[name]["listen"][listener].split(":")
        return ip, int(port)

    async def wait_until_ready(self, name: str) -> None:
        """Waits until a daemon counts as ready."""
        until_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < until_s:
            address = self.address(name, "ready")
            answer = await call(
                address, "GET", "/v1/readiness", {"Host": "x"}, timeout_s=1.0
            )
            if answer.status == 200:  # noqa: PLR2004
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(
            f"{name} isn't ready: {self.log_of(name)[-800:]}"
        )

    async def holder(self, duty: str) -> str:
        """Returns the daemon that the store names as a duty's holder."""
        until_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < until_s:
            found = self.store.get("duties", duty)
            if found and found["spec"]["holder"]:
                return found["spec"]["holder"].partition("/")[0]
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"no daemon took the duty {duty}")

    async def send(
        self,
        daemon: str,
        method: str,
        target: str,
        request_id: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> Answer:
        """Sends a client's request to a daemon, on a new channel."""
        return await call(
            self.address(daemon),
            method,
            target,
            {
                "Host": HOST,
                **({"Daisyhub-Request-Id": request_id} if request_id else {}),
                "Daisyhub-Deadline-Ms": str(int(timeout_s * 1000)),
                "Api-Key": KEY,
                **(headers or {}),
            },
            body,
            timeout_s,
        )

    def stop_processes(self) -> None:
        """Ends all processes and listeners that this case started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for server in self.servers:
            server.stop()
        self.store.stop()

    def close(self) -> None:
        """Closes the record and removes the temporary folder."""
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for name in self._processes:
                path = pathlib.Path(keep) / f"{name}.log"
                path.write_text(self.log_of(name), "utf-8")
        self._temp.cleanup()


def run_case(folder: str, play) -> None:
    """Plays a case and exits: 1 broken, 0 held, 2 could not run."""
    case = Case(pathlib.Path(folder))

    async def main() -> None:
        # A script that is told to stop ends its processes, too.
        stop = asyncio.current_task().cancel
        for number in (signal.SIGTERM, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        try:
            async with asyncio.timeout(case.deadline_s - time.monotonic()):
                await case.start_store()
                await play(case)
        finally:
            case.stop_processes()

    code = _COULD_NOT_RUN
    try:
        asyncio.run(main())
        code = _BROKEN if case.broken else _HELD
        case.note("the rule was broken" if case.broken else "the rule held")
    except (
        CouldNotRunError,
        TimeoutError,
        OSError,
        asyncio.CancelledError,
    ) as exc:
        case.note(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}", file=sys.stderr)
    except Exception:
        case.note(f"could not run: {traceback.format_exc()}")
        traceback.print_exc()
    finally:
        case.close()
    sys.exit(code)
