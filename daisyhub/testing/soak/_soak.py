"""Runs daemons under a plan of disturbances and checks their guarantees."""

import contextlib
import dataclasses
import os
import pathlib
import signal
import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.connections import RequestFailedError
from daisyhub.testing.fleet import KEY
from daisyhub.testing.soak._departures import Departures
from daisyhub.testing.soak._ledger import Ledger
from daisyhub.testing.soak._linked_fleet import LinkedFleet
from daisyhub.testing.soak._links import LinkMode
from daisyhub.testing.soak._load_generator import LoadGenerator
from daisyhub.testing.soak._plan import Disturbance, Kind, make_plan
from daisyhub.testing.soak._signals import is_signal_handled
from daisyhub.testing.soak._streams import StreamLoad
from daisyhub.testing.soak._submission_faults import SubmissionDisturber

__all__ = ["Soak", "SoakReport"]

_ACCOUNT = "t"
_EXTRA_KEY = "key-of-u"
# Events that a fake server streams per item: `fake_fleet._EVENT_COUNT`.
_EVENTS_PER_ITEM = 6
# Seconds after the last disturbance within which every daemon must serve.
_RECOVERY_TIMEOUT_S = 12.0
# Seconds after recovery within which every lot must be listed completely.
_LOT_TIMEOUT_S = 20.0
# Seconds after SIGTERM within which a daemon must have exited.
_SHUTDOWN_TIMEOUT_S = 8.0
# Seconds between reads of a lot that a daemon doesn't list completely yet.
_READ_INTERVAL_S = 0.05
# Seconds between the exit of a daemon and its restart, and between the retries
# of an operator or of a recovery check.
_RESTART_DELAY_S = 0.3
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class SoakReport:
    """The result of a soak.

    Attributes:
        seed: Its seed.
        violations: One line per violated guarantee.
        counts: Numbers of responses by status, of accepted lots, and of
            disturbances by kind.
        logs: Folder with the processes' logs; empty if all guarantees held.
    """

    seed: int
    violations: tuple[str, ...]
    counts: dict[str, int]
    logs: str = ""


