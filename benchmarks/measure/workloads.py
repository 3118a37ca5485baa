"""Workloads of two sites with three failure domains each."""

import dataclasses

__all__ = ["HANBIT", "SITES", "TACHIBANA", "Site"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """Sizes and load of one site.

    Attributes:
        name: Name in the table.
        domains: Names of the failure domains.
        services: Number of record servers by domain.
        engines: Number of model engines by domain.
        trainers: Number of trainers that share the engines.
        hop_s: One-way latency between failure domains.
        caller_s: One-way latency between callers and daemons.
        rates: Requests per second by client account; the first two accounts are
            large.
        duration_s: Duration of a look-up run.
        filing_share: Share of requests that aren't idempotent.
        service_slots: Number of requests that a record server processes at one
            time.
        service_s: Median service time of a request.
        long_share: Share of requests that take `long_factor` times as long.
        long_factor: Factor of the service time of these requests.
        deadline_s: Time after which a caller gives up.
        hedge_after_s: Time after which an idempotent request is also sent to a
            second server.
        steps: Number of steps of each trainer.
        groups: Number of groups per step.
        group_size: Number of samples per group.
        train_s: Duration of the training in a step.
        sample_s: Median generation time of a sample.
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
