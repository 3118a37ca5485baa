"""The contract of a store of versioned objects.

Objects lie under a kind and a name. One revision counter of the whole store
rises with each change. Conditional writes name the revision that they expect.
"""

import abc

import msgspec

from daisyhub.exceptions import DaisyhubError

__all__ = [
    "HistoryGoneError",
    "ObjectConflictError",
    "ObjectList",
    "ObjectStore",
    "ObjectStoreError",
    "StoredObject",
    "WatchBatch",
    "encode_value",
    "is_same_json",
]

_EMPTY = b"null"


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """One object, or the news that it was deleted.

    Attributes:
        kind: Its kind.
        name: Its name, unique within the kind.
        revision: The store's revision at its last change.
        is_deleted: Whether it is gone, or marked for deletion.
        spec: What its author declares, as JSON.
        status: What was observed, as JSON.
    """

    kind: str
    name: str
    revision: int
    is_deleted: bool = False
    spec: bytes = _EMPTY
    status: bytes = _EMPTY


class ObjectList(msgspec.Struct, frozen=True, kw_only=True):
    """All objects of a kind as of one revision."""

    revision: int
    items: tuple[StoredObject, ...]


class WatchBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of a kind; continue to watch from `revision`."""

    revision: int
    changes: tuple[StoredObject, ...]


class ObjectStoreError(DaisyhubError):
    """The store gave no usable answer.

    Attributes:
        may_be_done: Whether the call may have taken effect, or may still.
    """

    code = "store_unavailable"

    def __init__(self, detail: str, *, may_be_done: bool):
        super().__init__(detail)
        self.may_be_done = may_be_done


class ObjectConflictError(DaisyhubError):
    """A conditional write was refused.

    Attributes:
        found: The object as it is; None if the answer didn't hold it.
    """

    code = "store_conflict"

    def __init__(self, detail: str, found: StoredObject | None):
        super().__init__(detail)
        self.found = found


class HistoryGoneError(DaisyhubError):
    """The store no longer knows what changed since that revision."""

    code = "store_history_gone"


class ObjectStore(abc.ABC):
    """A store of versioned objects.

    Every method raises `ObjectStoreError` when no usable answer came.
    """

    @abc.abstractmethod
    async def read(
        self, kind: str, name: str, *, can_be_stale: bool = False
    ) -> StoredObject | None:
        """Returns an object, or None without one.

        Args:
            kind: Its kind.
            name: Its name.
            can_be_stale: Whether the answer may lack what changed in the last
                seconds, which costs the store less.
        """

    @abc.abstractmethod
    async def list_all(self, kind: str) -> ObjectList:
        """Returns all objects of a kind, as of one moment at the earliest."""

    @abc.abstractmethod
    async def watch(
        self,
        kind: str,
        *,
        after_revision: int,
        wait_s: float,
        can_be_stale: bool = False,
    ) -> WatchBatch:
        """Waits up to `wait_s` for changes of a kind.

        Args:
            kind: Their kind.
            after_revision: The revision that the caller knows.
            wait_s: Longest wait.
            can_be_stale: Whether changes may be told seconds late, which
                costs the store less.

        Raises:
            HistoryGoneError: List again instead.
        """

    @abc.abstractmethod
    async def create(self, kind: str, name: str, spec: bytes) -> StoredObject:
        """Creates an object.

        Args:
            kind: Its kind.
            name: Its name.
            spec: JSON.

        Raises:
            ObjectConflictError: One of that name exists.
        """

    @abc.abstractmethod
    async def replace(
        self, kind: str, name: str, spec: bytes, *, revision: int
    ) -> StoredObject:
        """Replaces an object's spec if it is still at `revision`.

        Raises:
            ObjectConflictError: It is at another revision, or gone.
        """

    @abc.abstractmethod
    async def set_status(
        self, kind: str, name: str, status: bytes
    ) -> StoredObject | None:
        """Replaces an object's status; returns None without an object."""

    @abc.abstractmethod
    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; one that is already gone is no error."""


def encode_value(value: object) -> bytes:
    """Returns a typed value as the JSON that objects hold."""
    return msgspec.json.encode(value)


def is_same_json(one: bytes, other: bytes) -> bool:
    """Whether two JSON texts hold the same value, however they are spelled."""
    return msgspec.json.decode(one) == msgspec.json.decode(other)
