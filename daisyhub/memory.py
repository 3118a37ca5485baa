"""Bounds the memory that all clients of a process together can make it hold.

The load: many bodies of legal size that arrive at the same time, most of which
never end. Each alone is allowed, together they exceed the memory of the
machine. Waiting for room would let those that never end hold up all others, so
that one of them is ended instead. Only large responses wait: their servers end
them, and have done the work.
"""

import collections
import enum
import time
from collections.abc import Callable

import anyio

__all__ = ["MemoryBudget", "MemoryClaim", "MemoryLease"]


class _State(enum.Enum):
    """What may happen to a claim.

    `RECEIVING` claims grow and may be evicted, `PINNED` ones stay until they
    are released, `EVICTED` ones are released soon.
    """

    RECEIVING = enum.auto()
    PINNED = enum.auto()
    EVICTED = enum.auto()


# What each request holds without being counted, in bytes, so that ordinary
# requests don't depend on what large ones leave.
_FREE_BYTES = 1 << 14
# Size from which on a claim counts as large, in bytes, and the fraction of the
# budget that large claims leave to the others.
_LARGE_BYTES = 1 << 20
_SMALL_SHARE = 0.25
# A client that sends this much has made progress, in bytes. Less doesn't count,
# or a client that sends single bytes would pass for a fast one.
_PROGRESS_BYTES = 1 << 16
# Memory of the process without clients, in bytes, and the fraction of the rest
# that the budget has. The other part is for connections, responses and what
# the allocator can't return.
_BASE_BYTES = 64_000_000
_BUDGET_SHARE = 0.4
_DEFAULT_MEMORY_MB = 256.0
_MIN_LIMIT_BYTES = 1 << 22
_BYTES_PER_MB = 1_000_000
# Time without the release of a large claim after which nothing waits for it,
# in seconds. Those that hold the memory make no progress then.
_MAX_WAIT_S = 1.0


def _do_nothing() -> None:
    """Evicts a claim that is never evicted."""


class MemoryClaim:
    """The memory that one request, or its response, holds.

    Attributes:
        held: Bytes that count towards the budget.
        state: What may happen to it.
        moved_at_s: When its client last made progress.
    """

    def __init__(self, budget: "MemoryBudget", evict: Callable[[], None]):
        self._budget = budget
        self._evict = evict
        self._total = 0
        self._reserved = 0
        self._since_progress = 0
        self.held = 0
        self.state = _State.RECEIVING
        self.moved_at_s = budget.now_s()

    def add(self, size: int, weight: int = 1) -> None:
        """Adds received bytes; may evict this claim or others.

        Args:
            size: Number of bytes.
            weight: Number of copies that the process makes of each.
        """
        if self.is_evicted:
            return
        self._since_progress += size
        if self._since_progress >= _PROGRESS_BYTES:
            self._since_progress = 0
            self.touch()
        self._total += size * weight
        if self._total > max(_FREE_BYTES, self._reserved):
            self._budget.resize(self, self._total - _FREE_BYTES)

    async def reserve(self, size: int) -> None:
        """Waits until there is room for a body of a known size.

        In the order of arrival, and only while other large ones are released.
        A body that isn't large, or gets no room, counts as it arrives.
        """
        if size >= _LARGE_BYTES:
            await self._budget.wait_for_room(self, size)

    def set_reserved(self, size: int) -> None:
        """Counts a body that is still to arrive."""
        self._reserved = size
        self.touch()
        self._budget.resize(self, size)

    def take_over(self, other: "MemoryClaim") -> None:
        """Counts what another claim has counted; this one must be empty."""
        self._total = other._total
        self._budget.move(other, self)
        other.release()
        self.touch()

    @property
    def is_large(self) -> bool:
        """Whether it belongs to the large claims."""
        return self.held >= _LARGE_BYTES

    @property
    def is_evicted(self) -> bool:
        """Whether the request must end."""
        return self.state is _State.EVICTED

    def touch(self) -> None:
        """Records that its client made progress."""
        self.moved_at_s = self._budget.now_s()

    def pin(self) -> None:
        """Keeps what was received until `release`; nothing evicts it."""
        if self.state is _State.RECEIVING:
            self.state = _State.PINNED

    def grow(self, size: int) -> bool:
        """Adds what processing a complete body takes.

        Returns:
            Whether there is room beside other complete ones; else nothing was
            added.
        """
        if not self._budget.has_room_for(self._total + size, self):
            return False
        self._total += size
        self._budget.resize(self, max(0, self._total - _FREE_BYTES))
        return True

    def release(self) -> None:
        """Gives everything back, so that the claim may be used again."""
        self.state = _State.RECEIVING
        if not self._total and not self._reserved:
            return
        self._total = 0
        self._reserved = 0
        self._since_progress = 0
        self._budget.resize(self, 0)

    def evict(self) -> None:
        """Ends the request; its owner still has to release the claim."""
        self.state = _State.EVICTED
        self._evict()


class MemoryLease:
    """Counts a body towards the budget while anything refers to the lease.

    Passed along with the body, so that a body counts until it was sent, or was
    dropped wherever that happened.

    Args:
        claim: The claim of the body.
    """

    def __init__(self, claim: MemoryClaim):
        self._claim = claim

    def release(self) -> None:
        """Ends the lease, as the body isn't needed any more."""
        self._claim.release()

    def move_to(self, claim: MemoryClaim) -> None:
        """Ends the lease, as another claim counts the body from now on."""
        claim.take_over(self._claim)

    def __del__(self):
        self._claim.release()


