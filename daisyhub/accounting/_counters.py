"""Counts of one daemon, and copies of its peers' counts."""

import dataclasses
from collections.abc import Mapping

from daisyhub.accounting._ledger import Marks
from daisyhub.accounting._parts import (
    PartCount,
    PartId,
    UsagePart,
    window_of,
)

__all__ = ["PeerUsage", "UsageCounters"]

_COPIES = 2
_PARTS_PER_CUT_TICK = 60
_COUNTS_PER_MESSAGE = 200


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUsage:
    """What one peer is told at a tick.

    Attributes:
        parts: Parts for it to keep until they are sealed.
        acked_epoch: Its epoch that `acked_number` belongs to.
        acked_number: Newest of its parts kept here; 0 for nothing to tell.
    """

    parts: tuple[UsagePart, ...] = ()
    acked_epoch: int = 0
    acked_number: int = 0


class UsageCounters:
    """Counts served requests, cuts parts, and keeps parts until sealed.

    Args:
        daemon_id: This daemon.
        epoch: Its incarnation.
        window_s: Length of a usage window.
    """

    def __init__(self, daemon_id: str, epoch: int, window_s: float):
        self.daemon_id = daemon_id
        self.epoch = epoch
        self.window_s = window_s
        self._open: dict[tuple[int, str], list[int]] = {}
        self._own: dict[int, UsagePart] = {}
        self._flushed: set[int] = set()
        self._newest = 0
        self._ticks = 0
        self._held: dict[PartId, UsagePart] = {}
        self._acknowledged: dict[tuple[str, int], int] = {}
        self._to_tell: dict[str, tuple[int, int]] = {}

    def add(self, account: str, tokens: int, wall_s: float) -> None:
        """Counts one served request."""
        place = (window_of(wall_s, self.window_s), account)
        sums = self._open.setdefault(place, [0, 0])
        sums[0] += 1
        sums[1] += tokens

    def cut_parts(self) -> None:
        """Makes parts of all that was counted since the last cut."""
        by_window: dict[int, list[PartCount]] = {}
        for (window, account), (requests, tokens) in sorted(self._open.items()):
            count = PartCount(account, requests, tokens)
            by_window.setdefault(window, []).append(count)
        self._open.clear()
        self._ticks = 0
        for window, counts in by_window.items():
            self._newest += 1
            self._own[self._newest] = UsagePart(
                daemon_id=self.daemon_id,
                epoch=self.epoch,
                number=self._newest,
                window=window,
                counts=tuple(counts),
            )

    def tick(self, live: Mapping[str, int]) -> dict[str, PeerUsage]:
        """Cuts if it is time, and tells what each peer should be sent.

        The longer a backlog, the rarer the cuts, so that an outage of the
        platform costs memory with the square root of its length.

        Args:
            live: Incarnations of the live peers of the domain.
        """
        self._ticks += 1
        unflushed = len(self._own) - len(self._flushed)
        if self._ticks > unflushed // _PARTS_PER_CUT_TICK:
            self.cut_parts()
        self._acknowledged = {
            peer: number
            for peer, number in self._acknowledged.items()
            if live.get(peer[0]) == peer[1]
        }
        told, self._to_tell = self._to_tell, {}
        keepers = self._keepers(live)
        usage = {}
        for peer in sorted({*told, *keepers}):
            parts = ()
            if peer in keepers:
                parts = self._parts_for((peer, live[peer]))
            epoch, number = told.get(peer, (0, 0))
            if parts or number:
                usage[peer] = PeerUsage(parts, epoch, number)
        return usage

    def keep_copies(self, sender: str, parts: tuple[UsagePart, ...]) -> None:
        """Keeps a peer's parts until they are sealed."""
        for part in parts:
            self._held[part.part_id] = part
            if part.daemon_id == sender:
                newest = self._to_tell.get(sender, (0, 0))
                self._to_tell[sender] = max(newest, (part.epoch, part.number))

    def on_copies_acknowledged(
        self, peer: str, incarnation: int, epoch: int, number: int
    ):
        """Notes that a peer keeps this daemon's parts up to `number`."""
        if epoch != self.epoch:
            return
        place = (peer, incarnation)
        known = self._acknowledged.get(place, 0)
        self._acknowledged[place] = max(known, number)

    def own_parts(self) -> list[UsagePart]:
        """Returns this epoch's parts that aren't known to be sealed."""
        return list(self._own.values())

    def orphans(self, live: Mapping[str, int]) -> list[UsagePart]:
        """Returns the held parts of epochs that no longer run."""
        return [
            part
            for part in self._held.values()
            if live.get(part.daemon_id) != part.epoch
        ]

    def note_flushed(self, parts: tuple[UsagePart, ...]) -> None:
        """Notes that the platform has these parts."""
        for part in parts:
            if part.number in self._own and part == self._own[part.number]:
                self._flushed.add(part.number)

    def forget(self, marks: Marks) -> None:
        """Forgets parts that are sealed."""
        self._own = {
            number: part
            for number, part in self._own.items()
            if part not in marks
        }
        self._flushed.intersection_update(self._own)
        self._held = {
            part_id: part
            for part_id, part in self._held.items()
            if part not in marks
        }

    @property
    def unsealed_count(self) -> int:
        """How many own parts aren't known to be sealed."""
        return len(self._own) + bool(self._open)

    @property
    def unkept_requests(self) -> int:
        """How many requests neither the platform nor a peer knows of."""
        kept = max(self._acknowledged.values(), default=0)
        unkept = sum(requests for requests, _ in self._open.values())
        for number, part in self._own.items():
            if number > kept and number not in self._flushed:
                unkept += sum(count.requests for count in part.counts)
        return unkept

    @property
    def copy_count(self) -> int:
        """How many parts of peers are kept here."""
        return len(self._held)

    def _keepers(self, live: Mapping[str, int]) -> list[str]:
        """Returns the next live peers in the order of their ids."""
        ring = sorted(live)
        after = [peer for peer in ring if peer > self.daemon_id]
        return (after + ring)[: min(_COPIES, len(ring))]

    def _parts_for(self, peer: tuple[str, int]) -> tuple[UsagePart, ...]:
        known = self._acknowledged.get(peer, 0)
        parts = []
        room = _COUNTS_PER_MESSAGE
        for number, part in self._own.items():
            if number <= known or number in self._flushed:
                continue
            parts.append(part)
            room -= len(part.counts)
            if room <= 0:
                break
        return tuple(parts)
