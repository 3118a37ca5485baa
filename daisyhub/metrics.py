"""Counters, gauges and histograms, in the Prometheus text format."""

import bisect
import dataclasses
import math
import time

from hdrh.histogram import HdrHistogram

__all__ = ["AccountStatistics", "Metrics", "WorstAccounts"]

_MIN_DURATION_US = 1
_MAX_DURATION_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_QUANTILES = (0.5, 0.9, 0.99, 1.0)
_MAX_HISTOGRAMS = 200
_MAX_COUNTERS = 2000
_OVERFLOW = (("overflow", "yes"),)
_MAX_ACCOUNTS = 512
_OTHER_ACCOUNTS = "(others)"
_PERIOD_S = 60.0
# Accounts with fewer requests are not compared.
_MIN_REQUESTS = 20
_P99 = 0.99
_BUCKET_RATIO = 2**0.25
# Upper bounds of the buckets, 0.5 ms to 441 s; the last bucket also counts
# longer latencies.
_BUCKET_BOUNDS_S = tuple(0.0005 * _BUCKET_RATIO**n for n in range(80))

Labels = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorstAccounts:
    """The accounts with the highest latency and the highest refusal rate.

    Attributes:
        slowest_account: The account with the highest 99th percentile latency.
        p99_s: Its 99th percentile latency in seconds; the bucket's upper
            bound, at most 19 % too high between 0.5 ms and 441 s.
        most_refused_account: The account with the highest share of refusals.
        refused_share: Its share of refused requests, 0 to 1.
    """

    slowest_account: str = ""
    p99_s: float = 0.0
    most_refused_account: str = ""
    refused_share: float = 0.0


@dataclasses.dataclass(slots=True)
class _AccountCounts:
    """Requests of one account in one period; latency by histogram bucket."""

    refused_count: int = 0
    served_count: int = 0
    buckets: dict[int, int] = dataclasses.field(default_factory=dict)

    def p99_s(self) -> float:
        rank = math.ceil(self.served_count * _P99)
        for bucket in sorted(self.buckets):
            rank -= self.buckets[bucket]
            if rank <= 0:
                return _BUCKET_BOUNDS_S[min(bucket, len(_BUCKET_BOUNDS_S) - 1)]
        return 0.0