class _Waiting:
    """A body that waits for room."""

    def __init__(self, claim: MemoryClaim, size: int):
        self.claim = claim
        self.size = size
        self.granted = anyio.Event()


class MemoryBudget:
    """Decides which requests may hold how much memory.

    A claim that grows beyond the budget evicts the claims that hold the most
    for the longest time without progress, perhaps itself. Large claims together
    have a part of the budget only. One of them always fits, whatever its size,
    as it counts as that part at most.

    Args:
        memory_mb: Memory of the process, in units of 10^6 bytes; by default
            that of a process that states none.
        now_s: Clock, in seconds.

    Attributes:
        limit: Bytes that all claims may hold together.
        large_limit: Bytes that large ones may hold.
        held: Bytes of theirs that count.
        evicted: Number of claims that were evicted.
    """

    def __init__(
        self,
        memory_mb: float = _DEFAULT_MEMORY_MB,
        now_s: Callable[[], float] = time.monotonic,
    ):
        spare = memory_mb * _BYTES_PER_MB - _BASE_BYTES
        self.limit = max(_MIN_LIMIT_BYTES, int(spare * _BUDGET_SHARE))
        self.large_limit = int(self.limit * (1 - _SMALL_SHARE))
        self.now_s = now_s
        self.held = 0
        self.evicted = 0
        self._claims: set[MemoryClaim] = set()
        self._waiting: collections.deque[_Waiting] = collections.deque()
        self._release_count = 0

    def open(self, evict: Callable[[], None]) -> MemoryClaim:
        """Returns an empty claim.

        Args:
            evict: Ends the request. Must not call back; the claim counts until
                it is released.
        """
        return MemoryClaim(self, evict)

    def hold(self, size: int) -> MemoryLease:
        """Returns the lease of a complete body, which nothing evicts."""
        claim = self.open(_do_nothing)
        claim.pin()
        claim.add(size)
        return MemoryLease(claim)

    def has_room_for(self, size: int, claim: MemoryClaim | None = None) -> bool:
        """Whether a body of this size could be held, whoever is evicted.

        Args:
            size: Its size.
            claim: Its claim if it has one already.
        """
        counted = min(size, self.large_limit)
        pinned = [
            c
            for c in self._claims
            if c.state is _State.PINNED and c is not claim
        ]
        if sum(c.held for c in pinned) + counted > self.limit:
            return False
        large = sum(c.held for c in pinned if c.is_large)
        return size < _LARGE_BYTES or large + counted <= self.large_limit

    def resize(self, claim: MemoryClaim, size: int) -> None:
        """Sets what a claim holds; evicts claims if that is too much."""
        counted = min(size, self.large_limit)
        has_grown = counted > claim.held
        if not has_grown and claim.is_large:
            self._release_count += 1
        self.held += counted - claim.held
        claim.held = counted
        if size:
            self._claims.add(claim)
        else:
            self._claims.discard(claim)
        if not has_grown:
            self._grant_room()
            return
        if claim.is_large:
            large = [c for c in self._claims if c.is_large]
            self._evict_down_to(self.large_limit, large)
        if self.held > self.limit:
            self._evict_down_to(self.limit, list(self._claims))

    def move(self, source: MemoryClaim, target: MemoryClaim) -> None:
        """Moves what a claim holds to an empty one."""
        source.held, target.held = 0, source.held
        self._claims.discard(source)
        self._claims.add(target)

    async def wait_for_room(self, claim: MemoryClaim, size: int) -> None:
        """Waits until a large body fits beside all others; see `reserve`."""
        waiting = _Waiting(claim, size)
        self._waiting.append(waiting)
        self._grant_room()
        try:
            while not waiting.granted.is_set():
                count = self._release_count
                with anyio.move_on_after(_MAX_WAIT_S):
                    await waiting.granted.wait()
                if self._release_count == count:
                    return
        finally:
            if not waiting.granted.is_set():
                self._waiting.remove(waiting)

    def _grant_room(self) -> None:
        """Gives room to those that have waited for longest."""
        while self._waiting:
            first = self._waiting[0]
            counted = min(first.size, self.large_limit)
            large = sum(c.held for c in self._claims if c.is_large)
            if large + counted > self.large_limit:
                return
            if self.held + counted > self.limit:
                return
            self._waiting.popleft()
            first.claim.set_reserved(first.size)
            first.granted.set()

    def _evict_down_to(self, limit: int, claims: list[MemoryClaim]) -> None:
        """Evicts some of the claims until the others are within a limit."""
        # Evicted claims are released a little later.
        staying = sum(c.held for c in claims if not c.is_evicted)
        if staying <= limit:
            return
        now_s = self.now_s()
        candidates = sorted(
            (c for c in claims if c.state is _State.RECEIVING),
            key=lambda claim: claim.held * (now_s - claim.moved_at_s),
        )
        while staying > limit and candidates:
            victim = candidates.pop()
            staying -= victim.held
            self.evicted += 1
            victim.evict()
