"""Runs all simulations and writes tables and plots.

`python -m benchmarks.measure [FOLDER]` writes `tables.md` and one plot per
figure, by default to docs/measures. Results depend only on the seeds.
"""

import dataclasses
import pathlib
import statistics
import sys
import time
from collections.abc import Callable

from benchmarks.measure.lookup_policies import LookupPolicy
from benchmarks.measure.lookups import run_lookups
from benchmarks.measure.lots import LotPolicy, run_lots
from benchmarks.measure.plots import draw
from benchmarks.measure.usage import UsagePolicy, run_usage
from benchmarks.measure.workloads import SITES, Site

__all__ = ["Cell", "Row", "main"]

_SEEDS = range(1, 6)
_FOLDER = "docs/measures"

# "as built" is what the daemon does; the other policies change it as named.
_LOOKUPS = (
    LookupPolicy(name="512 places", is_limit_adaptive=False),
    LookupPolicy(
        name="512 places, no hedging", is_limit_adaptive=False, is_hedged=False
    ),
    LookupPolicy(name="as built"),
    LookupPolicy(name="first come first served", is_fair=False),
    LookupPolicy(name="round robin", is_least_loaded=False),
    LookupPolicy(name="no hedging", is_hedged=False),
    LookupPolicy(name="servers of all domains", is_site_wide=True),
    LookupPolicy(
        name="all domains, round robin",
        is_site_wide=True,
        is_least_loaded=False,
    ),
    LookupPolicy(
        name="all domains, no hedging", is_site_wide=True, is_hedged=False
    ),
    LookupPolicy(name="one more cheap server each", extra="cheap"),
    LookupPolicy(
        name="one more cheap server each, regular first",
        extra="cheap",
        is_regular_first=True,
    ),
    LookupPolicy(name="one more dear server each", extra="dear"),
)
_ONE_DOMAIN = (
    LotPolicy(name="as built"),
    LotPolicy(name="no faults", has_faults=False),
    LotPolicy(name="time-out 300 s", timeout_s=300.0),
    LotPolicy(name="4 spare samples", spare_samples=4),
    LotPolicy(
        name="time-out 300 s, 4 spare samples",
        timeout_s=300.0,
        spare_samples=4,
    ),
    LotPolicy(name="round robin", is_least_loaded=False),
    LotPolicy(name="groups restart", should_keep_samples=False),
)
_ALL_DOMAINS = tuple(
    dataclasses.replace(
        policy, name=f"all domains: {policy.name}", is_site_wide=True
    )
    for policy in (
        *_ONE_DOMAIN,
        LotPolicy(name="time-out 30 s", timeout_s=30.0),
        LotPolicy(name="staleness 1", max_staleness=1),
        LotPolicy(name="staleness 4", max_staleness=4),
    )
)
_USAGE = (
    UsagePolicy(name="as built"),
    UsagePolicy(name="no copies", has_copies=False),
    UsagePolicy(name="a new holder forgets the marks", has_marks=False),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """Median, lowest and highest value of a figure over the seeds."""

    median: float
    low: float
    high: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Figures of one policy at one site."""

    site: str
    policy: str
    cells: dict[str, Cell]


def _rows(policies, run: Callable, sites: tuple[Site, ...]) -> list[Row]:
    return [_row(site, p, run) for site in sites for p in policies]


def _row(site: Site, policy, run: Callable) -> Row:
    results = [run(site, policy, seed) for seed in _SEEDS]
    cells = {}
    for field in dataclasses.fields(results[0]):
        values = [getattr(result, field.name) for result in results]
        cells[field.name] = Cell(
            statistics.median(values), min(values), max(values)
        )
    return Row(site=site.name, policy=policy.name, cells=cells)


def _table(title: str, rows: list[Row]) -> str:
    names = list(rows[0].cells)
    lines = [
        f"### {title}",
        "",
        "| site | policy | " + " | ".join(names) + " |",
        "| --- | --- |" + " --- |" * len(names),
    ]
    for row in rows:
        shown = " | ".join(
            f"{c.median:.4f} ({c.low:.4f} to {c.high:.4f})"
            for c in row.cells.values()
        )
        lines.append(f"| {row.site} | {row.policy} | {shown} |")
    return "\n".join(lines) + "\n"


def main() -> None:
    """Writes the tables and the plots."""
    folder = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else _FOLDER)
    folder.mkdir(parents=True, exist_ok=True)
    started_s = time.monotonic()
    parts = {
        "Look-ups": _rows(_LOOKUPS, run_lookups, SITES),
        "Lots": _rows(_ONE_DOMAIN + _ALL_DOMAINS, run_lots, SITES),
        "Usage": _rows(_USAGE, run_usage, SITES[:1]),
    }
    tables = [_table(title, rows) for title, rows in parts.items()]
    text = "\n".join(tables)
    (folder / "tables.md").write_text(text, encoding="utf-8")
    draw(parts, folder)
    print(text)
    print(f"took {time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    main()
