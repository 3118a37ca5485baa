"""Catching up after a partition: polynomial sets, deltas, plain transfer.

`python -m benchmarks.reconcile`. The polynomial method represents each set of
hashes by its characteristic polynomial. Both sides exchange its values at as
many points as the bound on the differences, interpolate the quotient, and
test their own hashes for being roots. Processor times are of one side; bytes
are of one direction, without the records, which every method sends alike.
"""

import random
import statistics
import time
from collections.abc import Callable

import msgspec
import numpy as np

_PRIME = (1 << 31) - 1
_RECORD_BYTES = 130
_VALUE_BYTES = 4
_VERSION_BYTES = 8
_MS = 1000
_REPEATS = 3
# Name, records, writers with a version number each, differing records.
_CASES = (
    ("configuration", 7700, 1, (1, 10, 32, 100, 317)),
    ("endpoints", 650, 28, (1, 10, 50, 200)),
    ("usage parts", 1680, 28, (1, 28, 112, 200)),
)


def evaluate(hashes: np.ndarray, points: np.ndarray) -> np.ndarray:
    """Returns the characteristic polynomial's values at the points."""
    values = np.ones(len(points), dtype=np.int64)
    for item in hashes:
        values = values * ((points - item) % _PRIME) % _PRIME
    return values


def _inverse(value: int) -> int:
    return pow(int(value), _PRIME - 2, _PRIME)


def _solve(matrix: np.ndarray) -> np.ndarray:
    """Solves an augmented system modulo the prime; free unknowns are 0."""
    rows, columns = matrix.shape
    pivots = []
    for column in range(columns - 1):
        row = len(pivots)
        found = np.flatnonzero(matrix[row:, column]) if row < rows else []
        if not len(found):
            continue
        other = row + found[0]
        matrix[[row, other]] = matrix[[other, row]]
        matrix[row] = matrix[row] * _inverse(matrix[row, column]) % _PRIME
        factors = matrix[:, column].copy()
        factors[row] = 0
        matrix -= factors[:, None] * matrix[row] % _PRIME
        matrix %= _PRIME
        pivots.append(column)
    solution = np.zeros(columns - 1, dtype=np.int64)
    solution[pivots] = matrix[: len(pivots), -1]
    return solution


def _powers(points: np.ndarray, count: int) -> np.ndarray:
    powers = np.ones((len(points), count + 1), dtype=np.int64)
    for degree in range(count):
        powers[:, degree + 1] = powers[:, degree] * points % _PRIME
    return powers


def only_here(own: np.ndarray, size: int, values: np.ndarray) -> np.ndarray:
    """Returns the own hashes that the other side lacks.

    Args:
        own: The own hashes.
        size: How many hashes the other side has.
        values: Its polynomial at the agreed points, one for each difference
            allowed for.
    """
    bound = len(values)
    points = _PRIME - 1 - np.arange(bound, dtype=np.int64)
    inverses = np.array([_inverse(value) for value in values], dtype=np.int64)
    quotient = evaluate(own, points) * inverses % _PRIME
    above = (bound + len(own) - size) // 2
    below = above - (len(own) - size)
    powers = _powers(points, max(above, below))
    lower = powers[:, :below] * quotient[:, None] % _PRIME
    right = quotient * powers[:, below] - powers[:, above]
    matrix = np.hstack(
        [powers[:, :above], (-lower) % _PRIME, (right % _PRIME)[:, None]]
    )
    numerator = np.append(_solve(matrix)[:above], 1)
    found = np.zeros(len(own), dtype=np.int64)
    for coefficient in numerator[::-1]:
        found = (found * own + coefficient) % _PRIME
    return own[found == 0]


def _processor_ms(work: Callable[[], object]) -> float:
    times_ms = []
    for _ in range(_REPEATS):
        started_s = time.process_time()
        work()
        times_ms.append((time.process_time() - started_s) * _MS)
    return statistics.median(times_ms)


def _polynomial_ms(count: int, changed: int) -> float:
    """Both sides have `count` records; `changed` of them differ."""
    rng = random.Random(count + changed)
    hashes = rng.sample(range(1, 1 << 30), count + changed)
    here = np.array(hashes[:count], dtype=np.int64)
    there = np.array(hashes[changed:], dtype=np.int64)
    bound = 2 * changed
    points = _PRIME - 1 - np.arange(bound, dtype=np.int64)
    values = evaluate(there, points)
    found = only_here(here, count, values)
    if set(found) != set(hashes[:changed]):
        raise SystemExit("the differences were not found")
    return _processor_ms(lambda: only_here(here, count, values))


def _delta_ms(count: int, changed: int) -> float:
    """Scans the versions of all records for those above the other's."""
    records = [(n, "x" * _RECORD_BYTES) for n in range(count)]
    version = count - changed - 1
    return _processor_ms(
        lambda: msgspec.msgpack.encode([r for r in records if r[0] > version])
    )


def _plain_ms(count: int) -> float:
    records = [(n, "x" * _RECORD_BYTES) for n in range(count)]
    return _processor_ms(
        lambda: msgspec.msgpack.decode(msgspec.msgpack.encode(records))
    )


def main() -> None:
    """Prints a table."""
    print("| case | records | changed | polynomial | deltas | plain |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, count, origins, sizes in _CASES:
        for changed in sizes:
            polynomial_ms = _polynomial_ms(count, changed)
            delta_ms = _delta_ms(count, changed)
            print(
                f"| {name} | {count} | {changed} "
                f"| {2 * changed * _VALUE_BYTES} B, {polynomial_ms:.1f} ms "
                f"| {origins * _VERSION_BYTES} B, {delta_ms:.2f} ms "
                f"| {(count - changed) * _RECORD_BYTES} B more,"
                f" {_plain_ms(count):.2f} ms |",
                flush=True,
            )


if __name__ == "__main__":
    main()
