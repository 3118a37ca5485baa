"""Software versions of endpoints."""

import dataclasses

__all__ = ["Release"]


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """A software version of the endpoints of a pool.

    What two releases generate doesn't fit together, so a text or a stream may
    go on only at the release that began it. Unrelated to versions of weights.

    Attributes:
        pool: Name of the pool.
        version: The version, not empty.
    """

    pool: str
    version: str

    def __str__(self) -> str:
        return f"{self.pool}@{self.version}"
