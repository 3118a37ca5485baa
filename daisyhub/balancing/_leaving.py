"""Endpoints that are leaving, by a response or by the list.

An announcement in a response precedes the list of endpoints, which may lag
behind it by seconds or, while the store is unavailable, by minutes. A process
that once was leaving stays so. A mark therefore outlives the entry: neither an
older list, nor a write that the store carried out late, nor a removal and
re-insertion of the entry brings the process back.
"""

import dataclasses
import functools
import hashlib
from collections.abc import Callable

from daisyhub.settings import Address

__all__ = ["EndpointProcess", "LeavingMark", "LeavingMarks", "digest_marks"]

# Maximum number of marks. Marks of listed endpoints are kept beyond it: their
# number is bounded by the list. An endpoint serves for some seconds after its
# announcement, so that even a thousand replacements a minute leave a mark for
# minutes after the process ended.
MAX_MARKS = 4096
# Seconds for which the mark of an unlisted process is in force. Another daemon
# may still have a list that contains the process.
_UNLISTED_IN_FORCE_S = 60.0
_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointProcess:
    """One start of an endpoint.

    Attributes:
        endpoint_id: Its id, which a later process may have too.
        incarnation: Start time of the process, milliseconds since 1970; 0 if
            unknown.
        address: Where it listens.
    """

    endpoint_id: str
    incarnation: int
    address: Address


@dataclasses.dataclass(slots=True)
class _Mark:
    """What is known of a process that is leaving.

    Attributes:
        announced_at_s: When that was first received, perhaps by a peer.
        is_confirmed: Whether the list has shown the endpoint as leaving or
            gone.
        is_announced: Whether a response announced it, perhaps to a peer.
    """

    announced_at_s: float
    is_confirmed: bool
    is_announced: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingMark:
    """A mark in force.

    Attributes:
        process: The process that is leaving.
        announced_at_s: When it announced that.
    """

    process: EndpointProcess
    announced_at_s: float


class LeavingMarks:
    """The processes of endpoints that are known to be leaving.

    Args:
        is_listed: Whether a process is among the listed endpoints.
    """

    def __init__(self, is_listed: Callable[[EndpointProcess], bool]):
        self._is_listed = is_listed
        # In order of insertion.
        self._marks: dict[EndpointProcess, _Mark] = {}

    def __len__(self) -> int:
        return len(self._marks)

    def __contains__(self, process: EndpointProcess) -> bool:
        return process in self._marks

    def add(
        self,
        process: EndpointProcess,
        announced_at_s: float,
        *,
        is_confirmed: bool,
    ) -> bool:
        """Marks a process that announced its leaving.

        Args:
            process: The process.
            announced_at_s: When it announced that.
            is_confirmed: Whether the list shows it as leaving already.

        Returns:
            Whether no announcement was known before.
        """
        mark = self._marks.get(process)
        if mark is None:
            self._insert(process, _Mark(announced_at_s, is_confirmed, True))
            return True
        is_new = not mark.is_announced
        mark.is_announced = True
        return is_new

    def add_listed(self, process: EndpointProcess, listed_at_s: float) -> None:
        """Marks a process that the list shows as leaving.

        Args:
            process: The process.
            listed_at_s: When the list was received.
        """
        if process not in self._marks:
            self._insert(process, _Mark(listed_at_s, True, False))

    def is_announced(self, process: EndpointProcess) -> bool:
        """Whether a response announced the leaving of a process."""
        mark = self._marks.get(process)
        return mark is not None and mark.is_announced

    def _insert(self, process: EndpointProcess, mark: _Mark) -> None:
        self._marks[process] = mark
        if len(self._marks) > MAX_MARKS:
            self._drop_oldest_unlisted()

    def in_force(self, now_s: float, limit: int) -> list[LeavingMark]:
        """Returns the marks of processes that some list may still contain.

        Args:
            now_s: Current time.
            limit: Maximum number of marks.

        Returns:
            The marks that were added last, in order of insertion.
        """
        found = []
        for process, mark in reversed(self._marks.items()):
            age_s = now_s - mark.announced_at_s
            if age_s <= _UNLISTED_IN_FORCE_S or self._is_listed(process):
                found.append(LeavingMark(process, mark.announced_at_s))
                if len(found) == limit:
                    break
        return found[::-1]

    def confirm(self, process: EndpointProcess, now_s: float) -> float | None:
        """Records that the list shows a process as leaving or gone.

        Returns:
            Seconds by which the list lagged behind the announcement; None if
            there was none, or the list has confirmed it before.
        """
        mark = self._marks.get(process)
        if mark is None or mark.is_confirmed:
            return None
        mark.is_confirmed = True
        return now_s - mark.announced_at_s

    def _drop_oldest_unlisted(self) -> None:
        for process in self._marks:
            if not self._is_listed(process):
                del self._marks[process]
                return


def digest_marks(marks: list[LeavingMark]) -> int:
    """Returns a number that is equal at daemons with the same marks.

    It doesn't depend on their order and is 0 if there are none.
    """
    digest = 0
    for mark in marks:
        digest ^= _digest_process(mark.process)
    return digest


@functools.lru_cache(MAX_MARKS)
def _digest_process(process: EndpointProcess) -> int:
    text = f"{process.endpoint_id}|{process.incarnation}|{process.address}"
    hashed = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest())
