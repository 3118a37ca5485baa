"""Decides from which revision to watch and which deliveries to retry.

Listeners keep the highest version of an object, so an object may be delivered
twice or in an older state, but its newest state must be delivered eventually.
If a response has a lower revision than the previous one (it came from another
replica, or the store was reset), all objects are listed again. They are also
listed again at a fixed interval.
"""

import dataclasses

from daisyhub.base import Core
from daisyhub.hosting import PlatformObject

__all__ = [
    "DeliverObject",
    "DeliveryFailed",
    "ObjectDelivered",
    "WatchCore",
    "WatchFailed",
    "WatchObjects",
    "WatchResponseReceived",
    "WatchStarted",
]

_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 30.0
# Minimum time between two lists, unless the revision falls.
_RELIST_INTERVAL_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class WatchStarted:
    """Event: the controller has started."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResponseReceived:
    """Event: the store responded to a watch or a list request.

    Attributes:
        revision: Current revision of the store.
        objects: Objects that changed since the requested revision.
    """

    revision: int
    objects: tuple[PlatformObject, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WatchFailed:
    """Event: the store did not respond to a watch or list request."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectDelivered:
    """Event: a listener, given by its index, accepted an object."""

    listener: int
    found: PlatformObject


@dataclasses.dataclass(frozen=True, slots=True)
class DeliveryFailed:
    """Event: a listener, given by its index, raised an error for an object."""

    listener: int
    found: PlatformObject


@dataclasses.dataclass(frozen=True, slots=True)
class WatchObjects:
    """Action: send a watch or list request.

    Attributes:
        after_revision: Objects that changed after this revision are requested;
            0 requests all objects.
        wait_s: How long the store may wait for a change before it responds.
        pause_s: Delay before the request is sent.
    """

    after_revision: int
    wait_s: float
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverObject:
    """Action: deliver an object to the listener with this index."""

    listener: int
    found: PlatformObject


@dataclasses.dataclass(slots=True)
class _FailedDelivery:
    """An object whose delivery is retried at `due_s`."""

    found: PlatformObject
    due_s: float


class WatchCore(Core):
    """Keeps the revision of one watch and its failed deliveries.

    Args:
        prefixes: The key prefix of each listener, by its index.
        wait_s: Maximum time that the store may wait for a change before it
            responds.
    """

    def __init__(self, prefixes: tuple[str, ...], wait_s: float):
        self.prefixes = prefixes
        self.wait_s = wait_s
        self.revision = 0
        self.is_connected = False
        self._undelivered: dict[tuple[int, str], _FailedDelivery] = {}
        self._failure_counts: dict[tuple[int, str], int] = {}
        self._has_current_list = False
        self._listed_at_s = 0.0

    @property
    def next_wakeup_s(self) -> float | None:
        """None: no tick is needed, since every watch request ends by itself."""
        return None

    @property
    def undelivered_count(self) -> int:
        """Count of deliveries that failed and will be retried."""
        return len(self._undelivered)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event; returns deliveries, then the next watch if any."""
        match event:
            case WatchStarted():
                return [self._watch(now_s)]
            case WatchResponseReceived():
                return self._on_response(event, now_s)
            case WatchFailed():
                self.is_connected = False
                retries = self._due_retries(now_s)
                return [*retries, self._watch(now_s, pause_s=_RETRY_DELAY_S)]
            case ObjectDelivered():
                self._on_delivered(event)
                return []
            case DeliveryFailed():
                self._on_delivery_failed(event, now_s)
                return []
        raise TypeError(f"not a watch event: {event!r}")

    def _on_response(
        self, event: WatchResponseReceived, now_s: float
    ) -> list[object]:
        # Ordered by listener, so that withdrawn keys can be delivered first.
        deliveries = [
            DeliverObject(listener, found)
            for listener, prefix in enumerate(self.prefixes)
            for found in event.objects
            if found.key.startswith(prefix)
        ]
        for delivery in deliveries:
            # The object received now replaces one whose delivery failed.
            delivery_key = (delivery.listener, delivery.found.key)
            self._undelivered.pop(delivery_key, None)
        is_behind = event.revision < self.revision
        is_relist_due = (
            self._has_current_list
            and now_s - self._listed_at_s > _RELIST_INTERVAL_S
        )
        if not self._has_current_list:
            self._listed_at_s = now_s
        self._has_current_list = not (is_behind or is_relist_due)
        self.revision = event.revision
        self.is_connected = True
        pause_s = _RETRY_DELAY_S if is_behind else 0.0
        retries = self._due_retries(now_s)
        return [*deliveries, *retries, self._watch(now_s, pause_s=pause_s)]

    def _on_delivery_failed(self, event: DeliveryFailed, now_s: float) -> None:
        delivery_key = (event.listener, event.found.key)
        failures = self._failure_counts.get(delivery_key, 0)
        self._failure_counts[delivery_key] = failures + 1
        pause_s = min(
            _MAX_RETRY_DELAY_S, _RETRY_DELAY_S * 2 ** min(failures, 8)
        )
        self._undelivered[delivery_key] = _FailedDelivery(
            event.found, now_s + pause_s
        )

    def _due_retries(self, now_s: float) -> list[DeliverObject]:
        """Returns the failed deliveries that are due for a retry."""
        return [
            DeliverObject(listener, failed.found)
            for (listener, _), failed in self._undelivered.items()
            if now_s >= failed.due_s
        ]

    def _on_delivered(self, event: ObjectDelivered) -> None:
        delivery_key = (event.listener, event.found.key)
        self._undelivered.pop(delivery_key, None)
        self._failure_counts.pop(delivery_key, None)

    def _watch(self, now_s: float, pause_s: float = 0.0) -> WatchObjects:
        # A list request returns at once, and so does the first watch request
        # after an outage.
        if not self._has_current_list:
            return WatchObjects(0, 0.0, pause_s)
        wait_s = self.wait_s if self.is_connected else 0.0
        # Deliveries are retried after a response, so the request ends when the
        # first retry is due.
        for failed in self._undelivered.values():
            wait_s = min(wait_s, max(_RETRY_DELAY_S, failed.due_s - now_s))
        return WatchObjects(self.revision, wait_s, pause_s)
