"""Carries out a duty core's decisions."""

from collections.abc import Mapping

import anyio
import msgspec

from daisyhub.base import Controller
from daisyhub.clocks import boot_time_s
from daisyhub.cluster import PeerTable
from daisyhub.duties._core import (
    DutyCallFailed,
    DutyCore,
    DutyFound,
    DutyRecord,
    DutyTick,
    FencingRejected,
    ReadDuty,
    WriteDuty,
)
from daisyhub.hosting import rank_candidates
from daisyhub.logs import DecisionLog
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)

__all__ = ["DutyController", "choose_candidate"]

DUTIES_KIND = "duties"
# Seconds between looks at the peers; half of a ping's interval.
_TICK_S = 0.2
# Seconds after the start during which a daemon that hears no peer takes no
# duty: peers that start with it are heard within this time.
_SETTLE_S = 1.5
# Part of the fastest machine's processor that a machine needs to take a duty
# while faster ones are heard: a holder does the work of all lots.
_FAST_ENOUGH = 0.75


class DutyController(Controller):
    """Holds or watches one duty.

    Args:
        duty: Its name.
        core: Decides.
        store: Where the record lies.
        peers: Tells who lives and who holds what.
        speed: The processor of this daemon's machine, in cores.
        log: Where changes are noted.
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
    ):
        self.duty = duty
        self._core = core
        self._store = store
        self._peers = peers
        self._speed = speed
        self._log = log
        self._started_s = boot_time_s()
        self._told = 0
        self._is_leaving = False
        self.changed = anyio.Event()

    @property
    def fencing(self) -> int:
        """The number to act with now, or 0 while others have the duty."""
        return self._core.fencing_if_held(boot_time_s())

    def status(self) -> dict[str, object]:
        """Tells the record as last seen, and the own number."""
        record = self._core.record
        return {
            "holder": record.holder if record else "",
            "fencing": self.fencing,
        }

    def step_down(self, reason: str) -> None:
        """Gives the duty up at once: a receiver refused its number."""
        self._log.note("duty_refused", duty=self.duty, reason=reason)
        self._core.handle(FencingRejected(), boot_time_s())
        self._tell()

    async def run(self) -> None:
        """Ticks until cancelled."""
        while True:
            await self.step()
            await anyio.sleep(_TICK_S)

    async def step(self) -> None:
        """Takes one look at the peers and does what the core decides."""
        for action in self._core.handle(self._tick(), boot_time_s()):
            event = await self._carry_out(action)
            self._core.handle(event, boot_time_s())
        self._tell()

    async def release(self) -> None:
        """Hands the duty back to the store, for a graceful end."""
        if not self._core.fencing_if_held(boot_time_s()):
            return
        self._core.release()
        await self.step()

    def set_leaving(self) -> None:
        """Takes no duty from now on."""
        self._is_leaving = True

    def _tick(self) -> DutyTick:
        record = self._core.record
        live = self._peers.live()
        holder = record.holder if record else ""
        holder_id, _, incarnation = holder.rpartition("/")
        peer = self._peers.get(holder_id)
        is_live = (
            peer is not None
            and self._peers.is_live(holder_id)
            and str(peer.incarnation) == incarnation
        )
        numbers = [p.ping.duties.get(self.duty, 0) for p in live]
        return DutyTick(
            is_first=self._is_first(live),
            is_holder_live=is_live,
            has_lost_peers=len(live) < len(self._peers.all()),
            seen_fencing=max(numbers, default=0),
        )

    def _is_first(self, live) -> bool:
        """Whether this daemon ranks first among those that stay.

        One that hears less than half of the daemons that it knew takes
        nothing: the others may hear the holder well.
        """
        if self._is_leaving:
            return False
        if not live and boot_time_s() - self._started_s < _SETTLE_S:
            return False
        known = len(self._peers.all()) + 1
        if 2 * (len(live) + 1) < known:
            return False
        speeds = {
            p.daemon_id: p.ping.speed for p in live if not p.ping.is_leaving
        }
        speeds[self._peers.own_id] = self._speed
        return choose_candidate(self.duty, speeds) == self._peers.own_id

    async def _carry_out(self, action: ReadDuty | WriteDuty) -> object:
        try:
            if isinstance(action, ReadDuty):
                found = await self._store.read(DUTIES_KIND, self.duty)
            else:
                found = await self._write(action)
        except ObjectConflictError as exc:
            if exc.found is None:
                return DutyCallFailed()
            found = exc.found
        except ObjectStoreError as exc:
            self._log.note("duty_call_failed", duty=self.duty, reason=str(exc))
            return DutyCallFailed()
        return self._found(found)

    async def _write(self, action: WriteDuty) -> StoredObject:
        spec = msgspec.json.encode(action.record)
        if not action.revision:
            return await self._store.create(DUTIES_KIND, self.duty, spec)
        return await self._store.replace(
            DUTIES_KIND, self.duty, spec, revision=action.revision
        )

    def _found(self, found: StoredObject | None) -> DutyFound | DutyCallFailed:
        if found is None:
            return DutyFound(None, 0)
        try:
            record = msgspec.json.decode(found.spec, type=DutyRecord)
        except msgspec.DecodeError as exc:
            self._log.note("duty_unreadable", duty=self.duty, reason=str(exc))
            return DutyCallFailed()
        return DutyFound(record, found.revision)

    def _tell(self) -> None:
        """Notes a change of what this daemon may do."""
        fencing = self.fencing
        if fencing == self._told:
            return
        record = self._core.record
        self._log.note(
            "duty_taken" if fencing else "duty_left",
            duty=self.duty,
            fencing=fencing,
            before=self._told,
            holder=record.holder if record else "",
        )
        self._told = fencing
        self.changed.set()
        self.changed = anyio.Event()


def choose_candidate(duty: str, speeds: Mapping[str, float]) -> str:
    """Returns the daemon that should take a duty.

    Answers the load of all lots at one daemon: a slow machine would serve
    them late. Duties spread over the fast machines.

    Args:
        duty: Name of the duty.
        speeds: Processors of the daemons that may take it, in cores.
    """
    least = _FAST_ENOUGH * max(speeds.values())
    fast = [name for name, speed in speeds.items() if speed >= least]
    return rank_candidates(duty, fast)[0]
