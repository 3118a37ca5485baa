"""What is measured and estimated of the capacity of one endpoint.

Times are seconds on a monotonic clock. Levels, paces and ratios are natural
logarithms.
"""

import dataclasses
import math
from collections.abc import Iterable

from daisyhub.balancing._capacity_digest import CapacityEntry
from daisyhub.balancing._capacity_shape import (
    BandMeans,
    DecayedMean,
    Shape,
    band_of,
    concurrency_of,
    fit_shape,
)
from daisyhub.balancing._endpoint import EndpointEntry
from daisyhub.balancing._peer_capacity import PeerEntry

__all__ = ["CapacityState"]

# Seconds in which the weight of a sample decays by e, for the level: a change
# is followed within two to three seconds.
_LEVEL_DECAY_S = 1.2
# The same for the shape, which the endpoint's software determines.
_SHAPE_DECAY_S = 20.0
# The same for the stated pace, which changes many times a second.
_PACE_DECAY_S = 1.0
# Weight, in readings, with which the usual pace counts: a single reading is
# taken as two thirds of what it states.
_USUAL_PACE_WEIGHT = 0.5
# Seconds in which the long-term level, to which the level returns without
# samples, approaches a higher or a lower one. A slow-down that lasts some
# seconds raises it little; a permanent one does.
_AGING_UP_S = 20.0
_AGING_DOWN_S = 3.0
# Weight of the long-term level, in samples, and the samples without which it
# returns to the usual level.
_LONG_TERM_WEIGHT = 1.0
_MIN_LEVEL_WEIGHT = 2.0
# Seconds between fits of the shape.
_FIT_INTERVAL_S = 0.8
# Seconds between steps of the limit, and the factor by which it falls.
_RAISE_INTERVAL_S = 1.0
_LOWER_INTERVAL_S = 0.4
_LOWER_FACTOR = 0.75
# Units of the integers in a digest, and the samples without which an endpoint
# isn't named in one.
_LOG_UNIT = 0.01
_WEIGHT_UNIT = 0.1
_MIN_DIGEST_WEIGHT = 0.1
_DIGEST_BANDS = 4


