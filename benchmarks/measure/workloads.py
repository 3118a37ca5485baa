"""Workload scripts: two sites of three failure domains each."""

import dataclasses

__all__ = ["HANBIT", "SITES", "TACHIBANA", "Site"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """Sizes and load of one site.

    Attributes:
        name: Its name.
        domains: Failure domains.
        services: Record servers by domain.
        engines: Model engines by domain.
        trainers: Trainers that share the engines.
        hop_s: One way between failure domains, seconds.
        caller_s: One way from callers, seconds.
        rates: Requests a second by client account; the first two are large.
        duration_s: Length of a look-up run.
        filing_share: Share of requests that may not be repeated.
        service_slots: Requests that a record server works on at one time.
        service_s: Median time of one request.
        long_share: Share of requests that take `long_factor` times as long.
        long_factor: How much longer they take.
        deadline_s: When a caller gives up.
        hedge_after_s: When a repeatable request goes to a second server.
        steps: Steps of each trainer.
        groups: Groups of a step.
        group_size: Samples of a group.
        train_s: Length of a step's training.
        sample_s: Median length of a sample.
    """

    name: str
    domains: tuple[str, ...]
    services: tuple[int, ...]
    engines: tuple[int, ...]
    trainers: int
    hop_s: float = 0.0005
    caller_s: float = 0.003
    rates: tuple[float, ...]
    duration_s: float = 90.0
    filing_share: float = 0.2
    service_slots: int = 4
    service_s: float = 0.04
    long_share: float = 0.03
    long_factor: float = 8.0
    deadline_s: float = 2.0
    hedge_after_s: float = 0.3
    steps: int = 16
    groups: int = 16
    group_size: int = 4
    train_s: float = 6.0
    sample_s: float = 5.0


HANBIT = Site(
    name="Hanbit",
    domains=("busan", "ulsan", "changwon"),
    services=(1, 1, 1),
    engines=(2, 1, 1),
    trainers=1,
    rates=(40.0, 30.0, 5.0, 5.0, 5.0, 5.0, 3.0, 2.0),
)
TACHIBANA = Site(
    name="Tachibana",
    domains=("fukuoka", "kumamoto", "kagoshima"),
    services=(2, 1, 1),
    engines=(2, 2, 1),
    trainers=2,
    caller_s=0.001,
    rates=(60.0, 40.0, 8.0, 8.0, 6.0, 4.0, 2.0, 2.0),
)
SITES = (HANBIT, TACHIBANA)
