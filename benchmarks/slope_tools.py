"""Measures a cost at several sizes and fits a line to the medians."""

import dataclasses
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator

__all__ = ["Point", "Slope", "memory_bytes", "points", "processor_us"]

_MIN_DURATION_S = 0.01
_US_PER_S = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Median, lowest and highest cost of all repeats at one size."""

    size: float
    median: float
    low: float
    high: float

    @classmethod
    def from_values(cls, size: float, values: list[float]) -> "Point":
        """Summarizes repeated measurements at one size."""
        return cls(size, statistics.median(values), min(values), max(values))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """A cost measured as a function of a size.

    Attributes:
        name: Heading of the printed table.
        per: What the size counts, such as endpoints.
        unit: Unit of the cost.
        points: Costs in ascending order of size.
    """

    name: str
    per: str
    unit: str
    points: tuple[Point, ...]

    @property
    def line(self) -> tuple[float, float]:
        """Intercept and slope of the least-squares fit to the medians."""
        sizes = [point.size for point in self.points]
        costs = [point.median for point in self.points]
        fit = statistics.linear_regression(sizes, costs)
        return fit.intercept, fit.slope

    def lines(self) -> Iterator[str]:
        """Yields the lines of a readable table."""
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
    """Returns one point per size, each measured `repeats` times."""
    return tuple(
        Point.from_values(size, [measure(size) for _ in range(repeats)])
        for size in sizes
    )


def processor_us(function: Callable[[], object]) -> float:
    """Returns the processor time of one call of `function`, microseconds.

    The number of calls is raised until they take long enough to be measured
    with the resolution of the process clock.
    """
    call_count = 1
    while True:
        started_s = time.process_time()
        for _ in range(call_count):
            function()
        elapsed_s = time.process_time() - started_s
        if elapsed_s >= _MIN_DURATION_S:
            return elapsed_s / call_count * _US_PER_S
        call_count *= 4


def memory_bytes(factory: Callable[[], object]) -> float:
    """Returns the memory in use by the result of `factory`, bytes."""
    gc.collect()
    tracemalloc.start()
    result = factory()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(size_bytes)
