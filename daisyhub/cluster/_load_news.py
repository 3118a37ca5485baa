"""What endpoints without a free slot stated to one daemon, for the others."""

import msgspec

__all__ = ["LoadNews"]


class LoadNews(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The load that an endpoint stated to the sender itself.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Start time of its process, milliseconds since 1970; 0 if
            unknown.
        load: Number of requests that run or wait there.
        pace: How long work takes on its machine, relative to the usual time; 1
            if it didn't state that lately.
        age_s: Seconds since it stated its load.
    """

    endpoint_id: str
    incarnation: int
    load: int
    pace: float
    age_s: float
