"""Selects the groups that a lot commits to waiting pulls."""

from collections.abc import Iterable

from daisyhub.rollouts._lot_events import CountUsage, PullRequested
from daisyhub.rollouts._slot_table import SlotTable

__all__ = ["choose_groups", "chosen_usage"]

ChosenGroups = dict[str, tuple[int, ...]]


def choose_groups(
    pulls: Iterable[PullRequested],
    slots: SlotTable,
    committed: set[int],
    max_staleness: int,
    now_s: float,
) -> ChosenGroups:
    """Returns complete, fresh groups by pull id, without empty entries.

    Args:
        pulls: Calls whose pull ids aren't stored. Of several calls with the
            same id the one with the newest version is used.
        slots: The samples; stale ones are discarded.
        committed: Groups that are committed to a stored pull.
        max_staleness: How many versions a sample may be older than the version
            in the call.
        now_s: Monotonic time in seconds.
    """
    waiting: dict[str, PullRequested] = {}
    for call in pulls:
        previous = waiting.get(call.pull_id)
        if previous is None or previous.version < call.version:
            waiting[call.pull_id] = call
    unassigned = [
        group for group in slots.complete_groups if group not in committed
    ]
    chosen = {}
    for pull_id, call in waiting.items():
        oldest = call.version - max_staleness
        groups = _fresh_groups(
            call.max_groups, unassigned, slots, oldest, now_s
        )
        if groups:
            chosen[pull_id] = groups
            unassigned = [group for group in unassigned if group not in groups]
    return chosen


def _fresh_groups(
    max_groups: int,
    unassigned: list[int],
    slots: SlotTable,
    oldest: int,
    now_s: float,
) -> tuple[int, ...]:
    fresh = []
    for group in unassigned:
        if len(fresh) == max_groups:
            break
        if slots.discard_stale_samples(group, oldest, now_s):
            fresh.append(group)
    return tuple(fresh)


def chosen_usage(chosen: ChosenGroups, slots: SlotTable) -> CountUsage:
    """Returns the usage to bill once the chosen groups are stored."""
    groups = tuple(group for part in chosen.values() for group in part)
    tokens = tuple(
        len(sample.tokens)
        for group in groups
        for sample in slots.group(group).samples
    )
    return CountUsage(groups, tokens)
