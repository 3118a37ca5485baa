"""Measures a cost at several sizes and fits a line through the medians."""

import dataclasses
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator

__all__ = ["Point", "Slope", "memory_bytes", "points", "processor_us"]

_SHORTEST_S = 0.01
_US_PER_S = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Cost at one size: the median, lowest and highest of all repeats."""

    size: float
    median: float
    low: float
    high: float

    @classmethod
    def of(cls, size: float, values: list[float]) -> "Point":
        """Summarises repeated values."""
        return cls(size, statistics.median(values), min(values), max(values))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """One measured dependence.

    Attributes:
        name: What was measured.
        per: What the size counts.
        unit: Unit of the cost.
        points: Costs by size.
    """

    name: str
    per: str
    unit: str
    points: tuple[Point, ...]

    @property
    def line(self) -> tuple[float, float]:
        """Intercept and slope through the medians, least squares."""
        sizes = [point.size for point in self.points]
        costs = [point.median for point in self.points]
        fit = statistics.linear_regression(sizes, costs)
        return fit.intercept, fit.slope

    def lines(self) -> Iterator[str]:
        """Yields the table for people."""
        yield f"{self.name} [{self.unit}] by {self.per}"
        for point in self.points:
            yield (
                f"  {point.size:>8g}  {point.median:>10.4g}"
                f"  ({point.low:.4g} to {point.high:.4g})"
            )
        intercept, slope = self.line
        yield f"  line: {intercept:.4g} + {slope:.4g} * {self.per}"


def points(
    sizes: tuple[int, ...], measure: Callable[[int], float], repeats: int = 3
) -> tuple[Point, ...]:
    """Measures every size `repeats` times."""
    return tuple(
        Point.of(size, [measure(size) for _ in range(repeats)])
        for size in sizes
    )


def processor_us(work: Callable[[], object]) -> float:
    """Returns the processor time of one call of `work`, microseconds."""
    calls = 1
    while True:
        started_s = time.process_time()
        for _ in range(calls):
            work()
        took_s = time.process_time() - started_s
        if took_s >= _SHORTEST_S:
            return took_s / calls * _US_PER_S
        calls *= 4


def memory_bytes(make: Callable[[], object]) -> float:
    """Returns the memory that the result of `make` keeps, bytes."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size_bytes)
