"""Usage counters of one daemon and copies of its peers' usage parts."""

import dataclasses
from collections.abc import Mapping

from daisyhub.accounting._ledger import SealedParts
from daisyhub.accounting._parts import (
    PartCount,
    PartId,
    UsagePart,
    window_start,
)

__all__ = ["PeerUsage", "UsageCounters"]

_COPIES_PER_PART = 2
# Cuts are one tick further apart for every 60 unflushed parts.
_UNFLUSHED_PARTS_PER_EXTRA_TICK = 60
# A message ends with the part that reaches this number; parts aren't split.
_MAX_COUNTS_PER_MESSAGE = 200


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUsage:
    """Usage parts and acknowledgement to send to one peer at a tick.

    Attributes:
        parts: Parts of this daemon that the peer keeps until they are sealed.
        acked_epoch: The peer's epoch that `acked_number` belongs to.
        acked_number: Number of the newest part of the peer that is copied
            here; 0 for no acknowledgement.
    """

    parts: tuple[UsagePart, ...] = ()
    acked_epoch: int = 0
    acked_number: int = 0


class UsageCounters:
    """Counts served requests and keeps usage parts until they are sealed.

    Args:
        daemon_id: Id of this daemon.
        epoch: Incarnation of this daemon.
        window_s: Length of a usage window in seconds.
    """

    def __init__(self, daemon_id: str, epoch: int, window_s: float):
        self.daemon_id = daemon_id
        self.epoch = epoch
        self.window_s = window_s
        self._uncut_sums: dict[tuple[int, str], list[int]] = {}
        self._own_parts: dict[int, UsagePart] = {}
        self._flushed_numbers: set[int] = set()
        self._last_number = 0
        self._ticks_since_cut = 0
        self._copies: dict[PartId, UsagePart] = {}
        self._acked_numbers: dict[tuple[str, int], int] = {}
        self._pending_acks: dict[str, tuple[int, int]] = {}

    def add(self, account: str, tokens: int, wall_s: float) -> None:
        """Counts one served request.

        Args:
            account: Client account that is billed.
            tokens: Tokens of the response.
            wall_s: Wall-clock time in seconds; selects the window.
        """
        key = (window_start(wall_s, self.window_s), account)
        sums = self._uncut_sums.setdefault(key, [0, 0])
        sums[0] += 1
        sums[1] += tokens

    def cut_parts(self) -> None:
        """Creates one part per window from the counts since the last call."""
        by_window: dict[int, list[PartCount]] = {}
        for (window, account), (requests, tokens) in sorted(
            self._uncut_sums.items()
        ):
            count = PartCount(account, requests, tokens)
            by_window.setdefault(window, []).append(count)
        self._uncut_sums.clear()
        self._ticks_since_cut = 0
        for window, counts in by_window.items():
            self._last_number += 1
            self._own_parts[self._last_number] = UsagePart(
                daemon_id=self.daemon_id,
                epoch=self.epoch,
                number=self._last_number,
                window=window,
                counts=tuple(counts),
            )

    def tick(self, live: Mapping[str, int]) -> dict[str, PeerUsage]:
        """Cuts parts if due and returns what to send to each peer.

        Cuts become rarer as the number of unflushed parts grows, so that
        memory grows with the square root of the length of a platform outage.

        Args:
            live: Incarnations of the live peers in the failure domain, by id.

        Returns:
            The parts and the acknowledgement for each peer, by peer id; peers
            that get neither are left out.
        """
        self._ticks_since_cut += 1
        unflushed = len(self._own_parts) - len(self._flushed_numbers)
        if self._ticks_since_cut > unflushed // _UNFLUSHED_PARTS_PER_EXTRA_TICK:
            self.cut_parts()
        # A peer that restarted or isn't live may have lost its copies.
        self._acked_numbers = {
            peer: number
            for peer, number in self._acked_numbers.items()
            if live.get(peer[0]) == peer[1]
        }
        acks, self._pending_acks = self._pending_acks, {}
        copy_targets = self._copy_targets(live)
        usage = {}
        for peer in sorted({*acks, *copy_targets}):
            parts = ()
            if peer in copy_targets:
                parts = self._unacked_parts((peer, live[peer]))
            epoch, number = acks.get(peer, (0, 0))
            if parts or number:
                usage[peer] = PeerUsage(parts, epoch, number)
        return usage

    def keep_copies(self, sender: str, parts: tuple[UsagePart, ...]) -> None:
        """Keeps copies of a peer's parts until they are sealed.

        The next tick acknowledges them to the peer.
        """
        for part in parts:
            self._copies[part.part_id] = part
            if part.daemon_id == sender:
                newest = self._pending_acks.get(sender, (0, 0))
                self._pending_acks[sender] = max(
                    newest, (part.epoch, part.number)
                )

    def on_copies_acknowledged(
        self, peer: str, incarnation: int, epoch: int, number: int
    ):
        """Records that a peer has copies of own parts up to `number`.

        Args:
            peer: Id of the peer.
            incarnation: Incarnation of the peer.
            epoch: Epoch of this daemon whose parts were copied; ignored
                unless it is the present one.
            number: Number of the newest copied part.
        """
        if epoch != self.epoch:
            return
        key = (peer, incarnation)
        acked = self._acked_numbers.get(key, 0)
        self._acked_numbers[key] = max(acked, number)

    def own_parts(self) -> list[UsagePart]:
        """Returns the parts of this epoch that aren't known to be sealed."""
        return list(self._own_parts.values())

    def orphaned_parts(self, live: Mapping[str, int]) -> list[UsagePart]:
        """Returns the copied parts of incarnations that aren't live."""
        return [
            part
            for part in self._copies.values()
            if live.get(part.daemon_id) != part.epoch
        ]

    def record_flushed(self, parts: tuple[UsagePart, ...]) -> None:
        """Records that these parts are stored at the platform."""
        for part in parts:
            # Parts of peers and of earlier epochs may have the same numbers.
            if (
                part.number in self._own_parts
                and part == self._own_parts[part.number]
            ):
                self._flushed_numbers.add(part.number)

    def drop_sealed(self, sealed_parts: SealedParts) -> None:
        """Drops own parts and copies that are sealed."""
        self._own_parts = {
            number: part
            for number, part in self._own_parts.items()
            if part not in sealed_parts
        }
        self._flushed_numbers.intersection_update(self._own_parts)
        self._copies = {
            part_id: part
            for part_id, part in self._copies.items()
            if part not in sealed_parts
        }

    @property
    def unsealed_count(self) -> int:
        """Number of own parts not known to be sealed; uncut counts add one."""
        return len(self._own_parts) + bool(self._uncut_sums)

    @property
    def unkept_requests(self) -> int:
        """Number of counted requests that only this daemon has."""
        acked = max(self._acked_numbers.values(), default=0)
        unkept = sum(requests for requests, _ in self._uncut_sums.values())
        for number, part in self._own_parts.items():
            if number > acked and number not in self._flushed_numbers:
                unkept += sum(count.requests for count in part.counts)
        return unkept

    @property
    def copy_count(self) -> int:
        """Number of copies of peers' parts at this daemon."""
        return len(self._copies)

    def _copy_targets(self, live: Mapping[str, int]) -> list[str]:
        """Returns the peers that follow this daemon in the ring of live ids."""
        ring = sorted(live)
        after = [peer for peer in ring if peer > self.daemon_id]
        return (after + ring)[: min(_COPIES_PER_PART, len(ring))]

    def _unacked_parts(self, peer: tuple[str, int]) -> tuple[UsagePart, ...]:
        """Returns the unflushed parts to copy to a peer, oldest first.

        Args:
            peer: Id and incarnation of the peer.
        """
        acked = self._acked_numbers.get(peer, 0)
        parts = []
        remaining_counts = _MAX_COUNTS_PER_MESSAGE
        for number, part in self._own_parts.items():
            if number <= acked or number in self._flushed_numbers:
                continue
            parts.append(part)
            remaining_counts -= len(part.counts)
            if remaining_counts <= 0:
                break
        return tuple(parts)
