"""The suspected requests of a daemon, and what it tells others of them."""

import abc
import time
from collections.abc import Callable

from daisyhub.balancing import EndpointProcess
from daisyhub.suspects._suspect_core import Evidence, SuspectCore, Verdict

__all__ = ["LocalSuspects", "Suspects"]


class Suspects(abc.ABC):
    """Tells how requests may be sent, and learns from how they end.

    Requests are identified by the digest of their content. Times are seconds
    on a monotonic clock.
    """

    @abc.abstractmethod
    async def judge(self, digest: bytes) -> Verdict:
        """Returns how a request that arrives now may be sent.

        `ON_TRIAL` is returned only if a trial was granted.
        """

    @abc.abstractmethod
    def is_isolated(self, digest: bytes) -> bool:
        """Whether a request must not be repeated now."""

    @abc.abstractmethod
    def record_end(self, digest: bytes, process: EndpointProcess) -> None:
        """Records that a process ended while a request ran there."""

    @abc.abstractmethod
    def record_response(
        self, digest: bytes, process: EndpointProcess, sent_at_s: float
    ) -> None:
        """Records a whole response.

        Args:
            digest: The request.
            process: The process that responded.
            sent_at_s: When the request was sent.
        """


class LocalSuspects(Suspects):
    """Suspects of a daemon without peers.

    Args:
        is_listed: Whether a process is listed by a list that is up to date.
    """

    def __init__(self, is_listed: Callable[[EndpointProcess], bool]):
        self._core = SuspectCore(is_listed)

    async def judge(self, digest: bytes) -> Verdict:
        """Returns how a request may be sent; see `Suspects.judge`."""
        verdict = self._core.judge(digest, time.monotonic())
        if verdict is not Verdict.ON_TRIAL:
            return verdict
        is_granted = await self._try_start_trial(digest)
        return verdict if is_granted else Verdict.BLOCKED

    def is_isolated(self, digest: bytes) -> bool:
        """Whether a request must not be repeated now."""
        verdict = self._core.judge(digest, time.monotonic())
        return verdict is not Verdict.FREE

    def record_end(self, digest: bytes, process: EndpointProcess) -> None:
        """Records evidence; see `Suspects.record_end`."""
        evidence = Evidence(process, time.monotonic())
        if self._core.add(digest, evidence):
            self._on_evidence(digest, evidence)

    def record_response(
        self, digest: bytes, process: EndpointProcess, sent_at_s: float
    ) -> None:
        """Records a response; see `Suspects.record_response`."""
        if not len(self._core):
            return
        self._core.record_response(process, sent_at_s)
        if self._core.clear(digest, sent_at_s):
            self._on_cleared(digest, sent_at_s)

    async def _try_start_trial(self, digest: bytes) -> bool:
        """Asks for a trial where all trials of the request are granted."""
        return self._core.try_start_trial(digest, time.monotonic())

    def _on_evidence(self, digest: bytes, evidence: Evidence) -> None:
        """Called with new evidence of this daemon."""

    def _on_cleared(self, digest: bytes, at_s: float) -> None:
        """Called when evidence was dropped because of a whole response."""
