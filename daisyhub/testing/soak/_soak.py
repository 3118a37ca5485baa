"""Runs daemons under a plan of disturbances and checks their promises."""

import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import time

import anyio
import msgspec

from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.settings import Address
from daisyhub.testing.fleet import KEY, Fleet
from daisyhub.testing.soak._ledger import Ledger
from daisyhub.testing.soak._links import Link, LinkMode
from daisyhub.testing.soak._plan import Disturbance, Kind, make_plan

__all__ = ["Soak", "SoakReport"]

_ACCOUNT = "t"
_OTHER_KEY = "key-of-u"
_MODULE = "daisyhub.testing.soaked_daemon"
# Events of an item at the stand-in of a server.
_EVENTS = 6
# Seconds after the last disturbance within which service must be back.
_RECOVER_S = 12.0
# Seconds after that within which every lot must be listed whole.
_FINISH_S = 20.0
# Seconds after an acceptance, or after an end of all disturbances, from which
# every daemon must know a lot.
_SETTLE_S = 1.0
# Seconds from SIGTERM within which a daemon must be gone.
_GRACE_S = 8.0
_LOOK_UP_PAUSE_S = 0.08
_WRITE_PAUSE_S = 0.04
_LOT_PAUSE_S = 0.6
_READ_PAUSE_S = 0.05
# Seconds that a daemon stays down after it ended.
_RESTART_S = 0.3
_CALL_S = 4.0
_OK = 200
_ACCEPTED = 202
_GONE = (404, 410)


@dataclasses.dataclass(frozen=True, slots=True)
class SoakReport:
    """What a soak found.

    Attributes:
        seed: Its seed.
        violations: One line for each broken promise.
        counts: Answers by status, lots and disturbances.
        logs: Folder with the processes' logs, if a promise was broken.
    """

    seed: int
    violations: tuple[str, ...]
    counts: dict[str, int]
    logs: str = ""


class _SoakFleet(Fleet):
    """A fleet whose calls go through links."""

    def __init__(self, **options):
        super().__init__(module=_MODULE, **options)
        self.links: dict[str, Link] = {}

    async def open_link(self, name: str, target: Address, tasks) -> None:
        """Puts a link before an address."""
        link = self.links[name] = Link(target)
        await link.listen()
        tasks.start_soon(link.run)

    def settings_of(self, name: str) -> dict:
        """See `Fleet`; the store is behind this daemon's link."""
        settings = super().settings_of(name)
        settings["store"] = str(self.links[f"store {name}"].address)
        return settings

    def entry_of(self, name: str) -> dict:
        """See `Fleet`; the server is behind its link."""
        entry = super().entry_of(name)
        entry["address"] = str(self.links[name].address)
        return entry


