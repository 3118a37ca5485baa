"""Records attempts to submit lots and checks the promises of their answers."""

import collections
import dataclasses
import math
import time
from collections.abc import Iterable, Iterator, Mapping

__all__ = ["NOT_RUN_STATUSES", "Attempt", "Submissions"]

# These statuses guarantee that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_ACCEPTED = 202


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt to submit a lot.

    Attributes:
        daemon: Name of the daemon.
        sent_s: Monotonic time at which it was sent.
        answered_s: Monotonic time of the response, or of the end of the wait
            for it.
        status: Status of the response; 0 if there was none.
        code: The daemon's code of a refusal; empty if there was none.
    """

    daemon: str
    sent_s: float
    answered_s: float = math.inf
    status: int = 0
    code: str = ""

    @property
    def is_promised(self) -> bool:
        """Whether its status guarantees that no part of the lot runs."""
        return self.status in NOT_RUN_STATUSES

    def __str__(self) -> str:
        return f"{self.status} {self.code} at {self.daemon}".replace("  ", " ")


@dataclasses.dataclass(slots=True)
class _Lot:
    request_ids: frozenset[str]
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    is_readable: bool = False


class Submissions:
    """Records the attempts to submit each lot."""

    def __init__(self):
        self._lots: dict[str, _Lot] = {}

    def add_lot(self, lot_id: str, request_ids: Iterable[str]) -> None:
        """Adds a lot with the ids of its items and their reward calls."""
        self._lots[lot_id] = _Lot(frozenset(request_ids))

    def add_attempt(self, lot_id: str, daemon: str) -> Attempt:
        """Adds an attempt that is sent now; `end_attempt` ends it."""
        attempt = Attempt(daemon, sent_s=time.monotonic())
        self._lots[lot_id].attempts.append(attempt)
        return attempt

    def end_attempt(self, attempt: Attempt, status: int, code: str) -> None:
        """Records the response to an attempt; the status is 0 for none."""
        attempt.answered_s = time.monotonic()
        attempt.status, attempt.code = status, code

    def set_readable(self, lot_id: str) -> None:
        """Records that a daemon served a read of the lot."""
        self._lots[lot_id].is_readable = True

    def unaccepted_lots(self) -> list[str]:
        """Returns the lots of which no attempt was answered with 202."""
        return [
            lot_id
            for lot_id, lot in self._lots.items()
            if all(a.status != _ACCEPTED for a in lot.attempts)
        ]

    def check(
        self, runs: Iterable[dict], created_s: Mapping[str, float]
    ) -> list[str]:
        """Checks all promises; returns one line per violated one.

        Args:
            runs: The requests that servers ran; `id` and time `at_s`.
            created_s: Time at which the store created each lot, by id.
        """
        run_times_s: dict[str, list[float]] = {}
        for run in runs:
            run_times_s.setdefault(run["id"], []).append(run["at_s"])
        violations: list[str] = []
        for lot_id, lot in self._lots.items():
            times_s = sorted(
                time_s
                for request_id in lot.request_ids
                for time_s in run_times_s.get(request_id, ())
            )
            created_at_s = created_s.get(lot_id, math.inf)
            violations += _check_lot(lot_id, lot, times_s, created_at_s)
        return violations


def _check_lot(
    lot_id: str, lot: _Lot, run_times_s: list[float], created_s: float
) -> Iterator[str]:
    """Yields the violated promises of one lot's attempts."""
    answers = ", ".join(map(str, lot.attempts))
    if all(a.is_promised for a in lot.attempts):
        if run_times_s:
            yield f"REFUSED {lot_id}: {len(run_times_s)} runs, after {answers}"
        elif lot.is_readable or created_s < math.inf:
            yield f"STORED {lot_id}: stored, after {answers}"
        return
    known_at_s = min(
        created_s,
        *run_times_s[:1],
        *(a.answered_s for a in lot.attempts if a.status == _ACCEPTED),
        math.inf,
    )
    # Only attempts that were sent before can have stored it.
    possible = [a for a in lot.attempts if a.sent_s < known_at_s]
    if known_at_s < math.inf and all(a.is_promised for a in possible):
        yield f"STORED {lot_id}: stored by a refused attempt: {answers}"
    late = [a for a in lot.attempts if a.is_promised and a.sent_s > known_at_s]
    for answer, count in collections.Counter(map(str, late)).items():
        first_s = min(a.sent_s for a in late if str(a) == answer) - known_at_s
        yield (
            f"STORED {lot_id}: {count} times {answer}, from {first_s:.3f} s"
            " after it was stored"
        )
