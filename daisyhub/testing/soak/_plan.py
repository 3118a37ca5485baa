"""Draws the disturbances of a soak at random from its seed."""

import dataclasses
import enum
import random
from collections.abc import Iterator, Sequence

__all__ = ["Disturbance", "Kind", "WriteFault", "make_plan"]

# Disturbances per ten seconds; they last up to four seconds, so some overlap.
_DISTURBANCES_PER_TEN_S = 8
_MAX_DURATION_S = 4.0
# Probability that a disturbance is repeated on the same target.
_REPEAT_PROBABILITY = 0.25
_MAX_REPEAT_GAP_S = 0.7
# Series of disturbed submissions per ten seconds, the probability that another
# one of a series follows, and the maximum time between two of them.
_SERIES_PER_TEN_S = 1.5
_NEXT_OF_SERIES_PROBABILITY = 0.5
_MAX_SERIES_GAP_S = 2.0
# Limits of servers per ten seconds, and their rates: from none to more than a
# server gets.
_LIMITS_PER_TEN_S = 1.5
_LIMITS_PER_S = (0.0, 0.5, 2.0, 10.0, 50.0)
# Cuts of daemons from all servers per ten seconds, their maximum duration, and
# the probability that a cut has a further daemon.
_CUTS_PER_TEN_S = 1.0
_MAX_CUT_S = 6.0
_FURTHER_CUT_PROBABILITY = 0.4
# Maximum delay in seconds of a late response, within the timeout of a store
# call (0.7 s), and of a deferred write; and from the first disturbed write to
# the rejections, twice that timeout.
_MAX_LATE_S = 0.6
_MAX_DEFERRED_S = 3.0
_MAX_REJECTION_DELAY_S = 1.4
# Maximum offset of the wall clock of a restarted daemon, in either direction.
_MAX_CLOCK_JUMP_S = 30.0


class Kind(enum.Enum):
    """Kind of a disturbance.

    Attributes:
        KILL: A daemon is killed and restarted.
        STOP: A daemon is terminated by SIGTERM and restarted.
        PAUSE: A daemon is suspended (SIGSTOP).
        HANG_UP: A daemon receives SIGHUP.
        CLOCK: A daemon is killed and restarted with a shifted wall clock.
        STORE_LINK: A network fault between one daemon and the store.
        ALL_STORE_LINKS: A network fault between all daemons and the store.
        STORE_FAULT: The store responds with faults.
        SERVER_LINK: A network fault between all daemons and one server.
        SERVER_FAULT: A server responds with faults.
        CUT_OFF: A daemon is cut off from all servers.
        SERVER_LIMIT: A server states a limit of its request rate.
        CONFIG: The manifest is written again with a new version.
        KEYS: The manifest contains a second account for a time.
        KILL_ALL: All daemons are killed and restarted.
        SUBMISSION: Lots are submitted during a `WriteFault`.
    """

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
    CUT_OFF = "cut_off"
    SERVER_LIMIT = "server_limit"
    CONFIG = "config"
    KEYS = "keys"
    KILL_ALL = "kill_all"
    SUBMISSION = "submission"


# Relative frequency of each kind; lower for most that affect all daemons.
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
_LINK_MODES = ("slow", "reset", "one_way", "silent")
_CUT_MODES = ("silent", "reset", "refuse", "one_way")
_STORE_FAULTS = ("error", "lose", "late", "truncate")
_SERVER_FAULTS = ("error", "lose", "late", "truncate", "hang")


_WRITE_KINDS = ("lots", "lot-items")
_WRITE_EFFECTS = ("lose", "lose", "defer", "late", "late", "truncate")
_REJECTIONS = ("503", "503", "429", "reset", "silent", "")
_SIGNALS = ("", "", "SIGSTOP", "SIGSTOP", "SIGTERM", "SIGKILL")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteFault:
    """A fault of writes of submitted lots, and what follows the first of them.

    Attributes:
        kind: Kind of the objects that are created: heads or parts of lots.
        effect: Kind of the store's fault, such as `lose`.
        delay_s: Delay of a late or deferred write.
        rejection: How the store rejects daemons then: a status, a mode of
            their links, or empty for not at all.
        rejects_all: Whether it rejects all daemons, not only the writer.
        rejection_delay_s: Seconds from the first write to the rejection; the
            fault applies to writes until then.
        signal: Name of a signal to the writer; empty for none.
    """

    kind: str
    effect: str
    delay_s: float = 0.0
    rejection: str = ""
    rejects_all: bool = True
    rejection_delay_s: float = 0.0
    signal: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """A disturbance to apply to the processes of a soak.

    Attributes:
        at_s: Seconds from the start of the soak.
        duration_s: How long it lasts; ignored by kinds without a duration.
        kind: Its kind.
        target: Name of a daemon or a server, or `platform`; empty for all.
        mode: Mode of a link, or kind of a fault; empty for others.
        rate_per_s: Stated limit; used by `Kind.SERVER_LIMIT` only.
        clock_jump_s: Offset of the wall clock; used by `Kind.CLOCK` only.
        write_fault: The fault; used by `Kind.SUBMISSION` only.
    """

    at_s: float
    duration_s: float
    kind: Kind
    target: str = ""
    mode: str = ""
    rate_per_s: float = 0.0
    clock_jump_s: float = 0.0
    write_fault: WriteFault | None = None


