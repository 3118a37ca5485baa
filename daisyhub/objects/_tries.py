"""Records what is known of each try of a store call.

A call may be tried directly and through several peers. The tries made within
`record_tries` are collected, so that a decision that rests on them can log
them.
"""

import contextlib
import contextvars
import dataclasses
import enum
from collections.abc import Iterator

__all__ = ["StoreTry", "TryOutcome", "add_try", "record_tries"]

_tries: contextvars.ContextVar[list["StoreTry"] | None] = (
    contextvars.ContextVar("store_tries", default=None)
)


class TryOutcome(enum.Enum):
    """What is known of one try of a store call.

    Attributes:
        DONE: It took effect; a read returned its result.
        CONFLICT: The store rejected a conditional write.
        NOT_DONE: It has not taken effect and never will.
        UNKNOWN: It may have taken effect, or may still do so.
    """

    DONE = "done"
    CONFLICT = "conflict"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreTry:
    """One try of a store call.

    Attributes:
        call: The call with kind and name, such as `create lots/4f2a`.
        way: `direct`, `none` if there was no way to the store, or the daemon id
            of the peer that relayed the call.
        outcome: What is known of it.
        detail: Text of its failure; empty if it succeeded.
    """

    call: str
    way: str
    outcome: TryOutcome
    detail: str = ""

    def __str__(self) -> str:
        text = f"{self.call} by {self.way}: {self.outcome.value}"
        return f"{text} ({self.detail})" if self.detail else text


@contextlib.contextmanager
def record_tries() -> Iterator[list[StoreTry]]:
    """Collects the tries made within this context, by this task."""
    tries: list[StoreTry] = []
    token = _tries.set(tries)
    try:
        yield tries
    finally:
        _tries.reset(token)


def add_try(store_try: StoreTry) -> None:
    """Adds a try to the collection of the current task, if there is one."""
    tries = _tries.get()
    if tries is not None:
        tries.append(store_try)
