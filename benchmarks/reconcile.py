"""Compares methods of set reconciliation after a network partition.

Run `python -m benchmarks.reconcile`. The methods are polynomial sets, deltas by
version number, and transfer of all records (`plain`). The polynomial method
represents each set of hashes by its characteristic polynomial. Both sides
exchange its values at as many points as the bound on the differences,
interpolate the quotient, and test which of their own hashes are roots.
Processor times are those of one side. Bytes are those of one direction and
exclude the differing records, which every method sends.
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
_MS_PER_S = 1000
_REPEATS = 3
# Name, number of records, number of writers that each have a version number,
# numbers of differing records.
_CASES = (
    ("configuration", 7700, 1, (1, 10, 32, 100, 317)),
    ("endpoints", 650, 28, (1, 10, 50, 200)),
    ("usage parts", 1680, 28, (1, 28, 112, 200)),
)


def evaluate(hashes: np.ndarray, points: np.ndarray) -> np.ndarray:
    """Returns the values of the characteristic polynomial at the points."""
    values = np.ones(len(points), dtype=np.int64)
    for hash_value in hashes:
        values = values * ((points - hash_value) % _PRIME) % _PRIME
    return values


def _inverse(value: int) -> int:
    """Returns the inverse modulo the prime, by Fermat's little theorem."""
    return pow(int(value), _PRIME - 2, _PRIME)


def _solve(matrix: np.ndarray) -> np.ndarray:
    """Solves an augmented system modulo the prime; free variables are 0."""
    rows, columns = matrix.shape
    pivots = []
    for column in range(columns - 1):
        row = len(pivots)
        nonzero = np.flatnonzero(matrix[row:, column]) if row < rows else []
        if not len(nonzero):
            continue
        other = row + nonzero[0]
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
    """Returns a row per point with its powers from 0 to `count`."""
    powers = np.ones((len(points), count + 1), dtype=np.int64)
    for degree in range(count):
        powers[:, degree + 1] = powers[:, degree] * points % _PRIME
    return powers


def find_missing_hashes(
    own: np.ndarray, other_count: int, values: np.ndarray
) -> np.ndarray:
    """Returns the own hashes that are missing on the other side.

    Args:
        own: Hashes of this side.
        other_count: Number of hashes of the other side.
        values: Values of the other side's polynomial at the agreed points;
            their number is the bound on the number of differences.
    """
    bound = len(values)
    points = _PRIME - 1 - np.arange(bound, dtype=np.int64)
    inverses = np.array([_inverse(value) for value in values], dtype=np.int64)
    quotient = evaluate(own, points) * inverses % _PRIME
    numerator_degree = (bound + len(own) - other_count) // 2
    denominator_degree = numerator_degree - (len(own) - other_count)
    powers = _powers(points, max(numerator_degree, denominator_degree))
    lower = powers[:, :denominator_degree] * quotient[:, None] % _PRIME
    right_side = (
        quotient * powers[:, denominator_degree] - powers[:, numerator_degree]
    )
    matrix = np.hstack(
        [
            powers[:, :numerator_degree],
            (-lower) % _PRIME,
            (right_side % _PRIME)[:, None],
        ]
    )
    numerator = np.append(_solve(matrix)[:numerator_degree], 1)
    numerator_values = np.zeros(len(own), dtype=np.int64)
    for coefficient in numerator[::-1]:
        numerator_values = (numerator_values * own + coefficient) % _PRIME
    return own[numerator_values == 0]


def _processor_ms(function: Callable[[], object]) -> float:
    """Returns the median processor time of one call, milliseconds."""
    times_ms = []
    for _ in range(_REPEATS):
        started_s = time.process_time()
        function()
        times_ms.append((time.process_time() - started_s) * _MS_PER_S)
    return statistics.median(times_ms)


def _polynomial_ms(count: int, changed_count: int) -> float:
    """Returns the time to find the differences, milliseconds.

    Both sides have `count` records, of which `changed_count` differ.
    """
    rng = random.Random(count + changed_count)
    # All hashes are below the points, so no polynomial is 0 at a point.
    hashes = rng.sample(range(1, 1 << 30), count + changed_count)
    own = np.array(hashes[:count], dtype=np.int64)
    other = np.array(hashes[changed_count:], dtype=np.int64)
    # A changed record has a different hash on each side.
    bound = 2 * changed_count
    points = _PRIME - 1 - np.arange(bound, dtype=np.int64)
    values = evaluate(other, points)
    missing = find_missing_hashes(own, count, values)
    if set(missing) != set(hashes[:changed_count]):
        raise SystemExit("the polynomial method returned wrong differences")
    return _processor_ms(lambda: find_missing_hashes(own, count, values))


def _delta_ms(count: int, changed_count: int) -> float:
    """Returns the time to find and encode the differing records, milliseconds.

    These are all records above the other side's version.
    """
    records = [(n, "x" * _RECORD_BYTES) for n in range(count)]
    version = count - changed_count - 1
    return _processor_ms(
        lambda: msgspec.msgpack.encode([r for r in records if r[0] > version])
    )


def _plain_ms(count: int) -> float:
    """Returns the time to encode and decode all records, milliseconds."""
    records = [(n, "x" * _RECORD_BYTES) for n in range(count)]
    return _processor_ms(
        lambda: msgspec.msgpack.decode(msgspec.msgpack.encode(records))
    )


def main() -> None:
    """Prints the figures as a Markdown table."""
    print("| case | records | changed | polynomial | deltas | plain |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, count, writers, changed_counts in _CASES:
        for changed_count in changed_counts:
            polynomial_ms = _polynomial_ms(count, changed_count)
            delta_ms = _delta_ms(count, changed_count)
            print(
                f"| {name} | {count} | {changed_count} "
                f"| {2 * changed_count * _VALUE_BYTES} B,"
                f" {polynomial_ms:.1f} ms "
                f"| {writers * _VERSION_BYTES} B, {delta_ms:.2f} ms "
                f"| {(count - changed_count) * _RECORD_BYTES} B more,"
                f" {_plain_ms(count):.2f} ms |",
                flush=True,
            )


if __name__ == "__main__":
    main()
