"""Runs a duty core against the object store and the peer table."""

import time
from collections.abc import Awaitable, Callable

import anyio
import msgspec

from daisyhub.base import Controller
from daisyhub.clocks import boot_time_s
from daisyhub.cluster import (
    STANDBY_COUNT,
    PeerTable,
    is_small_cluster,
)
from daisyhub.duties._core import DutyCore
from daisyhub.duties._ranking import choose_candidate, rank_daemons
from daisyhub.duties._types import (
    DutyCallFailed,
    DutyRecord,
    DutyRecordReceived,
    DutyTick,
    FencingRejected,
    ReadDuty,
    WriteDuty,
)
from daisyhub.json_texts import decode_json
from daisyhub.logs import DecisionLog
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)

__all__ = [
    "DutyController",
    "list_challenges",
]

_DUTIES_KIND = "duties"
# Interval between checks of the peers: half of a ping's interval.
_TICK_INTERVAL_S = 0.2
# Time after the start during which a daemon that has received no ping takes no
# duty: pings of peers that start at the same time arrive within it.
_PEER_DISCOVERY_S = 1.5
# Seconds without news of a holder after which daemons other than its standbys
# are candidates. A standby takes over within two.
_STANDBYS_FIRST_S = 5.0
# Seconds between the attempts of two daemons of successive rank.
_RANK_DELAY_S = 0.5


