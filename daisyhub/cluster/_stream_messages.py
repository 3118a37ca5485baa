"""Messages about the origins of streams."""

import msgspec

from daisyhub.streams import StoredOrigin

__all__ = [
    "StreamOriginBatch",
    "StreamOriginQuery",
    "StreamOriginRecord",
    "StreamOriginResponse",
]


class StreamOriginRecord(msgspec.Struct, frozen=True, kw_only=True, tag="ow"):
    """Asks a daemon to keep the origin of a stream.

    Attributes:
        key: Key of the stream's first request.
        pool: Pool of the release that began it.
        software: Software version of that release.
        valid_s: Seconds for which its caller may come back.
    """

    key: str
    pool: str
    software: str
    valid_s: float


class StreamOriginBatch(msgspec.Struct, frozen=True, kw_only=True, tag="ob"):
    """Asks the writer of a failure domain to store the origins of streams."""

    origins: tuple[StoredOrigin, ...]


class StreamOriginQuery(msgspec.Struct, frozen=True, kw_only=True, tag="oq"):
    """Asks a daemon for the origin of a stream."""

    key: str


class StreamOriginResponse(msgspec.Struct, frozen=True, kw_only=True, tag="oa"):
    """What a daemon knows of a stream.

    Attributes:
        is_known: Whether it knows the stream.
        pool: Pool of the release that began it.
        software: Software version of that release; empty if two were named.
        valid_s: Seconds for which its caller may come back.
    """

    is_known: bool
    pool: str = ""
    software: str = ""
    valid_s: float = 0.0
