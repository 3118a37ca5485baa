"""Chooses which groups a lot commits to the pulls that wait."""

from collections.abc import Iterable

from daisyhub.rollouts._lot_events import CountUsage, PullRequested
from daisyhub.rollouts._slot_table import SlotTable

__all__ = ["choose_groups", "usage_of"]

Chosen = dict[str, tuple[int, ...]]


def choose_groups(
    pulls: Iterable[PullRequested],
    slots: SlotTable,
    owned: set[int],
    max_staleness: int,
    now_s: float,
) -> Chosen:
    """Returns whole, fresh groups for each pull id that has none yet.

    Args:
        pulls: Calls whose pull ids aren't stored. Of two with the same id the
            one with the newer version counts.
        slots: The samples; those found too old are dropped.
        owned: Groups that a stored pull names.
        max_staleness: Largest distance from the version in the call.
        now_s: Monotonic time in seconds.
    """
    waiting: dict[str, PullRequested] = {}
    for call in pulls:
        known = waiting.get(call.pull_id)
        if known is None or known.version < call.version:
            waiting[call.pull_id] = call
    free = [group for group in slots.whole_groups if group not in owned]
    chosen = {}
    for pull_id, call in waiting.items():
        oldest = call.version - max_staleness
        groups = _fresh_groups(call.max_groups, free, slots, oldest, now_s)
        if groups:
            chosen[pull_id] = groups
            free = [group for group in free if group not in groups]
    return chosen


def _fresh_groups(
    most: int, free: list[int], slots: SlotTable, oldest: int, now_s: float
) -> tuple[int, ...]:
    fresh = []
    for group in free:
        if len(fresh) == most:
            break
        if slots.is_fresh(group, oldest, now_s):
            fresh.append(group)
    return tuple(fresh)


def usage_of(chosen: Chosen, slots: SlotTable) -> CountUsage:
    """Returns what to bill once the chosen groups are known to be stored."""
    groups = tuple(group for part in chosen.values() for group in part)
    tokens = tuple(
        len(sample.tokens)
        for group in groups
        for sample in slots.group(group).samples
    )
    return CountUsage(groups, tokens)
