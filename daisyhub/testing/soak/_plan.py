"""Draws the disturbances of a soak from its seed."""

import dataclasses
import enum
import random
from collections.abc import Sequence

__all__ = ["Disturbance", "Kind", "make_plan"]

# Disturbances in each ten seconds; they last up to four, so some overlap.
_PER_TEN_S = 8
_LONGEST_S = 4.0
# Share of disturbances that come as a series on one target.
_SERIES_SHARE = 0.25
_SERIES_GAP_S = 0.7
# Largest jump of a restarted daemon's time of day, seconds.
_CLOCK_JUMP_S = 30.0


class Kind(enum.Enum):
    """What is done."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    HANG_UP = "hang_up"
    CLOCK = "clock"
    STORE_LINK = "store_link"
    ALL_STORE_LINKS = "all_store_links"
    STORE_FAULT = "store_fault"
    SERVER_LINK = "server_link"
    SERVER_FAULT = "server_fault"
    CONFIG = "config"
    KEYS = "keys"
    KILL_ALL = "kill_all"


# Draws for each kind; those that hit all daemons come less often.
_WEIGHTS = {
    Kind.KILL: 4,
    Kind.STOP: 3,
    Kind.PAUSE: 4,
    Kind.HANG_UP: 1,
    Kind.CLOCK: 2,
    Kind.STORE_LINK: 5,
    Kind.ALL_STORE_LINKS: 3,
    Kind.STORE_FAULT: 4,
    Kind.SERVER_LINK: 6,
    Kind.SERVER_FAULT: 6,
    Kind.CONFIG: 2,
    Kind.KEYS: 1,
    Kind.KILL_ALL: 1,
}
_HARMS = ("slow", "reset", "one_way", "silent")
_STORE_FAULTS = ("error", "lose", "late", "truncate")
_SERVER_FAULTS = ("error", "lose", "late", "truncate", "hang")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """One disturbance.

    Attributes:
        at_s: Seconds from the start of the soak.
        for_s: How long it lasts.
        kind: What is done.
        target: Name of a daemon or a server; empty for all.
        how: Mode of a link, or kind of a fault; empty for others.
        amount: Jump of a clock, seconds.
    """

    at_s: float
    for_s: float
    kind: Kind
    target: str = ""
    how: str = ""
    amount: float = 0.0


def make_plan(
    seed: int, seconds: float, daemons: Sequence[str], servers: Sequence[str]
) -> tuple[Disturbance, ...]:
    """Returns the disturbances of a soak, by time; equal for equal seeds."""
    rng = random.Random(seed)
    plan: list[Disturbance] = []
    for _ in range(max(1, round(seconds / 10 * _PER_TEN_S))):
        first = _draw(rng, seconds, daemons, servers)
        plan.append(first)
        if rng.random() >= _SERIES_SHARE:
            continue
        gap_s = first.for_s + rng.uniform(0.0, _SERIES_GAP_S)
        again = dataclasses.replace(first, at_s=first.at_s + gap_s)
        if again.at_s < seconds:
            plan.append(again)
    return tuple(sorted(plan, key=lambda d: d.at_s))


def _draw(rng, seconds, daemons, servers) -> Disturbance:
    kind = rng.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
    at_s = rng.uniform(0.0, seconds)
    for_s = rng.uniform(0.2, _LONGEST_S)
    target = how = ""
    match kind:
        case Kind.STORE_LINK:
            target, how = rng.choice(daemons), rng.choice(_HARMS)
        case Kind.ALL_STORE_LINKS:
            how = rng.choice(_HARMS)
        case Kind.STORE_FAULT:
            target, how = "platform", rng.choice(_STORE_FAULTS)
        case Kind.SERVER_LINK:
            target, how = rng.choice(servers), rng.choice(_HARMS)
        case Kind.SERVER_FAULT:
            target, how = rng.choice(servers), rng.choice(_SERVER_FAULTS)
        case Kind.CONFIG | Kind.KEYS | Kind.KILL_ALL:
            pass
        case _:
            target = rng.choice(daemons)
    return Disturbance(
        at_s=at_s,
        for_s=for_s,
        kind=kind,
        target=target,
        how=how,
        amount=rng.uniform(-_CLOCK_JUMP_S, _CLOCK_JUMP_S),
    )