@dataclasses.dataclass(slots=True)
class CapacityState:
    """The state of one process of an endpoint.

    Attributes:
        entry: The endpoint's entry.
        limit: Number of concurrent requests that it sustains.
        level: Own samples of the unloaded time, without the pace.
        bands: Own samples of the growth with concurrency, by band.
        pace: Own readings of the pace.
        shape: The fitted growth with concurrency.
        measured: Mean of all samples of the level, also those of peers.
        weight: Their weight.
        reference: The median of `measured` over the pool.
        relative: The level relative to `reference`, which is estimated from
            `measured` and `long_term`.
        long_term: The long-term value of `relative`.
        known_pace: The pace, with the readings of peers.
        log_slowdown: The estimated slowdown.
        slowdown: The published slowdown, no logarithm.
        updated_at_s: When the estimate was last updated.
        fitted_at_s: When the shape was last fitted.
        stepped_at_s: When the limit was last changed.
        seen_at_s: When a sample, also of a peer, last arrived.
    """

    entry: EndpointEntry
    limit: float
    level: DecayedMean = dataclasses.field(default_factory=DecayedMean)
    bands: dict[int, DecayedMean] = dataclasses.field(default_factory=dict)
    pace: DecayedMean = dataclasses.field(default_factory=DecayedMean)
    shape: Shape = Shape()
    measured: float = 0.0
    weight: float = 0.0
    reference: float = 0.0
    relative: float = 0.0
    long_term: float = 0.0
    known_pace: float = 0.0
    log_slowdown: float = 0.0
    slowdown: float = 1.0
    updated_at_s: float = -math.inf
    fitted_at_s: float = -math.inf
    stepped_at_s: float = -math.inf
    seen_at_s: float = -math.inf

    def surprise(self, log_ratio: float, concurrency: float) -> float:
        """Returns by how much a time differs from the estimate.

        Args:
            log_ratio: The time relative to the usual one, a logarithm.
            concurrency: The concurrency at which it was measured.
        """
        level = self.reference + self.relative + self.known_pace
        return log_ratio - level - self.shape.log_factor(concurrency)

    def add(
        self, surprise: float, concurrency: float, weight: float, now_s: float
    ) -> None:
        """Adds a sample; see `surprise`."""
        level = self.reference + self.relative + surprise
        self.level.add(level, weight, now_s, _LEVEL_DECAY_S)
        # Relative to the level, so that a change of the level doesn't look
        # like an effect of the concurrency.
        band = band_of(concurrency, self.entry.slots)
        self.bands.setdefault(band, DecayedMean()).add(
            self.shape.log_factor(concurrency) + surprise,
            weight,
            now_s,
            _SHAPE_DECAY_S,
        )

    def add_pace(self, pace: float, now_s: float) -> None:
        """Adds a reading of the pace."""
        self.pace.add(pace, 1.0, now_s, _PACE_DECAY_S)

    def estimate(self, peers: Iterable[PeerEntry], now_s: float) -> None:
        """Updates level and pace from own samples and those of peers."""
        levels = [
            (self.level.weight_at(now_s, _LEVEL_DECAY_S), self.level.mean)
        ]
        paces = [(self.pace.weight_at(now_s, _PACE_DECAY_S), self.pace.mean)]
        for peer in peers:
            entry, age_s = peer.entry, max(0.0, now_s - peer.at_s)
            levels.append(
                _decode(entry.weight, entry.level, age_s / _LEVEL_DECAY_S)
            )
            paces.append(
                _decode(entry.pace_weight, entry.pace, age_s / _PACE_DECAY_S)
            )
        self.weight, self.measured = _mean(levels)
        paces.append((_USUAL_PACE_WEIGHT, 0.0))
        _, self.known_pace = _mean(paces)

    def fit(self, peers: Iterable[PeerEntry], now_s: float) -> None:
        """Updates the shape, at most once an interval."""
        if now_s - self.fitted_at_s < _FIT_INTERVAL_S:
            return
        self.fitted_at_s = now_s
        bands = {
            band: [(mean.weight_at(now_s, _SHAPE_DECAY_S), mean.mean)]
            for band, mean in self.bands.items()
        }
        for peer in peers:
            age = max(0.0, now_s - peer.at_s) / _SHAPE_DECAY_S
            for band, value, weight in peer.entry.bands:
                bands.setdefault(band, []).append(_decode(weight, value, age))
        slots = self.entry.slots
        self.shape = fit_shape(
            (
                BandMeans(concurrency_of(band, slots), *_mean(values))
                for band, values in bands.items()
            ),
            slots,
            self.shape,
        )

    @property
    def is_measured(self) -> bool:
        """Whether enough samples count to compare it with its pool."""
        return self.weight >= _MIN_LEVEL_WEIGHT

    def compare(self, reference: float, passed_s: float) -> None:
        """Updates the level relative to the pool, and the long-term one.

        Args:
            reference: The median of `measured` over the pool.
            passed_s: Seconds since this was last called.
        """
        self.reference = reference
        _, self.relative = _mean(
            [
                (self.weight, self.measured - reference),
                (_LONG_TERM_WEIGHT, self.long_term),
            ]
        )
        target = self.relative if self.is_measured else 0.0
        difference = target - self.long_term
        is_fast = self.is_measured and difference < 0
        aging_s = _AGING_DOWN_S if is_fast else _AGING_UP_S
        self.long_term += difference * -math.expm1(-passed_s / aging_s)

    def step_limit(self, now_s: float) -> None:
        """Moves the limit towards the knee of the shape, or the slots."""
        knee = self.shape.knee
        target = min(knee or math.inf, self.entry.slots)
        passed_s = now_s - self.stepped_at_s
        if self.limit > target and passed_s >= _LOWER_INTERVAL_S:
            self.limit = max(1.0, target, self.limit * _LOWER_FACTOR)
            self.stepped_at_s = now_s
        elif self.limit < target and passed_s >= _RAISE_INTERVAL_S:
            self.limit = min(target, self.limit + 1.0)
            self.stepped_at_s = now_s

    def describe(self, now_s: float) -> CapacityEntry | None:
        """Returns the own samples for a digest; None without any."""
        level_weight = self.level.weight_at(now_s, _LEVEL_DECAY_S)
        pace_weight = self.pace.weight_at(now_s, _PACE_DECAY_S)
        if max(level_weight, pace_weight) < _MIN_DIGEST_WEIGHT:
            return None
        bands = sorted(
            (
                (mean.weight_at(now_s, _SHAPE_DECAY_S), band, mean.mean)
                for band, mean in self.bands.items()
            ),
            reverse=True,
        )
        return CapacityEntry(
            self.entry.endpoint_id,
            self.entry.incarnation,
            round(self.level.mean / _LOG_UNIT),
            round(level_weight / _WEIGHT_UNIT),
            round(self.pace.mean / _LOG_UNIT),
            round(pace_weight / _WEIGHT_UNIT),
            tuple(
                (band, round(mean / _LOG_UNIT), round(weight / _WEIGHT_UNIT))
                for weight, band, mean in bands[:_DIGEST_BANDS]
                if weight >= _MIN_DIGEST_WEIGHT
            ),
        )


def _decode(weight: int, value: int, age: float) -> tuple[float, float]:
    """Returns weight and value of a digest, decayed by its age."""
    return weight * _WEIGHT_UNIT * math.exp(-age), value * _LOG_UNIT


def _mean(values: list[tuple[float, float]]) -> tuple[float, float]:
    """Returns the total weight and the mean of weights and values."""
    total = sum(weight for weight, _ in values)
    if not total:
        return 0.0, 0.0
    return total, sum(weight * value for weight, value in values) / total
