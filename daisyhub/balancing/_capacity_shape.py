"""How the service time of an endpoint grows with its concurrency.

Two families of curves are fitted to the same samples. In the first, requests
slow each other down, but the total throughput still grows, as at an engine
that serves its streams in batches. In the second, the throughput stays the
same beyond a number of requests, the knee, so that more of them only wait.
Only the second family limits the concurrency.
"""

import dataclasses
import math
from collections.abc import Iterable

__all__ = [
    "BandMeans",
    "DecayedMean",
    "Shape",
    "band_of",
    "concurrency_of",
    "fit_shape",
]

# Number of bands into which the concurrency up to the slots is divided.
_MAX_BANDS = 8
# Slopes of the curves of the first family: by what share of the unloaded time
# each further request lengthens the others. At 1, throughput doesn't grow.
_SLOPES = (0.0, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7)
# Squared errors, in squared logarithms times samples, by which a knee must fit
# better before it is assumed, and below which it is given up. For samples
# whose logarithms scatter by 0.4, the first is a likelihood ratio of 20.
_MIN_GAIN_TO_ASSUME = 1.0
_MIN_GAIN_TO_KEEP = 0.3
# Samples without which nothing is fitted, and without which a band is left out.
# A band is also left out if it has less than a share of the samples of the
# largest one, so that a limit is tried again after about 40 s.
_MIN_WEIGHT = 4.0
_MIN_BAND_WEIGHT = 0.5
_MIN_BAND_SHARE = 0.05
# Samples beyond which more of them don't make a difference more significant.
_MAX_WEIGHT = 400.0
# Share of the increase of the concurrency by which throughput must increase to
# be still growing, both as logarithms.
_MIN_GROWTH = 0.3
# Least ratio of the highest to the lowest concurrency of the samples.
_MIN_SPREAD = 1.3


@dataclasses.dataclass(slots=True)
class DecayedMean:
    """A weighted mean whose weights decay exponentially with age.

    Attributes:
        weight: Sum of the weights as of `at_s`.
        mean: The mean.
        at_s: When it was last changed, in seconds.
    """

    weight: float = 0.0
    mean: float = 0.0
    at_s: float = -math.inf

    def weight_at(self, now_s: float, decay_s: float) -> float:
        """Returns the sum of the weights, decayed until now."""
        if not self.weight:
            return 0.0
        return self.weight * math.exp(min(0.0, self.at_s - now_s) / decay_s)

    def add(
        self, value: float, weight: float, now_s: float, decay_s: float
    ) -> None:
        """Adds a value; weights decay by e in `decay_s` seconds."""
        self.weight = self.weight_at(now_s, decay_s) + weight
        self.mean += (value - self.mean) * weight / self.weight
        self.at_s = now_s


@dataclasses.dataclass(frozen=True, slots=True)
class BandMeans:
    """Samples of one band of concurrency.

    Attributes:
        concurrency: The band's middle, in requests.
        weight: Number of samples, decayed by age.
        log_time: Mean logarithm of their service times, relative to any
            reference that all bands share.
    """

    concurrency: float
    weight: float
    log_time: float


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """A curve of the service time over the concurrency.

    Attributes:
        slope: Share of the unloaded time by which each further request
            lengthens the others.
        knee: Number of requests beyond which throughput doesn't grow; None if
            it grows throughout.
    """

    slope: float = 0.0
    knee: float | None = None

    def log_factor(self, concurrency: float) -> float:
        """Returns the logarithm of the time relative to the unloaded time."""
        others = max(0.0, concurrency - 1)
        log_factor = math.log1p(self.slope * others)
        if self.knee is not None and concurrency > self.knee:
            log_factor += math.log(concurrency / self.knee)
        return log_factor


def band_of(concurrency: float, slots: int) -> int:
    """Returns the band of a concurrency, from 1; at most twice the slots."""
    share = min(2.0, max(0.0, concurrency / slots))
    return max(1, round(share * min(slots, _MAX_BANDS)))


def concurrency_of(band: int, slots: int) -> float:
    """Returns the concurrency in the middle of a band."""
    return max(1.0, band * slots / min(slots, _MAX_BANDS))


def fit_shape(bands: Iterable[BandMeans], slots: int, known: Shape) -> Shape:
    """Returns the curve that fits best.

    A knee is assumed only if it fits clearly better than all curves with
    growing throughput, and given up only if it no longer fits better.

    Args:
        bands: Samples of one endpoint by band.
        slots: Number of requests that the endpoint serves concurrently.
        known: The curve that was assumed so far.
    """
    bands = list(bands)
    largest = max((band.weight for band in bands), default=0.0)
    min_weight = max(_MIN_BAND_WEIGHT, _MIN_BAND_SHARE * largest)
    bands = [band for band in bands if band.weight >= min_weight]
    if sum(band.weight for band in bands) < _MIN_WEIGHT:
        return Shape(known.slope)
    levels = [band.concurrency for band in bands]
    if max(levels) < _MIN_SPREAD * min(levels):
        # Samples at one concurrency don't tell a knee from a slow endpoint. A
        # knee below it still holds; one that isn't exceeded is tried again.
        is_exceeded = known.knee is not None and max(levels) > known.knee
        return known if is_exceeded else Shape(known.slope)
    growing = [Shape(slope) for slope in _SLOPES]
    count = min(slots, _MAX_BANDS)
    full = [
        Shape(knee=concurrency_of(band, slots)) for band in range(1, count + 1)
    ]
    best_growing = min(growing, key=lambda shape: _squared_error(bands, shape))
    best_full = min(full, key=lambda shape: _squared_error(bands, shape))
    # Frequent samples would make any misfit of the curves significant.
    scale = min(1.0, _MAX_WEIGHT / sum(band.weight for band in bands))
    gain = scale * (
        _squared_error(bands, best_growing) - _squared_error(bands, best_full)
    )
    min_gain = _MIN_GAIN_TO_ASSUME if known.knee is None else _MIN_GAIN_TO_KEEP
    if gain <= min_gain or _still_grows(bands, best_full.knee):
        return best_growing
    return best_full


def _still_grows(bands: list[BandMeans], knee: float) -> bool:
    """Whether throughput beyond a knee is clearly higher than at the knee."""
    low = max(
        (band for band in bands if band.concurrency <= knee),
        key=lambda band: band.concurrency,
        default=min(bands, key=lambda band: band.concurrency),
    )
    high = max(bands, key=lambda band: band.concurrency)
    increase = math.log(high.concurrency / low.concurrency)
    growth = increase - (high.log_time - low.log_time)
    return growth > _MIN_GROWTH * increase


def _squared_error(bands: list[BandMeans], shape: Shape) -> float:
    """Returns the weighted squared error with the best unloaded time."""
    errors = [b.log_time - shape.log_factor(b.concurrency) for b in bands]
    total = sum(b.weight for b in bands)
    mean = sum(e * b.weight for e, b in zip(errors, bands, strict=True)) / total
    return sum(
        b.weight * (e - mean) ** 2 for e, b in zip(errors, bands, strict=True)
    )