class Soak:
    """One soak test.

    Args:
        seed: Seed of the disturbances and of the load.
        seconds: Duration in which disturbances start.
        daemons: Number of daemons.
        servers: Number of servers.
        broken: A bug to inject into the daemons, one of
            `soaked_daemon.BROKEN`; empty for none.
        plan: Disturbances to apply; None draws them from the seed.
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
        self.fleet = LinkedFleet(daemons=daemons, servers=servers)
        self.plan = plan or make_plan(
            seed, seconds, self.fleet.daemon_names, self.fleet.server_names
        )
        self.ledger = Ledger(_ACCOUNT)
        self.load_generator = LoadGenerator(seed, self.fleet, self.ledger)
        self._streams = StreamLoad(
            seed, self.fleet, self.ledger, _EVENTS_PER_ITEM
        )
        self._submissions = SubmissionDisturber(
            self.fleet,
            self.fleet.links,
            self.fleet.client_ips,
            self.load_generator,
            self._signal_and_resume,
        )
        self._departures = Departures(seed, self.fleet, self.ledger)
        self._bug = broken
        self._restarting: set[str] = set()

    async def run(self) -> SoakReport:
        """Starts all processes, disturbs them, checks them, and kills them."""
        logs = ""
        try:
            async with anyio.create_task_group() as tasks:
                await self._start(tasks)
                tasks.start_soon(self.load_generator.run)
                tasks.start_soon(self._streams.run)
                tasks.start_soon(self._restart_exited_daemons)
                await self._disturb()
                await self._check_recovery()
                await self._departures.run()
                await self._check_guarantees()
                tasks.cancel_scope.cancel()
            if self.ledger.violations:
                logs = self._save_logs()
        finally:
            await self.load_generator.aclose()
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
        for env in fleet.daemon_env.values():
            env["DAISYHUB_SOAK_BROKEN"] = self._bug
        await fleet.start_fakes()
        await fleet.open_links(tasks)
        await fleet.start_daemons()

    async def _disturb(self) -> None:
        started_s = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for disturbance in self.plan:
                wait_s = started_s + disturbance.at_s - time.monotonic()
                await anyio.sleep(max(0.0, wait_s))
                self.ledger.counts[disturbance.kind.value] += 1
                tasks.start_soon(self._apply, disturbance)

    async def _apply(self, disturbance: Disturbance) -> None:
        fleet = self.fleet
        match disturbance.kind:
            case Kind.KILL:
                await self._restart(disturbance.target, signal.SIGKILL)
            case Kind.STOP:
                await self._restart(disturbance.target, signal.SIGTERM)
            case Kind.CLOCK:
                env = fleet.daemon_env[disturbance.target]
                env["DAISYHUB_SOAK_CLOCK_S"] = str(disturbance.clock_jump_s)
                await self._restart(disturbance.target, signal.SIGKILL)
            case Kind.KILL_ALL:
                await self._kill_all()
            case Kind.PAUSE:
                await self._pause(disturbance.target, disturbance.duration_s)
            case Kind.HANG_UP:
                self._signal(disturbance.target, signal.SIGHUP)
            case (
                Kind.STORE_LINK
                | Kind.SERVER_LINK
                | Kind.ALL_STORE_LINKS
                | Kind.CUT_OFF
            ):
                await self._disturb_links(disturbance)
            case Kind.STORE_FAULT | Kind.SERVER_FAULT | Kind.SERVER_LIMIT:
                await self._disturb_fake(disturbance)
            case Kind.SUBMISSION:
                await self._submissions.apply(disturbance)
            case Kind.CONFIG:
                await self._write_config({_ACCOUNT: [KEY]})
            case Kind.KEYS:
                keys = {_ACCOUNT: [KEY], "u": [_EXTRA_KEY]}
                await self._write_config(keys)
                await anyio.sleep(disturbance.duration_s)
                await self._write_config({_ACCOUNT: [KEY]})

    async def _disturb_fake(self, disturbance: Disturbance) -> None:
        """Has a fake respond with faults, or state a limit, for a time."""
        fleet, target = self.fleet, disturbance.target
        if disturbance.kind is Kind.SERVER_LIMIT:
            await self._set_limit(target, disturbance.rate_per_s)
            await anyio.sleep(disturbance.duration_s)
            await self._set_limit(target, None)
            return
        name, kind = f"at-{disturbance.at_s}", disturbance.mode
        fault = {"id": name, "kind": kind, "delay_s": 0.5}
        await fleet.inject_fault(target, fault)
        await anyio.sleep(disturbance.duration_s)
        await fleet.remove_fault(target, name)

    async def _set_limit(self, server: str, rate_per_s: float | None) -> None:
        await _retry(lambda: self.fleet.set_limit(server, rate_per_s))

    async def _write_config(self, keys: dict[str, list[str]]) -> None:
        await _retry(lambda: self.fleet.write_config(keys))

    def _signal(self, name: str, number: int) -> None:
        """Sends a signal to a daemon, unless it is being restarted.

        SIGHUP is sent only if the process handles it, because no program can
        handle a signal while its interpreter starts.
        """
        if name in self._restarting:
            return
        if number == signal.SIGHUP and not is_signal_handled(
            self.fleet.processes[name].pid, number
        ):
            return
        self.fleet.signal(name, number)

    async def _restart(self, name: str, number: int) -> None:
        """Ends and restarts a daemon that runs and isn't being restarted."""
        if name in self._restarting:
            return
        process = self.fleet.processes[name]
        if process.poll() is not None:
            return
        self._restarting.add(name)
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        with anyio.move_on_after(_SHUTDOWN_TIMEOUT_S):
            while process.poll() is None:
                await anyio.sleep(0.02)
        if process.poll() is None:
            self.ledger.record_missed_shutdown(name)
            process.kill()
        process.wait()
        await anyio.sleep(_RESTART_DELAY_S)
        self.fleet.start_daemon(name)
        self._restarting.discard(name)

    async def _kill_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for name in self.fleet.daemon_names:
                tasks.start_soon(self._restart, name, signal.SIGKILL)

    async def _signal_and_resume(
        self, name: str, number: int, duration_s: float
    ) -> None:
        """Stops a daemon for a time, or ends and restarts it."""
        if number == signal.SIGSTOP:
            await self._pause(name, duration_s)
        else:
            await self._restart(name, number)

    async def _pause(self, name: str, duration_s: float) -> None:
        self._signal(name, signal.SIGSTOP)
        await anyio.sleep(duration_s)
        self._signal(name, signal.SIGCONT)

    async def _disturb_links(self, disturbance: Disturbance) -> None:
        if disturbance.kind is Kind.CUT_OFF:
            await self._cut_off(disturbance)
        else:
            await self._degrade_links(disturbance)

    async def _cut_off(self, disturbance: Disturbance) -> None:
        daemon, mode = disturbance.target, LinkMode(disturbance.mode)
        self.fleet.cut_off(daemon, mode)
        await anyio.sleep(disturbance.duration_s)
        self.fleet.cut_off(daemon, LinkMode.PASS)

    async def _degrade_links(self, disturbance: Disturbance) -> None:
        names = [f"store {name}" for name in self.fleet.daemon_names]
        if disturbance.kind is Kind.STORE_LINK:
            names = [f"store {disturbance.target}"]
        elif disturbance.kind is Kind.SERVER_LINK:
            names = [disturbance.target]
        for name in names:
            self.fleet.links[name].set_mode(LinkMode(disturbance.mode))
        await anyio.sleep(disturbance.duration_s)
        for name in names:
            self.fleet.links[name].set_mode(LinkMode.PASS)

    async def _restart_exited_daemons(self) -> None:
        """Records daemons that exit by themselves, and restarts them."""
        while True:
            await anyio.sleep(0.05)
            for name in self.fleet.daemon_names:
                process = self.fleet.processes[name]
                if name in self._restarting or process.poll() is None:
                    continue
                self.ledger.record_unexpected_exit(name, process.returncode)
                self.fleet.start_daemon(name)

    # Checks.

    async def _check_recovery(self) -> None:
        """Checks that each daemon serves again within `_RECOVERY_TIMEOUT_S`.

        The time starts with the call, right after the last disturbance or
        kill.
        """
        deadline_s = time.monotonic() + _RECOVERY_TIMEOUT_S
        for daemon in self.fleet.daemon_names:
            while True:
                request_id = self.load_generator.next_id("r")
                path = f"/records/{request_id}"
                self.ledger.record_sent(request_id, path, is_idempotent=True)
                status, _, _ = await self.load_generator.call(
                    daemon, "POST", path, request_id
                )
                if status == _OK:
                    break
                if time.monotonic() > deadline_s:
                    self.ledger.record_failed_recovery(
                        daemon, f"status {status}"
                    )
                    break
                await anyio.sleep(_RESTART_DELAY_S)

    async def _check_guarantees(self) -> None:
        """Reads all lots from every daemon twice, then checks all guarantees.

        All daemons are killed between the two reads, so that the second read
        shows whether the listed results were stored.
        """
        self.load_generator.stop()
        self._streams.stop()
        with anyio.move_on_after(_LOT_TIMEOUT_S):
            await self.load_generator.finished.wait()
        await self._read_all_lots()
        await self._kill_all()
        await self._check_recovery()
        await self._read_all_lots()
        await self.load_generator.read_unaccepted_lots()
        self.ledger.check_texts(_EVENTS_PER_ITEM)
        runs = await self.fleet.executed_requests()
        self.ledger.check_runs(runs)
        self.ledger.check_submissions(runs, await self.fleet.created_lots())
        self.ledger.check_usage(await self.fleet.usage())

    async def _read_all_lots(self) -> None:
        deadline_s = time.monotonic() + _LOT_TIMEOUT_S
        for lot_id, total in tuple(self.ledger.lots.items()):
            for daemon in self.fleet.daemon_names:
                await self._read_lot(daemon, lot_id, total, deadline_s)

    async def _read_lot(
        self, daemon: str, lot_id: str, total: int, deadline_s: float
    ) -> None:
        """Reads a lot page by page; records if a page is missing."""
        position = 0
        while position < total:
            first = position
            position = await self.load_generator.read_lot(daemon, lot_id, first)
            if position > first:
                continue
            if time.monotonic() > deadline_s:
                self.ledger.record_unlisted_result(daemon, lot_id, first)
                return
            await anyio.sleep(_READ_INTERVAL_S)

    def _save_logs(self) -> str:
        """Copies the logs of all processes and the plan to `.soak/`.

        Returns:
            The folder of the copies.
        """
        folder = pathlib.Path(".soak") / f"{self.seed}-{os.getpid()}"
        folder.mkdir(parents=True, exist_ok=True)
        for log in self.fleet.folder.glob("*.log"):
            (folder / log.name).write_bytes(log.read_bytes())
        (folder / "plan.txt").write_text(
            "\n".join(map(str, self.plan)), encoding="utf-8"
        )
        return str(folder)


async def _retry(call: Callable[[], Awaitable[None]]) -> None:
    """Repeats a call of a fake until no fault hits it."""
    while True:
        with contextlib.suppress(RequestFailedError):
            await call()
            return
        await anyio.sleep(_RESTART_DELAY_S)
