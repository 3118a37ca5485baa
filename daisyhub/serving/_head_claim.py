"""Counts the heads of requests towards the memory of the process."""

from daisyhub.memory import MemoryClaim

__all__ = ["HeadClaim"]

# Memory of a parsed header beside its text, and the size from which on a head
# counts, both in bytes.
_HEADER_OVERHEAD = 128
_ORDINARY_HEAD_BYTES = 2048


class HeadClaim:
    """What the current head of one connection holds.

    Args:
        claim: The claim of the connection, to which large heads are added.
    """

    def __init__(self, claim: MemoryClaim):
        self._claim = claim
        self._claimed = 0

    def update(self, size: int, headers: int) -> None:
        """Counts what was received of a head so far.

        Args:
            size: Its bytes.
            headers: Number of its headers.
        """
        if size <= _ORDINARY_HEAD_BYTES:
            return
        held = size + _HEADER_OVERHEAD * headers
        self._claim.add(held - self._claimed)
        self._claimed = held

    def end(self) -> None:
        """Leaves what the head holds to the request; the next one is new."""
        self._claimed = 0
