"""Estimates how long texts of items will still become.

Lengths have a heavy tail: a text that has outgrown its expected length is
expected to go on for the longer the longer it is.
"""

import dataclasses
import math
from collections.abc import Mapping
from typing import Self

__all__ = ["LengthEstimator"]

# Number of output tokens per event, and of events per text without a hint,
# until finished texts show them, and the number of texts that these count for.
_DEFAULT_TOKENS_PER_EVENT = 4.0
_DEFAULT_EVENTS = 16.0
_DEFAULT_WEIGHT = 4
# Number of finished texts of a model that its averages cover.
_MAX_OBSERVATIONS = 200
# Mean of a text's length relative to its median, with a hint that is wrong by
# a factor of 1.6 (one standard deviation of the logarithm), and without one.
_MEAN_OVER_HINT = 1.1
_MEAN_OVER_MEDIAN = 1.5
# Expected remainder of a text that has outgrown its median, as a share of its
# length so far.
_TAIL_SHARE_WITH_HINT = 0.5
_TAIL_SHARE = 0.8


@dataclasses.dataclass(slots=True)
class _Lengths:
    """Moving averages over the finished texts of a model.

    Attributes:
        log_tokens_per_event: Mean logarithm of hinted tokens per event.
        hinted_count: Number of texts with a hint, plus `_DEFAULT_WEIGHT`.
        log_events: Mean logarithm of the number of events.
        count: Number of texts, plus `_DEFAULT_WEIGHT`.
    """

    log_tokens_per_event: float = math.log(_DEFAULT_TOKENS_PER_EVENT)
    hinted_count: int = _DEFAULT_WEIGHT
    log_events: float = math.log(_DEFAULT_EVENTS)
    count: int = _DEFAULT_WEIGHT


class LengthEstimator:
    """Estimates the remaining length of texts from hints and progress.

    Logarithms are averaged, so that the estimate is of the median: lengths and
    the errors of hints are about log-normal.
    """

    def __init__(self):
        self._by_model: dict[str, _Lengths] = {}

    @classmethod
    def from_digest(cls, digest: Mapping[str, tuple[float, float]]) -> Self:
        """Returns an estimator with what another one learned."""
        made = cls()
        for model, (tokens_per_event, events) in digest.items():
            made._by_model[model] = _Lengths(
                log_tokens_per_event=math.log(tokens_per_event),
                log_events=math.log(events),
            )
        return made

    def digest(self) -> dict[str, tuple[float, float]]:
        """Returns the usual tokens per event and events of a text, by model."""
        return {
            model: (math.exp(k.log_tokens_per_event), math.exp(k.log_events))
            for model, k in self._by_model.items()
        }

    def observe(self, model: str, hint: int, events: int) -> None:
        """Learns from a finished text.

        Args:
            model: Its model.
            hint: Its expected length in tokens; 0 if unknown.
            events: Its number of events.
        """
        if events <= 0:
            return
        known = self._by_model.setdefault(model, _Lengths())
        known.count = min(known.count + 1, _MAX_OBSERVATIONS)
        known.log_events += (math.log(events) - known.log_events) / known.count
        if hint <= 0:
            return
        known.hinted_count = min(known.hinted_count + 1, _MAX_OBSERVATIONS)
        error = math.log(hint / events) - known.log_tokens_per_event
        known.log_tokens_per_event += error / known.hinted_count

    def remaining(self, model: str, hint: int, events: int) -> float:
        """Returns the expected number of further events of a text.

        Args:
            model: Its model.
            hint: Its expected length in tokens; 0 if unknown.
            events: Number of its events so far.
        """
        known = self._by_model.get(model) or _Lengths()
        if hint > 0:
            median = max(1.0, hint / math.exp(known.log_tokens_per_event))
            mean, tail = _MEAN_OVER_HINT * median, _TAIL_SHARE_WITH_HINT
        else:
            median = math.exp(known.log_events)
            mean, tail = _MEAN_OVER_MEDIAN * median, _TAIL_SHARE
        return max(mean - events, tail * max(median, events))