class Soak:
    """One soak.

    Args:
        seed: Decides about disturbances and calls.
        seconds: How long it disturbs.
        daemons: Number of daemons.
        servers: Number of servers.
        broken: A variant of the daemon that is broken on purpose.
        plan: Disturbances to use instead of drawn ones.
    """

    def __init__(
        self,
        seed: int,
        seconds: float = 15.0,
        daemons: int = 4,
        servers: int = 3,
        broken: str = "",
        plan: tuple[Disturbance, ...] | None = None,
    ):
        self.seed = seed
        self.seconds = seconds
        self.fleet = _SoakFleet(daemons=daemons, servers=servers)
        self.plan = plan or make_plan(
            seed, seconds, self.fleet.daemon_names, self.fleet.server_names
        )
        self.ledger = Ledger(_ACCOUNT)
        self._rng = random.Random(f"{seed} calls")
        self._broken = broken
        self._http = HttpClient(connect_timeout_s=1.0, idle_s=10.0)
        self._down: set[str] = set()
        self._calmed_at_s = float("inf")
        self._is_calling = True
        self._callers_ended = anyio.Event()
        self._number = 0

    async def run(self) -> SoakReport:
        """Starts all, disturbs, heals, checks, and ends all."""
        logs = ""
        try:
            async with anyio.create_task_group() as tasks:
                await self._start(tasks)
                tasks.start_soon(self._call_all)
                tasks.start_soon(self._watch_exits)
                await self._disturb()
                await self._recover()
                await self._finish()
                tasks.cancel_scope.cancel()
            if self.ledger.violations:
                logs = self._keep_logs()
        finally:
            await self._http.aclose()
            await self.fleet.http.aclose()
            self.fleet.stop()
        return SoakReport(
            self.seed,
            tuple(self.ledger.violations),
            dict(self.ledger.counts),
            logs,
        )

    async def _start(self, tasks) -> None:
        fleet = self.fleet
        env = {"DAISYHUB_SOAK_BROKEN": self._broken}
        fleet.daemon_env = {name: dict(env) for name in fleet.daemon_names}
        await fleet.start_stand_ins()
        for name in fleet.server_names:
            await fleet.open_link(name, fleet.address(name), tasks)
        for name in fleet.daemon_names:
            await fleet.open_link(
                f"store {name}", fleet.address("platform"), tasks
            )
        await fleet.start_daemons()

    # What is done to the processes.

    async def _disturb(self) -> None:
        started_s = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for disturbance in self.plan:
                wait_s = started_s + disturbance.at_s - time.monotonic()
                await anyio.sleep(max(0.0, wait_s))
                self.ledger.counts[disturbance.kind.value] += 1
                tasks.start_soon(self._apply, disturbance)
        self._calmed_at_s = time.monotonic()

    async def _apply(self, what: Disturbance) -> None:
        fleet = self.fleet
        match what.kind:
            case Kind.KILL:
                await self._restart(what.target, signal.SIGKILL)
            case Kind.STOP:
                await self._restart(what.target, signal.SIGTERM)
            case Kind.CLOCK:
                env = fleet.daemon_env[what.target]
                env["DAISYHUB_SOAK_CLOCK_S"] = str(what.amount)
                await self._restart(what.target, signal.SIGKILL)
            case Kind.KILL_ALL:
                await self._kill_all()
            case Kind.PAUSE:
                await self._pause(what)
            case Kind.HANG_UP:
                self._signal(what.target, signal.SIGHUP)
            case Kind.STORE_LINK | Kind.SERVER_LINK | Kind.ALL_STORE_LINKS:
                await self._harm_links(what)
            case Kind.STORE_FAULT | Kind.SERVER_FAULT:
                fault = {"kind": what.how, "delay_s": 0.5, "path": "/"}
                await fleet.fault(what.target, fault)
                await anyio.sleep(what.for_s)
                await fleet.fault(what.target, None)
            case Kind.CONFIG:
                await self._configure({_ACCOUNT: [KEY]})
            case Kind.KEYS:
                held = {_ACCOUNT: [KEY], "u": [_OTHER_KEY]}
                await self._configure(held)
                await anyio.sleep(what.for_s)
                await self._configure({_ACCOUNT: [KEY]})

    async def _configure(self, keys: dict[str, list[str]]) -> None:
        """Writes a manifest; an operator tries until the store takes it."""
        while True:
            with contextlib.suppress(RequestFailedError):
                await self.fleet.write_config(keys)
                return
            await anyio.sleep(_RESTART_S)

    def _signal(self, name: str, number: int) -> None:
        """Signals a daemon, unless it is down or its interpreter starts.

        No program can handle a signal before its first line.
        """
        if name in self._down:
            return
        if number == signal.SIGHUP and not _handles(
            self.fleet.processes[name].pid, number
        ):
            return
        self.fleet.signal(name, number)

    async def _restart(self, name: str, number: int) -> None:
        """Ends a daemon and starts it again; one at a time for each."""
        if name in self._down:
            return
        process = self.fleet.processes[name]
        if process.poll() is not None:
            return
        self._down.add(name)
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        with anyio.move_on_after(_GRACE_S):
            while process.poll() is None:
                await anyio.sleep(0.02)
        if process.poll() is None:
            self.ledger.violations.append(f"DRAIN {name}: still runs")
            process.kill()
        process.wait()
        await anyio.sleep(_RESTART_S)
        self.fleet.start_daemon(name)
        self._down.discard(name)

    async def _kill_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for name in self.fleet.daemon_names:
                tasks.start_soon(self._restart, name, signal.SIGKILL)

    async def _pause(self, what: Disturbance) -> None:
        self._signal(what.target, signal.SIGSTOP)
        await anyio.sleep(what.for_s)
        self._signal(what.target, signal.SIGCONT)

    async def _harm_links(self, what: Disturbance) -> None:
        names = [f"store {name}" for name in self.fleet.daemon_names]
        if what.kind is Kind.STORE_LINK:
            names = [f"store {what.target}"]
        elif what.kind is Kind.SERVER_LINK:
            names = [what.target]
        for name in names:
            self.fleet.links[name].set_mode(LinkMode(what.how))
        await anyio.sleep(what.for_s)
        for name in names:
            self.fleet.links[name].set_mode(LinkMode.PASS)

    async def _watch_exits(self) -> None:
        """Notes daemons that end by themselves, and starts them again."""
        while True:
            await anyio.sleep(0.05)
            for name in self.fleet.daemon_names:
                process = self.fleet.processes[name]
                if name in self._down or process.poll() is None:
                    continue
                self.ledger.note_exit(name, process.returncode)
                self.fleet.start_daemon(name)

    # What callers do.

    def _next_id(self, prefix: str) -> str:
        self._number += 1
        return f"{prefix}{self._number}"

    def _daemon(self) -> str:
        return self._rng.choice(self.fleet.daemon_names)

    async def _call_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for caller in (self._look_up, self._write, self._train):
                tasks.start_soon(caller)
        self._callers_ended.set()

    async def _look_up(self) -> None:
        async with anyio.create_task_group() as tasks:
            while self._is_calling:
                request_id = self._next_id("r")
                has_key = self._rng.random() > 0.1
                tasks.start_soon(
                    self._ask, request_id, "/records/", True, has_key
                )
                await anyio.sleep(_LOOK_UP_PAUSE_S)

    async def _write(self) -> None:
        async with anyio.create_task_group() as tasks:
            while self._is_calling:
                request_id = self._next_id("w")
                tasks.start_soon(self._ask, request_id, "/writes/", False, True)
                await anyio.sleep(_WRITE_PAUSE_S)

    async def _ask(
        self, request_id: str, prefix: str, is_safe: bool, has_key: bool
    ) -> None:
        path = f"{prefix}{request_id}"
        self.ledger.note_sent(
            request_id, path, is_repeatable=is_safe, has_key=has_key
        )
        key = KEY if has_key else "key-that-nobody-holds"
        status, body, stamped = await self._call(
            self._daemon(), "POST", path, request_id, key
        )
        told = None
        if status == _OK:
            with contextlib.suppress(msgspec.DecodeError):
                told = msgspec.json.decode(body)
        self.ledger.note_answer(request_id, status, told, is_stamped=stamped)

    async def _call(
        self, daemon, method, target, request_id, key=KEY, body=b"", extra=()
    ) -> tuple[int, bytes, bool]:
        """Calls a daemon over a kept connection; status 0 is no answer."""
        try:
            answer = await self._http.request(
                method,
                self.fleet.address(f"{daemon}/front"),
                target,
                headers=(
                    (b"host", b"a.example"),
                    (b"daisyhub-request-id", request_id.encode()),
                    (b"daisyhub-deadline-ms", b"2000"),
                    (b"api-key", key.encode()),
                    *extra,
                ),
                body=body,
                timeout_s=_CALL_S,
            )
        except RequestFailedError:
            return 0, b"", False
        is_stamped = any(
            name.lower() == b"daisyhub-server-stamp"
            for name, _ in answer.headers
        )
        return answer.status, answer.body, is_stamped

    async def _train(self) -> None:
        async with anyio.create_task_group() as tasks:
            while self._is_calling:
                tasks.start_soon(self._one_lot, self._next_id("lot"))
                await anyio.sleep(_LOT_PAUSE_S)

    async def _one_lot(self, lot_id: str) -> None:
        """Hands a lot in until it is accepted, then reads it whole."""
        body = msgspec.json.encode(self.fleet.lot_of(lot_id, groups=2))
        items = [i["id"] for i in self.fleet.lot_of(lot_id, groups=2)["items"]]
        self.ledger.note_lot(lot_id, items)
        status = 0
        while status != _ACCEPTED:
            status, _, _ = await self._call(
                self._daemon(), "POST", "/gen/lot", lot_id, body=body
            )
            if status != _ACCEPTED:
                await anyio.sleep(_RESTART_S)
        self.ledger.note_accepted(lot_id)
        await anyio.sleep(_SETTLE_S)
        while self.ledger.listed(lot_id) < self.ledger.lots[lot_id]:
            await self._read(self._daemon(), lot_id)
            await anyio.sleep(_READ_PAUSE_S)

    async def _read(self, daemon: str, lot_id: str, after: int | None = None):
        """Reads a lot at a daemon; returns whether it answered."""
        known = self.ledger.listed(lot_id)
        if after is None:
            after = known if self._rng.random() < 0.5 else known // 2
        status, body, _ = await self._call(
            daemon,
            "GET",
            f"/v1/lots/{lot_id}?after={after}",
            self._next_id("read"),
            extra=((b"daisyhub-wait-ms", b"200"),),
        )
        if status in _GONE:
            self.ledger.note_missing(daemon, lot_id, status)
        if status != _OK:
            return False
        told = json.loads(body)
        self.ledger.note_results(daemon, lot_id, after, told["results"])
        return after + len(told["results"]) >= told["total"]

    # What must hold in the end.

    async def _recover(self) -> None:
        """Checks that each daemon serves again soon after the last fault."""
        latest_s = self._calmed_at_s + _RECOVER_S
        for daemon in self.fleet.daemon_names:
            while True:
                request_id = self._next_id("r")
                path = f"/records/{request_id}"
                self.ledger.note_sent(request_id, path, is_repeatable=True)
                status, _, _ = await self._call(
                    daemon, "POST", path, request_id
                )
                if status == _OK:
                    break
                if time.monotonic() > latest_s:
                    self.ledger.note_not_back(daemon, f"status {status}")
                    break
                await anyio.sleep(_RESTART_S)

    async def _finish(self) -> None:
        """Reads every lot whole at every daemon, then checks everything.

        All daemons are killed between two readings: what was listed must lie
        in the store.
        """
        self._is_calling = False
        with anyio.move_on_after(_FINISH_S):
            await self._callers_ended.wait()
        await self._read_all()
        await self._kill_all()
        self._calmed_at_s = time.monotonic()
        await self._recover()
        await self._read_all()
        self.ledger.check_texts(_EVENTS)
        self.ledger.check_runs(await self.fleet.ran())
        self.ledger.check_usage(await self.fleet.usage())

    async def _read_all(self) -> None:
        latest_s = time.monotonic() + _FINISH_S
        for lot_id in tuple(self.ledger.lots):
            for daemon in self.fleet.daemon_names:
                while not await self._read(daemon, lot_id, 0):
                    if time.monotonic() > latest_s:
                        break
                    await anyio.sleep(_READ_PAUSE_S)

    def _keep_logs(self) -> str:
        """Copies the logs of all processes beside the soak's folder."""
        folder = pathlib.Path(".soak") / f"{self.seed}-{os.getpid()}"
        folder.mkdir(parents=True, exist_ok=True)
        for log in self.fleet.folder.glob("*.log"):
            (folder / log.name).write_bytes(log.read_bytes())
        (folder / "plan.txt").write_text(
            "\n".join(map(str, self.plan)), encoding="utf-8"
        )
        return str(folder)


def _handles(pid: int, number: int) -> bool:
    """Whether a process ignores or catches a signal now."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
    except OSError:
        return False
    fields = dict(line.split(":", 1) for line in status.splitlines())
    masks = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(masks >> (number - 1) & 1)