class DutyController(Controller):
    """Acquires, verifies and releases one duty.

    Args:
        duty: Name of the duty.
        core: Makes the decisions.
        store: Stores the duty's record.
        peers: Live peers and the duties that they report.
        speed: Processor speed of this daemon's machine, in cores.
        log: Logs when this daemon gets or loses the duty, and failures.
        needs_endpoints: Whether the duty can be done only where endpoints are
            reached. Daemons that are cut off from them then pass it on.
        is_cut_off: Whether this daemon is cut off from the endpoints.
        keeps_tenure: Whether work that needs no fencing goes on while the store
            doesn't confirm the duty.

    Attributes:
        before_release: Called before the duty is passed on.
        changed: Set when `fencing` or `tenure` changes, and replaced by a new
            event.
    """

    name = "duty"

    def __init__(
        self,
        duty: str,
        core: DutyCore,
        store: ObjectStore,
        peers: PeerTable,
        speed: float,
        log: DecisionLog,
        *,
        needs_endpoints: bool = False,
        is_cut_off: Callable[[], bool] = lambda: False,
        keeps_tenure: Callable[[], bool] = lambda: False,
    ):
        self.duty = duty
        self._core = core
        self._store = store
        self._peers = peers
        self._speed = speed
        self._log = log
        self._started_s = boot_time_s()
        self._logged_fencing = 0
        self._logged_tenure = 0
        self._is_leaving = False
        self._needs_endpoints = needs_endpoints
        self._is_cut_off = is_cut_off
        self._keeps_tenure = keeps_tenure
        self.before_release: Callable[[], Awaitable[None]] | None = None
        self.changed = anyio.Event()

    @property
    def fencing(self) -> int:
        """The current fencing number, or 0 if this daemon may not act."""
        return self._core.fencing_if_held(boot_time_s())

    @property
    def tenure(self) -> int:
        """The fencing number for work that needs no fencing; 0 without.

        Equal to `fencing` unless the holder keeps its tenure; see
        `DutyCore.tenure`.
        """
        if not self._keeps_tenure():
            return self.fencing
        return self._core.tenure(boot_time_s())

    @property
    def is_challenging(self) -> bool:
        """Whether this daemon asked through the store if the holder is alive.

        Peers that hear this daemon should know, since the holder may hear it
        without being heard.
        """
        return self._core.is_challenging

    def status(self) -> dict[str, object]:
        """Returns the last known holder and this daemon's fencing number."""
        record = self._core.record
        return {
            "holder": record.holder if record else "",
            "fencing": self.fencing,
            "tenure": self.tenure,
            "challenger": record.challenger if record else "",
        }

    def step_down(self, reason: str) -> None:
        """Stops acting as the holder after a receiver rejected the number.

        Args:
            reason: Logged.
        """
        self._log.record("duty_refused", duty=self.duty, reason=reason)
        self._core.handle(FencingRejected(), boot_time_s())
        self._log_change()

    async def run(self) -> None:
        """Runs `step` periodically until cancelled."""
        while True:
            await self.step()
            await anyio.sleep(_TICK_INTERVAL_S)

    async def step(self) -> None:
        """Sends one tick to the core and performs the returned actions."""
        await self._pass_on_if_cut_off()
        for action in self._core.handle(self._tick(), boot_time_s()):
            event = await self._carry_out(action)
            self._core.handle(event, boot_time_s())
        self._log_change()

    async def _pass_on_if_cut_off(self) -> None:
        """Releases the duty while this daemon can't do it and others can."""
        if self._is_leaving or not self._needs_endpoints:
            return
        if not self._is_cut_off():
            self._core.allow()
            return
        # The tenure counts: with it, pings name this daemon as the holder.
        if not self.tenure or not self._has_able_peer():
            return
        self._log.record("duty_passed_on", duty=self.duty)
        if self.before_release is not None:
            await self.before_release()
        self._core.release()

    def _has_able_peer(self) -> bool:
        return len(self._live_speeds()) > 1

    async def release(self) -> None:
        """Releases the duty in the store if it is held, for a shutdown."""
        is_held = bool(self._core.fencing_if_held(boot_time_s()))
        self._core.release()
        if is_held:
            await self.step()

    def set_leaving(self) -> None:
        """Marks this daemon as shutting down; it acquires no duty any more."""
        self._is_leaving = True

    def standbys(self) -> tuple[str, ...]:
        """Returns the live daemons that may take over this duty, by rank."""
        speeds = self._live_speeds()
        del speeds[self._peers.own_id]
        if not speeds:
            return ()
        return tuple(rank_daemons(self.duty, speeds)[:STANDBY_COUNT])

    def _tick(self) -> DutyTick:
        """Returns a tick with the current state of the peers."""
        record = self._core.record
        holder_id, _, incarnation = (
            record.holder if record else ""
        ).rpartition("/")
        is_holder_live = bool(holder_id) and self._peers.is_holder_live(
            self.duty, holder_id, incarnation
        )
        view = self._peers.last_holder_of(self.duty)
        return DutyTick(
            is_candidate=self._is_preferred_candidate(),
            is_holder_live=is_holder_live,
            has_lost_peers=self._peers.has_lost_peers(),
            max_peer_fencing=view.fencing if view else 0,
            is_silence_conclusive=self._is_silence_conclusive(holder_id),
            is_challenged=self._peers.is_challenged(self.duty),
        )

    def _is_silence_conclusive(self, holder_id: str) -> bool:
        """Whether a holder of which no pings arrive is lost.

        Not if this daemon hears less than half of those that it knows, itself
        included, or doesn't know the holder, as after its own start or a long
        cut: the holder's pings may reach the others.

        Args:
            holder_id: The holder's daemon; empty if the duty is free.
        """
        if holder_id in ("", self._peers.own_id):
            return True
        if self._peers.get(holder_id) is None:
            return False
        known_count = len(self._peers.all()) + 1
        live_count = len(self._peers.live()) + 1
        return 2 * live_count >= known_count

    def _is_preferred_candidate(self) -> bool:
        """Whether this daemon ranks first among those not shutting down."""
        if self._is_leaving or (self._needs_endpoints and self._is_cut_off()):
            return False
        live = self._peers.live()
        if not live and boot_time_s() - self._started_s < _PEER_DISCOVERY_S:
            return False
        speeds = self._live_speeds()
        if is_small_cluster(len(self._peers.all())):
            return choose_candidate(self.duty, speeds) == self._peers.own_id
        return self._is_candidate_of_many(speeds)

    def _is_candidate_of_many(self, speeds: dict[str, float]) -> bool:
        """Whether this daemon ranks first in a large cluster.

        Only the holder and its standbys learn soon that one of them is lost,
        so the first of them by rank is the candidate. If all of them are
        lost, the others follow one after the other, since each may consider
        lost daemons live.

        Args:
            speeds: Processor speed by live daemon, this one included.
        """
        own_id = self._peers.own_id
        view = self._peers.last_holder_of(self.duty)
        if view is None:
            started_s = self._started_s
        elif own_id in view.standbys:
            # A lost holder may seem live for a moment, as its process was
            # restarted; it doesn't know that it should be the candidate.
            group = set(view.standbys)
            if self._peers.holder_of(self.duty) is not None:
                group.add(view.daemon_id)
            speeds = {n: s for n, s in speeds.items() if n in group}
            return choose_candidate(self.duty, speeds) == own_id
        else:
            started_s = view.heard_at_s + boot_time_s() - time.monotonic()
            if boot_time_s() - started_s < _STANDBYS_FIRST_S:
                return False
            started_s += _STANDBYS_FIRST_S
        ranking = rank_daemons(self.duty, speeds)
        if own_id not in ranking:
            return False
        delay_s = ranking.index(own_id) * _RANK_DELAY_S
        return boot_time_s() - started_s >= _PEER_DISCOVERY_S + delay_s

    def _live_speeds(self) -> dict[str, float]:
        """Returns the speed of each live daemon that may have the duty.

        Without those that are shutting down, or cut off from the endpoints if
        the duty needs them; this daemon is always included.
        """
        speeds = {
            p.daemon_id: p.ping.speed
            for p in self._peers.live()
            if not p.ping.is_leaving
            and not (self._needs_endpoints and p.ping.is_cut_off)
        }
        speeds[self._peers.own_id] = self._speed
        return speeds

    async def _carry_out(self, action: ReadDuty | WriteDuty) -> object:
        """Calls the store; returns the event for the core."""
        try:
            if isinstance(action, ReadDuty):
                found = await self._store.read(_DUTIES_KIND, self.duty)
            else:
                found = await self._write(action)
        except ObjectConflictError as exc:
            if exc.found is None:
                return DutyCallFailed()
            found = exc.found
        except ObjectStoreError as exc:
            self._log.record(
                "duty_call_failed", duty=self.duty, reason=str(exc)
            )
            return DutyCallFailed()
        if isinstance(action, WriteDuty):
            self._log_challenge(action.record)
        return self._parse_record(found)

    def _log_challenge(self, written: DutyRecord) -> None:
        """Logs a challenge that was written, or the answer to one."""
        record = self._core.record
        if record is None or written.holder != record.holder:
            return
        self._log.record(
            "duty_challenged" if written.challenger else "duty_confirmed",
            duty=self.duty,
            holder=record.holder,
            challenger=written.challenger or record.challenger,
            live=len(self._peers.live()),
            known=len(self._peers.all()),
        )

    async def _write(self, action: WriteDuty) -> StoredObject:
        spec = msgspec.json.encode(action.record)
        if not action.revision:
            return await self._store.create(_DUTIES_KIND, self.duty, spec)
        return await self._store.replace(
            _DUTIES_KIND, self.duty, spec, revision=action.revision
        )

    def _parse_record(
        self, found: StoredObject | None
    ) -> DutyRecordReceived | DutyCallFailed:
        if found is None:
            return DutyRecordReceived(None, 0)
        try:
            record = decode_json(found.spec, type=DutyRecord)
        except msgspec.DecodeError as exc:
            self._log.record("duty_unreadable", duty=self.duty, reason=str(exc))
            return DutyCallFailed()
        return DutyRecordReceived(record, found.revision)

    def _log_change(self) -> None:
        """Logs a change of the fencing number or tenure and wakes waiters."""
        fencing, tenure = self.fencing, self.tenure
        is_changed = fencing != self._logged_fencing
        if not is_changed and tenure == self._logged_tenure:
            return
        record = self._core.record
        event = "duty_taken" if fencing else "duty_left"
        self._log.record(
            event if is_changed else "duty_tenure",
            duty=self.duty,
            fencing=fencing,
            tenure=tenure,
            before=self._logged_fencing,
            holder=record.holder if record else "",
        )
        self._logged_fencing = fencing
        self._logged_tenure = tenure
        self.changed.set()
        self.changed = anyio.Event()


def list_challenges(*duties: DutyController) -> tuple[str, ...]:
    """Returns the names of the duties of which this daemon asks the holder."""
    return tuple(duty.duty for duty in duties if duty.is_challenging)
