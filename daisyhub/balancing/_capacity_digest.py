"""What daemons tell each other about the measured capacity of endpoints."""

import msgspec

__all__ = ["CapacityDigest", "CapacityEntry", "UsualTime"]


class CapacityEntry(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's own samples of one endpoint.

    Logarithms are natural and in hundredths, weights in tenths of a sample.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Start time of its process, milliseconds since 1970; 0 if
            unknown.
        level: Mean logarithm of its unloaded service times relative to the
            usual one, without the share of its pace.
        weight: Weight of `level`, decayed until the digest was made.
        pace: Logarithm of its smoothed pace.
        pace_weight: Weight of `pace`; 0 if none was stated.
        bands: Number, mean logarithm relative to the level, and weight of
            those bands of concurrency that have the most samples.
    """

    endpoint_id: str
    incarnation: int
    level: int
    weight: int
    pace: int
    pace_weight: int
    bands: tuple[tuple[int, int, int], ...] = ()


class UsualTime(msgspec.Struct, frozen=True, array_like=True):
    """The median service time of a kind of requests, in one daemon."""

    kind: str
    median_s: float


class CapacityDigest(msgspec.Struct, frozen=True, kw_only=True):
    """Some of a daemon's own samples; never those that it got from others.

    Attributes:
        process: Start of the sender's process, microseconds since 1970.
        made_at_s: When it was made, on the sender's monotonic clock.
        entries: Endpoints.
        usual_times: Kinds of requests.
    """

    process: int
    made_at_s: float
    entries: tuple[CapacityEntry, ...] = ()
    usual_times: tuple[UsualTime, ...] = ()
