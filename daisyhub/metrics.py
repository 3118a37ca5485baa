"""Counters and latency histograms, in the common text format."""

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 2
_US_PER_S = 1_000_000
_QUANTILES = (0.5, 0.9, 0.99, 1.0)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """All metrics of one daemon."""

    def __init__(self):
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to a counter."""
        series = (name, tuple(labels.items()))
        self._counters[series] = self._counters.get(series, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        self._gauges[(name, tuple(labels.items()))] = value

    def observe_s(self, name: str, value_s: float, **labels: str) -> None:
        """Records a duration in seconds."""
        series = (name, tuple(labels.items()))
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
