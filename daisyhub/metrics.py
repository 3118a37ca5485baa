"""Counters and latency histograms, in the common text format."""

import bisect
import dataclasses
import math
import time

from hdrh.histogram import HdrHistogram

__all__ = ["AccountStatistics", "Metrics", "WorstServed"]

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 2
_US_PER_S = 1_000_000
_QUANTILES = (0.5, 0.9, 0.99, 1.0)
_MOST_HISTOGRAMS = 200
_MOST_COUNTERS = 2000
_OVERFLOW = (("overflow", "yes"),)
_MOST_ACCOUNTS = 512
_OTHER_ACCOUNTS = "(others)"
_PERIOD_S = 60.0
_FEWEST_REQUESTS = 20
_P99 = 0.99
_BUCKET_RATIO = 2**0.25
_BUCKET_BOUNDS_S = tuple(0.0005 * _BUCKET_RATIO**n for n in range(80))

Labels = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorstServed:
    """The accounts that fare worst.

    Attributes:
        slowest: The account with the highest 99th percentile.
        p99_s: Its 99th percentile, at most 19 % too high.
        most_refused: The account with the highest share of refusals.
        refused_share: That share, 0 to 1.
    """

    slowest: str = ""
    p99_s: float = 0.0
    most_refused: str = ""
    refused_share: float = 0.0


@dataclasses.dataclass(slots=True)
class _Served:
    refused: int = 0
    served: int = 0
    buckets: dict[int, int] = dataclasses.field(default_factory=dict)

    def p99_s(self) -> float:
        rank = math.ceil(self.served * _P99)
        for bucket in sorted(self.buckets):
            rank -= self.buckets[bucket]
            if rank <= 0:
                return _BUCKET_BOUNDS_S[min(bucket, len(_BUCKET_BOUNDS_S) - 1)]
        return 0.0


class AccountStatistics:
    """How each account was served in the last one to two periods.

    Buckets grow by a fourth root of two; at most 512 accounts are kept apart
    in a period, the rest count as one.
    """

    def __init__(self):
        self._now: dict[str, _Served] = {}
        self._before: dict[str, _Served] = {}
        self._period = 0

    def record_served(self, account: str, took_s: float, now_s: float) -> None:
        """Notes a whole answer."""
        served = self._of(account, now_s)
        served.served += 1
        bucket = bisect.bisect_left(_BUCKET_BOUNDS_S, took_s)
        served.buckets[bucket] = served.buckets.get(bucket, 0) + 1

    def record_refused(self, account: str, now_s: float) -> None:
        """Notes a refusal."""
        self._of(account, now_s).refused += 1

    def worst(self, now_s: float) -> WorstServed:
        """Returns the worst-served accounts with enough requests to tell."""
        self._turn(now_s)
        slowest = refused = (0.0, "")
        for account in sorted({*self._now, *self._before}):
            served = self._merged(account)
            requests = served.served + served.refused
            if not account or requests < _FEWEST_REQUESTS:
                continue
            slowest = max(slowest, (served.p99_s(), account))
            refused = max(refused, (served.refused / requests, account))
        return WorstServed(slowest[1], slowest[0], refused[1], refused[0])

    def _merged(self, account: str) -> _Served:
        merged = _Served()
        for period in (self._now, self._before):
            part = period.get(account, _Served())
            merged.served += part.served
            merged.refused += part.refused
            for bucket, count in part.buckets.items():
                known = merged.buckets.get(bucket, 0)
                merged.buckets[bucket] = known + count
        return merged

    def _of(self, account: str, now_s: float) -> _Served:
        self._turn(now_s)
        if account not in self._now and len(self._now) >= _MOST_ACCOUNTS:
            account = _OTHER_ACCOUNTS
        return self._now.setdefault(account, _Served())

    def _turn(self, now_s: float) -> None:
        period = int(now_s // _PERIOD_S)
        if period == self._period:
            return
        is_next = period == self._period + 1
        self._before = self._now if is_next else {}
        self._now = {}
        self._period = period


class Metrics:
    """All metrics of one daemon; the number of series is bounded.

    Attributes:
        accounts: How each account is served.
    """

    def __init__(self):
        self.accounts = AccountStatistics()
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""
        series = _bounded(self._counters, _MOST_COUNTERS, name, labels)
        self._counters[series] = self._counters.get(series, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        self._gauges[(name, tuple(labels.items()))] = value

    def observe_s(self, name: str, value_s: float, **labels: str) -> None:
        """Records a duration in seconds."""
        series = _bounded(self._histograms, _MOST_HISTOGRAMS, name, labels)
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
            self._histograms[series] = histogram
        histogram.record_value(max(_LOWEST_US, int(value_s * _US_PER_S)))

    def total(self, name: str) -> float:
        """Returns the sum of a counter over all labels."""
        return sum(
            value for (key, _), value in self._counters.items() if key == name
        )

    def render(self) -> str:
        """Returns all metrics in the text exposition format."""
        self._set_worst(self.accounts.worst(time.monotonic()))
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"daisyhub_{name}_total{_render(labels)} {value:g}")
        for (name, labels), value in sorted(self._gauges.items()):
            lines.append(f"daisyhub_{name}{_render(labels)} {value:g}")
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            lines.extend(_render_histogram(name, labels, histogram))
        return "\n".join(lines) + "\n"

    def _set_worst(self, worst: WorstServed) -> None:
        """Replaces the gauges of the worst-served accounts."""
        for series in [s for s in self._gauges if s[0].startswith("worst_")]:
            del self._gauges[series]
        self.set_gauge("worst_p99_seconds", worst.p99_s, account=worst.slowest)
        self.set_gauge(
            "worst_refused_share",
            worst.refused_share,
            account=worst.most_refused,
        )


def _bounded(known: dict, most: int, name: str, labels: dict[str, str]):
    """Returns the series, or that of the overflow if there are too many."""
    series = (name, tuple(labels.items()))
    if series in known or len(known) < most:
        return series
    return (name, _OVERFLOW)


def _render_histogram(name, labels, histogram):
    for quantile in _QUANTILES:
        value = histogram.get_value_at_percentile(quantile * 100)
        shown = _render((*labels, ("quantile", str(quantile))))
        yield f"daisyhub_{name}_seconds{shown} {value / _US_PER_S:g}"
    count = histogram.get_total_count()
    yield f"daisyhub_{name}_seconds_count{_render(labels)} {count}"


def _render(labels: Labels) -> str:
    if not labels:
        return ""
    inner = ",".join(f'{key}="{_escape(value)}"' for key, value in labels)
    return "{" + inner + "}"


def _escape(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
