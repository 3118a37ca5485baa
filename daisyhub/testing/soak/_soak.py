"""Runs daemons under a plan of disturbances and checks their promises."""

import contextlib
import dataclasses
import os
import pathlib
import signal
import time

import anyio

from daisyhub.connections import RequestFailedError
from daisyhub.settings import Address
from daisyhub.testing.fleet import KEY, Fleet
from daisyhub.testing.soak._callers import Callers
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
# Seconds from SIGTERM within which a daemon must be gone.
_GRACE_S = 8.0
# Seconds between reads of a lot that a daemon doesn't list whole yet.
_READ_PAUSE_S = 0.05
# Seconds that a daemon stays down after it ended.
_RESTART_S = 0.3
_OK = 200


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
        self.callers = Callers(seed, self.fleet, self.ledger)
        self._broken = broken
        self._down: set[str] = set()

    async def run(self) -> SoakReport:
        """Starts all, disturbs, heals, checks, and ends all."""
        logs = ""
        try:
            async with anyio.create_task_group() as tasks:
                await self._start(tasks)
                tasks.start_soon(self.callers.run)
                tasks.start_soon(self._watch_exits)
                await self._disturb()
                await self._recover()
                await self._finish()
                tasks.cancel_scope.cancel()
            if self.ledger.violations:
                logs = self._keep_logs()
        finally:
            await self.callers.aclose()
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
                inject_fault = {"kind": what.how, "delay_s": 0.5, "path": "/"}
                await fleet.inject_fault(what.target, inject_fault)
                await anyio.sleep(what.for_s)
                await fleet.inject_fault(what.target, None)
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
            self.ledger.note_still_runs(name)
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

    # What must hold in the end.

    async def _recover(self) -> None:
        """Checks that each daemon serves again soon after the last fault.

        To be called as soon as that is over.
        """
        latest_s = time.monotonic() + _RECOVER_S
        for daemon in self.fleet.daemon_names:
            while True:
                request_id = self.callers.next_id("r")
                path = f"/records/{request_id}"
                self.ledger.record_sent(request_id, path, is_repeatable=True)
                status, _, _ = await self.callers.call(
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
        self.callers.stop()
        with anyio.move_on_after(_FINISH_S):
            await self.callers.ended.wait()
        await self._read_all()
        await self._kill_all()
        await self._recover()
        await self._read_all()
        self.ledger.check_texts(_EVENTS)
        self.ledger.check_runs(await self.fleet.executed_requests())
        self.ledger.check_usage(await self.fleet.usage())

    async def _read_all(self) -> None:
        latest_s = time.monotonic() + _FINISH_S
        for lot_id in tuple(self.ledger.lots):
            for daemon in self.fleet.daemon_names:
                while not await self.callers.read(daemon, lot_id, 0):
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