class AccountStatistics:
    """Latencies and refusals by account over the last one to two periods.

    A period lasts 60 s; all times are monotonic seconds. The bounds of
    histogram buckets grow by a factor of 2**0.25, which limits the error of a
    percentile to 19 %. A period counts at most 512 accounts separately and all
    further ones together.
    """

    def __init__(self):
        self._current: dict[str, _AccountCounts] = {}
        self._previous: dict[str, _AccountCounts] = {}
        self._period_index = 0

    def record_served(
        self, account: str, latency_s: float, now_s: float
    ) -> None:
        """Records a complete response."""
        counts = self._get_counts(account, now_s)
        counts.served_count += 1
        bucket = bisect.bisect_left(_BUCKET_BOUNDS_S, latency_s)
        counts.buckets[bucket] = counts.buckets.get(bucket, 0) + 1

    def record_refused(self, account: str, now_s: float) -> None:
        """Records a refusal."""
        self._get_counts(account, now_s).refused_count += 1

    def find_worst(self, now_s: float) -> WorstAccounts:
        """Returns the worst values among accounts with enough requests.

        Requests without an account, those of open routes, aren't considered.
        """
        self._advance_period(now_s)
        slowest = most_refused = (0.0, "")
        for account in sorted({*self._current, *self._previous}):
            counts = self._merge_periods(account)
            request_count = counts.served_count + counts.refused_count
            if not account or request_count < _MIN_REQUESTS:
                continue
            slowest = max(slowest, (counts.p99_s(), account))
            most_refused = max(
                most_refused, (counts.refused_count / request_count, account)
            )
        return WorstAccounts(
            slowest[1], slowest[0], most_refused[1], most_refused[0]
        )

    def _merge_periods(self, account: str) -> _AccountCounts:
        merged = _AccountCounts()
        for period in (self._current, self._previous):
            counts = period.get(account, _AccountCounts())
            merged.served_count += counts.served_count
            merged.refused_count += counts.refused_count
            for bucket, count in counts.buckets.items():
                previous_count = merged.buckets.get(bucket, 0)
                merged.buckets[bucket] = previous_count + count
        return merged

    def _get_counts(self, account: str, now_s: float) -> _AccountCounts:
        self._advance_period(now_s)
        if account not in self._current and len(self._current) >= _MAX_ACCOUNTS:
            account = _OTHER_ACCOUNTS
        return self._current.setdefault(account, _AccountCounts())

    def _advance_period(self, now_s: float) -> None:
        period_index = int(now_s // _PERIOD_S)
        if period_index == self._period_index:
            return
        is_next = period_index == self._period_index + 1
        self._previous = self._current if is_next else {}
        self._current = {}
        self._period_index = period_index


class Metrics:
    """All metrics of one daemon.

    The numbers of counters and histograms are bounded; further label values
    are merged into one overflow series per metric.

    Attributes:
        accounts: Latencies and refusals by account.
    """

    def __init__(self):
        self.accounts = AccountStatistics()
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""
        series = _limit_series(self._counters, _MAX_COUNTERS, name, labels)
        self._counters[series] = self._counters.get(series, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        self._gauges[(name, tuple(labels.items()))] = value

    def observe_s(self, name: str, value_s: float, **labels: str) -> None:
        """Records a duration in seconds.

        Drops durations above 4294 s, the value to which the histogram rounds
        its maximum of one hour up.
        """
        series = _limit_series(self._histograms, _MAX_HISTOGRAMS, name, labels)
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                _MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[series] = histogram
        histogram.record_value(max(_MIN_DURATION_US, int(value_s * _US_PER_S)))

    def total(self, name: str) -> float:
        """Returns the sum of a counter over all its labels."""
        return sum(
            value for (key, _), value in self._counters.items() if key == name
        )

    def render(self) -> str:
        """Returns all metrics in the text exposition format."""
        self._set_worst_gauges(self.accounts.find_worst(time.monotonic()))
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(
                f"daisyhub_{name}_total{_render_labels(labels)} {value:g}"
            )
        for (name, labels), value in sorted(self._gauges.items()):
            lines.append(f"daisyhub_{name}{_render_labels(labels)} {value:g}")
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            lines.extend(_render_histogram(name, labels, histogram))
        return "\n".join(lines) + "\n"

    def _set_worst_gauges(self, worst: WorstAccounts) -> None:
        """Replaces the gauges of the accounts with the worst values."""
        for series in [s for s in self._gauges if s[0].startswith("worst_")]:
            del self._gauges[series]
        self.set_gauge(
            "worst_p99_seconds", worst.p99_s, account=worst.slowest_account
        )
        self.set_gauge(
            "worst_refused_share",
            worst.refused_share,
            account=worst.most_refused_account,
        )


def _limit_series(
    existing: dict, max_series: int, name: str, labels: dict[str, str]
):
    """Returns the series, or the metric's overflow series at the limit."""
    series = (name, tuple(labels.items()))
    if series in existing or len(existing) < max_series:
        return series
    return (name, _OVERFLOW)


def _render_histogram(name, labels, histogram):
    for quantile in _QUANTILES:
        value = histogram.get_value_at_percentile(quantile * 100)
        label_text = _render_labels((*labels, ("quantile", str(quantile))))
        yield f"daisyhub_{name}_seconds{label_text} {value / _US_PER_S:g}"
    count = histogram.get_total_count()
    yield f"daisyhub_{name}_seconds_count{_render_labels(labels)} {count}"


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{key}="{_escape(value)}"' for key, value in labels)
    return "{" + pairs + "}"


def _escape(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
