"""Random faults of a simulation, drawn from its seed."""

import dataclasses
import random

__all__ = ["Fault", "engine_faults", "lookup_faults", "usage_faults"]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        kind: `burst`, `hang`, `refuse`, `slow`, `reclaim`, `kill`, `outage`.
        start_s: Time at which the fault starts.
        end_s: Time at which the fault ends; 0 for `kill`.
        target: Index of the affected server, account, domain or daemon.
    """

    kind: str
    start_s: float
    end_s: float
    target: int = 0


def lookup_faults(seed: int, servers: int) -> tuple[Fault, ...]:
    """Returns the faults of a look-up simulation.

    These are a burst of requests, a server that hangs, one that refuses, one
    that is slow, and a failure domain whose cheap servers are reclaimed.
    """
    rng = random.Random(seed)
    starts = [start + rng.uniform(0, 3) for start in (12, 30, 45, 60, 75)]
    return (
        Fault("burst", starts[0], starts[0] + 12, 0),
        Fault("hang", starts[1], starts[1] + 10, rng.randrange(servers)),
        Fault("refuse", starts[2], starts[2] + 10, rng.randrange(servers)),
        Fault("slow", starts[3], starts[3] + 10, rng.randrange(servers)),
        Fault("reclaim", starts[4], 1e9, rng.randrange(3)),
    )


def engine_faults(seed: int, engines: int) -> tuple[Fault, ...]:
    """Returns the faults of a lot simulation.

    These are an engine that crashes, so that it refuses attempts and loses
    those in progress, and later an engine that hangs.
    """
    rng = random.Random(seed)
    start_s = rng.uniform(15, 30)
    return (
        Fault("refuse", start_s, start_s + 20, rng.randrange(engines)),
        Fault("hang", start_s + 40, start_s + 60, rng.randrange(engines)),
    )


def usage_faults(seed: int, daemons: int) -> tuple[Fault, ...]:
    """Returns six random kills of daemons and two outages of the platform."""
    rng = random.Random(seed)
    kills = tuple(
        Fault("kill", rng.uniform(0, 6000), 0, rng.randrange(daemons))
        for _ in range(6)
    )
    outages = tuple(
        Fault("outage", start_s, start_s + rng.uniform(120, 400))
        for start_s in (rng.uniform(600, 1800), rng.uniform(3000, 5000))
    )
    return kills + outages
