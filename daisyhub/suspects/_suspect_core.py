"""Decides which requests are blocked because endpoints end under them.

A request whose repeats make one endpoint after the other end its process takes
the service away from everyone else. Evidence is that a process ended while the
request ran there. All requests that ran at such an endpoint look alike, so that
one piece of evidence means little:

- A whole response to a request clears it; it may be answered or fail.
- A process that responds to a later request, or that is still listed long
  after, did not end: what seemed to be its end was a lost connection.
- A request under which three processes ended is blocked, unless another one
  that isn't cleared ran at all of them too. Then each of the two is tried
  alone, a bounded number of times, until a response clears one or a further
  process ends under the other.

Times are seconds on a monotonic clock.
"""

import dataclasses
import enum
import math
from collections.abc import Callable

from daisyhub.balancing import EndpointProcess

__all__ = [
    "Evidence",
    "Suspect",
    "SuspectCore",
    "Verdict",
    "MAX_TRIALS",
]

# Number of processes that end under a request before it is blocked.
_MIN_ENDED = 3
# From this number on, it is sent to one endpoint and not repeated by us.
_MIN_ENDED_TO_ISOLATE = 2
# Number of trials of a request that can't be told from another one, and
# processes that may end under it during these.
MAX_TRIALS = 2
# Seconds between two trials of a request: the time in which an endpoint that
# ended is back.
_TRIAL_INTERVAL_S = 3.0
# Seconds after which a listed process is taken to be alive: the list drops one
# that ended within three of its write intervals.
_LISTED_ALIVE_S = 8.0
# Seconds without evidence or repeat after which a request is forgotten.
_TTL_S = 600.0
# Maximum number of suspects; the one seen longest ago goes first. One takes
# about a kilobyte.
MAX_SUSPECTS = 10_000
# Maximum number of processes in the evidence against one request.
_MAX_EVIDENCE = 8


