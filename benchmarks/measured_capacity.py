"""Measures look-ups at endpoints of differing speed, one of which slows down.

Daemons choose endpoints by their slots and their own latencies, or by measured
capacity. Run with `python -m benchmarks.measured_capacity`.
"""

import dataclasses
import statistics

from daisyhub.testing.uneven_endpoints import (
    Figures,
    UnevenEndpoints,
    make_endpoints,
)

DURATION_S = 40.0
SEEDS = (1, 2, 3, 4, 5)
RATES_PER_S = (5.0, 20.0, 60.0, 130.0, 200.0)


def measure(rate_per_s: float, *, is_adaptive: bool) -> Figures:
    """Returns the means of the figures over all seeds."""
    found = [
        UnevenEndpoints(
            make_endpoints(),
            requests_per_s=rate_per_s,
            is_adaptive=is_adaptive,
            seed=seed,
        ).run(DURATION_S)
        for seed in SEEDS
    ]
    names = [field.name for field in dataclasses.fields(Figures)]
    return Figures(
        **{n: statistics.mean(getattr(f, n) for f in found) for n in names}
    )


def main() -> None:
    """Prints a line for each rate and way of choosing."""
    print(
        "requests/s  choice    p50 ms  p99 ms  refused  busiest  fullest  "
        "error  connections"
    )
    for rate_per_s in RATES_PER_S:
        for is_adaptive in (False, True):
            found = measure(rate_per_s, is_adaptive=is_adaptive)
            name = "measured" if is_adaptive else "slots"
            print(
                f"{rate_per_s:10.0f}  {name:8}  {found.p50_s * 1000:6.0f}  "
                f"{found.p99_s * 1000:6.0f}  {found.refused:7.4f}  "
                f"{found.busiest:7.2f}  {found.fullest:7.2f}  "
                f"{found.error:5.2f}  {found.connections:11.0f}"
            )


if __name__ == "__main__":
    main()
