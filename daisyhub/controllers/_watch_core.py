"""Decides from which revision to watch, and what to deliver again.

Listeners take the highest version of what they hear, so an object may be
delivered twice or in an older state, but none may be skipped for good. When
the store answers with a lower revision than before (another replica, or a
store that was reset), everything is listed anew.
"""

import dataclasses

from daisyhub.base import Core
from daisyhub.hosting import PlatformObject

__all__ = [
    "DeliverObject",
    "DeliveryFailed",
    "WatchStarted",
    "WatchCore",
    "ObjectDelivered",
    "WatchResponseReceived",
    "WatchFailed",
    "WatchObjects",
]

_RETRY_S = 0.5
_MOST_RETRY_S = 30.0
_RELIST_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class WatchStarted:
    """Event: start."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResponseReceived:
    """Event: the store's revision and the objects changed."""

    revision: int
    objects: tuple[PlatformObject, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WatchFailed:
    """Event: the store did not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectDelivered:
    """Event: a listener took an object."""

    listener: int
    found: PlatformObject


@dataclasses.dataclass(frozen=True, slots=True)
class DeliveryFailed:
    """Event: a listener could not take an object."""

    listener: int
    found: PlatformObject


@dataclasses.dataclass(frozen=True, slots=True)
class WatchObjects:
    """Action: watch, after a pause."""

    after_revision: int
    wait_s: float
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverObject:
    """Action: give an object to a listener."""

    listener: int
    found: PlatformObject


@dataclasses.dataclass(slots=True)
class _Undelivered:
    found: PlatformObject
    due_s: float


class WatchCore(Core):
    """The state of one watch.

    Args:
        prefixes: The key prefix of each listener.
        wait_s: Longest time for which the store may hold a watch.
    """

    def __init__(self, prefixes: tuple[str, ...], wait_s: float):
        self.prefixes = prefixes
        self.wait_s = wait_s
        self.revision = 0
        self.is_connected = False
        self._undelivered: dict[tuple[int, str], _Undelivered] = {}
        self._tries: dict[tuple[int, str], int] = {}
        self._is_listed = False
        self._listed_s = 0.0

    @property
    def next_wakeup_s(self) -> float | None:
        """Never: each watch ends by itself."""
        return None

    @property
    def undelivered(self) -> int:
        """How many objects a listener could not take yet."""
        return len(self._undelivered)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one event; deliveries come before the next watch."""
        match event:
            case WatchStarted():
                return [self._watch(now_s)]
            case WatchResponseReceived():
                return self._on_answer(event, now_s)
            case WatchFailed():
                self.is_connected = False
                due = self._due(now_s)
                return [*due, self._watch(now_s, pause_s=_RETRY_S)]
            case ObjectDelivered():
                self._on_delivered(event)
                return []
            case DeliveryFailed():
                self._on_delivery_failed(event, now_s)
                return []
        raise TypeError(f"not a news event: {event!r}")

    def _on_answer(
        self, event: WatchResponseReceived, now_s: float
    ) -> list[object]:
        # In the order of listeners, so that withdrawn keys can come first.
        deliveries = [
            DeliverObject(listener, found)
            for listener, prefix in enumerate(self.prefixes)
            for found in event.objects
            if found.key.startswith(prefix)
        ]
        for delivery in deliveries:
            # What is heard now replaces what couldn't be delivered.
            place = (delivery.listener, delivery.found.key)
            self._undelivered.pop(place, None)
        is_behind = event.revision < self.revision
        is_due = self._is_listed and now_s - self._listed_s > _RELIST_S
        if not self._is_listed:
            self._listed_s = now_s
        self._is_listed = not (is_behind or is_due)
        self.revision = event.revision
        self.is_connected = True
        pause_s = _RETRY_S if is_behind else 0.0
        due = self._due(now_s)
        return [*deliveries, *due, self._watch(now_s, pause_s=pause_s)]

    def _on_delivery_failed(self, event: DeliveryFailed, now_s: float) -> None:
        place = (event.listener, event.found.key)
        tries = self._tries.get(place, 0)
        self._tries[place] = tries + 1
        pause_s = min(_MOST_RETRY_S, _RETRY_S * 2 ** min(tries, 8))
        self._undelivered[place] = _Undelivered(event.found, now_s + pause_s)

    def _due(self, now_s: float) -> list[DeliverObject]:
        """Returns what to deliver again."""
        return [
            DeliverObject(listener, item.found)
            for (listener, _), item in self._undelivered.items()
            if now_s >= item.due_s
        ]

    def _on_delivered(self, event: ObjectDelivered) -> None:
        place = (event.listener, event.found.key)
        self._undelivered.pop(place, None)
        self._tries.pop(place, None)

    def _watch(self, now_s: float, pause_s: float = 0.0) -> WatchObjects:
        # A list does not wait, nor does the first watch after an outage.
        if not self._is_listed:
            return WatchObjects(0, 0.0, pause_s)
        wait_s = self.wait_s if self.is_connected else 0.0
        for item in self._undelivered.values():
            wait_s = min(wait_s, max(_RETRY_S, item.due_s - now_s))
        return WatchObjects(self.revision, wait_s, pause_s)