class Verdict(enum.Enum):
    """How a request may be sent.

    Attributes:
        FREE: Like any other.
        ISOLATED: To one endpoint, without repeats or hedges.
        ON_TRIAL: The same, if a trial is granted.
        BLOCKED: Not at all.
    """

    FREE = "free"
    ISOLATED = "isolated"
    ON_TRIAL = "on_trial"
    BLOCKED = "blocked"


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """A process that ended while a request ran there.

    Attributes:
        process: The process.
        at_s: When it ended.
    """

    process: EndpointProcess
    at_s: float


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request, identified by the digest of its content.

    Attributes:
        ended: When each process ended under it.
        cleared_at_s: Evidence up to this time doesn't count.
        seen_at_s: When it was last asked for.
        trials: Number of trials granted.
        trial_at_s: When the last one was granted.
    """

    ended: dict[EndpointProcess, float] = dataclasses.field(
        default_factory=dict
    )
    cleared_at_s: float = -math.inf
    seen_at_s: float = -math.inf
    trials: int = 0
    trial_at_s: float = -math.inf


class SuspectCore:
    """The suspected requests that one daemon knows of.

    Args:
        is_listed: Whether a process is listed by a list that is up to date.
    """

    def __init__(self, is_listed: Callable[[EndpointProcess], bool]):
        self._is_listed = is_listed
        # In order of their last evidence or repeat.
        self._suspects: dict[bytes, Suspect] = {}
        # The suspects that ran at a process that ended.
        self._by_process: dict[EndpointProcess, set[bytes]] = {}
        # Those that enough processes ended under, in that order.
        self._blocked: dict[bytes, None] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def get(self, digest: bytes) -> Suspect | None:
        """Returns a suspect; None if there is no evidence against it."""
        return self._suspects.get(digest)

    def add(self, digest: bytes, evidence: Evidence) -> bool:
        """Records that a process ended under a request.

        Returns:
            Whether that was unknown.
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = Suspect()
        is_new = (
            evidence.process not in suspect.ended
            and evidence.at_s > suspect.cleared_at_s
            and len(suspect.ended) < _MAX_EVIDENCE
        )
        if is_new:
            suspect.ended[evidence.process] = evidence.at_s
            self._by_process.setdefault(evidence.process, set()).add(digest)
            if len(suspect.ended) >= _MIN_ENDED:
                self._blocked[digest] = None
        self._touch(digest, suspect, evidence.at_s)
        return is_new

    def clear(self, digest: bytes, at_s: float) -> bool:
        """Drops the evidence up to a time.

        Args:
            digest: The request.
            at_s: When a request was sent to which there was a whole response,
                or when an operator cleared it.

        Returns:
            Whether there was any.
        """
        suspect = self._suspects.get(digest)
        if suspect is None or at_s <= suspect.cleared_at_s:
            return False
        suspect.cleared_at_s = at_s
        dropped = [p for p, ended_s in suspect.ended.items() if ended_s <= at_s]
        for process in dropped:
            self._drop_evidence(digest, process)
        if not suspect.ended:
            suspect.trials = 0
        return bool(dropped)

    def record_response(
        self, process: EndpointProcess, sent_at_s: float
    ) -> None:
        """Records a response of a process, which is thus alive.

        Args:
            process: The process.
            sent_at_s: When the request was sent.
        """
        for digest in list(self._by_process.get(process, ())):
            if sent_at_s > self._suspects[digest].ended[process]:
                self._drop_evidence(digest, process)

    def judge(self, digest: bytes, now_s: float) -> Verdict:
        """Returns how a request that arrives now may be sent."""
        suspect = self._suspects.get(digest)
        if suspect is None:
            return Verdict.FREE
        for process, ended_s in list(suspect.ended.items()):
            if now_s - ended_s > _LISTED_ALIVE_S and self._is_listed(process):
                self._drop_evidence(digest, process)
        count = len(suspect.ended)
        if count < _MIN_ENDED_TO_ISOLATE:
            return Verdict.FREE
        self._touch(digest, suspect, now_s)
        if count < _MIN_ENDED:
            return Verdict.ISOLATED
        has_trials_left = (
            suspect.trials < MAX_TRIALS and count < _MIN_ENDED + MAX_TRIALS
        )
        if has_trials_left and self._has_rival(digest):
            return Verdict.ON_TRIAL
        return Verdict.BLOCKED

    def try_start_trial(self, digest: bytes, now_s: float) -> bool:
        """Grants a trial, one at a time; only where all trials are granted."""
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.trials >= MAX_TRIALS:
            return False
        last_end_s = max(suspect.ended.values(), default=-math.inf)
        if now_s < max(suspect.trial_at_s, last_end_s) + _TRIAL_INTERVAL_S:
            return False
        suspect.trials += 1
        suspect.trial_at_s = now_s
        return True

    def blocked(self, now_s: float) -> list[bytes]:
        """Returns the digests of the requests that are blocked or on trial."""
        return [
            digest
            for digest in self._blocked
            if now_s - self._suspects[digest].seen_at_s < _TTL_S
        ]

    def _has_rival(self, digest: bytes) -> bool:
        """Whether another request ran at all processes that ended."""
        ran = [self._by_process[p] for p in self._suspects[digest].ended]
        return len(set.intersection(*ran)) > 1

    def _drop_evidence(self, digest: bytes, process: EndpointProcess) -> None:
        ended = self._suspects[digest].ended
        del ended[process]
        if len(ended) < _MIN_ENDED:
            self._blocked.pop(digest, None)
        others = self._by_process[process]
        others.discard(digest)
        if not others:
            del self._by_process[process]

    def _touch(self, digest: bytes, suspect: Suspect, at_s: float) -> None:
        """Records that a suspect was seen; forgets those of long ago."""
        suspect.seen_at_s = max(suspect.seen_at_s, at_s)
        del self._suspects[digest]
        self._suspects[digest] = suspect
        while self._suspects:
            oldest, found = next(iter(self._suspects.items()))
            is_expired = suspect.seen_at_s - found.seen_at_s > _TTL_S
            if len(self._suspects) <= MAX_SUSPECTS and not is_expired:
                return
            for process in list(found.ended):
                self._drop_evidence(oldest, process)
            del self._suspects[oldest]