def make_plan(
    seed: int, seconds: float, daemons: Sequence[str], servers: Sequence[str]
) -> tuple[Disturbance, ...]:
    """Returns the disturbances of a soak by start time.

    The result depends on the arguments only.
    """
    rng = random.Random(seed)
    plan: list[Disturbance] = []
    for _ in range(max(1, round(seconds / 10 * _DISTURBANCES_PER_TEN_S))):
        first = _draw(rng, seconds, daemons, servers)
        plan.append(first)
        if rng.random() >= _REPEAT_PROBABILITY:
            continue
        gap_s = first.duration_s + rng.uniform(0.0, _MAX_REPEAT_GAP_S)
        repeat = dataclasses.replace(first, at_s=first.at_s + gap_s)
        if repeat.at_s < seconds:
            plan.append(repeat)
    plan += _draw_series(random.Random(f"{seed} submissions"), seconds)
    plan += _draw_limits(random.Random(f"{seed} limits"), seconds, servers)
    plan += _draw_cuts(random.Random(f"{seed} cuts"), seconds, daemons)
    return tuple(sorted(plan, key=lambda d: d.at_s))


def _draw_series(rng, seconds) -> Iterator[Disturbance]:
    """Yields series of disturbed submissions, which overlap."""
    for _ in range(max(1, round(seconds / 10 * _SERIES_PER_TEN_S))):
        at_s = rng.uniform(0.0, seconds)
        while at_s < seconds:
            effect = rng.choice(_WRITE_EFFECTS)
            max_delay_s = _MAX_LATE_S if effect == "late" else _MAX_DEFERRED_S
            write_fault = WriteFault(
                kind=rng.choice(_WRITE_KINDS),
                effect=effect,
                delay_s=rng.uniform(0.1, max_delay_s),
                rejection=rng.choice(_REJECTIONS),
                rejects_all=rng.random() < 0.7,
                rejection_delay_s=rng.uniform(0.0, _MAX_REJECTION_DELAY_S),
                signal=rng.choice(_SIGNALS),
            )
            yield Disturbance(
                at_s=at_s,
                duration_s=rng.uniform(0.5, _MAX_DURATION_S),
                kind=Kind.SUBMISSION,
                write_fault=write_fault,
            )
            if rng.random() >= _NEXT_OF_SERIES_PROBABILITY:
                break
            at_s += rng.uniform(0.0, _MAX_SERIES_GAP_S)


def _draw_limits(rng, seconds, servers) -> Iterator[Disturbance]:
    """Yields limits of servers, which overlap."""
    for _ in range(max(1, round(seconds / 10 * _LIMITS_PER_TEN_S))):
        yield Disturbance(
            at_s=rng.uniform(0.0, seconds),
            duration_s=rng.uniform(0.5, 2 * _MAX_DURATION_S),
            kind=Kind.SERVER_LIMIT,
            target=rng.choice(servers),
            rate_per_s=rng.choice(_LIMITS_PER_S),
        )


def _draw_cuts(rng, seconds, daemons) -> Iterator[Disturbance]:
    """Yields cuts of some daemons, never of all, from all servers."""
    for _ in range(max(1, round(seconds / 10 * _CUTS_PER_TEN_S))):
        at_s = rng.uniform(0.0, seconds)
        mode = rng.choice(_CUT_MODES)
        for daemon in rng.sample(daemons, len(daemons) - 1):
            yield Disturbance(
                at_s=at_s,
                duration_s=rng.uniform(1.0, _MAX_CUT_S),
                kind=Kind.CUT_OFF,
                target=daemon,
                mode=mode,
            )
            if rng.random() >= _FURTHER_CUT_PROBABILITY:
                break


def _draw(rng, seconds, daemons, servers) -> Disturbance:
    kind = rng.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
    at_s = rng.uniform(0.0, seconds)
    duration_s = rng.uniform(0.2, _MAX_DURATION_S)
    target = mode = ""
    match kind:
        case Kind.STORE_LINK:
            target, mode = rng.choice(daemons), rng.choice(_LINK_MODES)
        case Kind.ALL_STORE_LINKS:
            mode = rng.choice(_LINK_MODES)
        case Kind.STORE_FAULT:
            target, mode = "platform", rng.choice(_STORE_FAULTS)
        case Kind.SERVER_LINK:
            target, mode = rng.choice(servers), rng.choice(_LINK_MODES)
        case Kind.SERVER_FAULT:
            target, mode = rng.choice(servers), rng.choice(_SERVER_FAULTS)
        case Kind.CONFIG | Kind.KEYS | Kind.KILL_ALL:
            pass
        case _:
            target = rng.choice(daemons)
    return Disturbance(
        at_s=at_s,
        duration_s=duration_s,
        kind=kind,
        target=target,
        mode=mode,
        clock_jump_s=rng.uniform(-_MAX_CLOCK_JUMP_S, _MAX_CLOCK_JUMP_S),
    )
