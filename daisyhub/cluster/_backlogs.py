"""Figures of the work that open lots still need, from the holder of lots.

The holder computes them, its pings carry them, and daemons pass the newest ones
on: in a large cluster a holder pings each daemon only every few seconds.

Times are seconds on a monotonic clock.
"""

import math

import msgspec

__all__ = ["BacklogNews", "BacklogTable", "PoolBacklog"]

# Age in seconds from which figures are no longer used. News of a holder reaches
# all daemons of a large cluster within 1.6 s.
_MAX_AGE_S = 2.0


class PoolBacklog(msgspec.Struct, frozen=True, kw_only=True):
    """Remaining work of open lots in one adaptive pool.

    Work is in seconds of a slot.

    Attributes:
        pool: The pool.
        slots: Number of runs that its engines sustain.
        running_s: Remaining work of the open runs.
        running_parts: The same in parts of about equal size, each as a number
            of runs and the least remaining work among them.
        waiting: Number of waiting items that `waiting_s` counts.
        waiting_s: Work of waiting items that comes before that of a new lot.
        tail_parts: The longest of these items, one less than there are slots,
            in parts, each as a number of items and the most work among them.
            They may still run when a new lot is complete.
        event_s: Mean seconds between the events of a run.
        lengths: Usual number of tokens per event, and of events of a text
            without a hint, by model; only of models with finished texts.
    """

    pool: str
    slots: int
    running_s: float
    running_parts: tuple[tuple[int, float], ...]
    waiting: int
    waiting_s: float
    tail_parts: tuple[tuple[int, float], ...]
    event_s: float
    lengths: dict[str, tuple[float, float]] = {}

    @property
    def items(self) -> int:
        """Number of items that the figures count."""
        return self.waiting + sum(count for count, _ in self.running_parts)

    def least_work_s(self, within_s: float, item_s: float) -> float:
        """Returns the work that is done before a new lot is complete, at least.

        Whatever the order of the items that wait: when the lot's first item
        starts, they have all started, and at most `slots` - 1 of them run.

        Args:
            within_s: Seconds within which the lot is to be complete.
            item_s: Seconds that one of the lot's items takes.
        """
        running_s = sum(
            count * min(least_s, within_s)
            for count, least_s in self.running_parts
        )
        unfinished_s = sum(
            count * max(0.0, most_s - item_s)
            for count, most_s in self.tail_parts
        )
        return running_s + max(0.0, self.waiting_s - unfinished_s)


class BacklogNews(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one holder.

    Attributes:
        fencing: The holder's fencing number.
        number: Rises with each set of figures of the holder.
        age_s: Seconds since the holder computed them.
        pools: The figures of adaptive pools.
    """

    fencing: int
    number: int
    age_s: float
    pools: tuple[PoolBacklog, ...] = ()


_NONE = BacklogNews(fencing=0, number=0, age_s=math.inf)


class BacklogTable:
    """The newest figures of the newest holder."""

    def __init__(self):
        self._news = _NONE
        self._computed_at_s = -math.inf

    def record(self, news: BacklogNews, now_s: float) -> None:
        """Records figures unless older ones or those of an earlier holder.

        Of the same figures the earliest time counts: each daemon that passes
        them on adds the time of the way, and they would never become old.
        """
        computed_at_s = now_s - max(0.0, news.age_s)
        order = (news.fencing, news.number)
        known = (self._news.fencing, self._news.number)
        if order == known:
            self._computed_at_s = min(self._computed_at_s, computed_at_s)
        elif order > known:
            self._news, self._computed_at_s = news, computed_at_s

    def record_holder(self, fencing: int) -> None:
        """Drops the figures of holders before the one with this number."""
        if fencing > self._news.fencing:
            self._news = msgspec.structs.replace(_NONE, fencing=fencing)
            self._computed_at_s = -math.inf

    def news(self, now_s: float) -> BacklogNews | None:
        """Returns the figures to pass on; None if there are no current ones."""
        age_s = now_s - self._computed_at_s
        if age_s > _MAX_AGE_S:
            return None
        return msgspec.structs.replace(self._news, age_s=max(0.0, age_s))

    def find(self, pool: str, now_s: float) -> PoolBacklog | None:
        """Returns the current figures of a pool; None without any."""
        news = self.news(now_s)
        found = news.pools if news else ()
        return next((p for p in found if p.pool == pool), None)
