"""Applies the entries of servers in the store to the endpoint directory."""

import time

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    LapseWindow,
)
from daisyhub.cluster import LeavingNews, SharedPermits
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.objects import StoredObject
from daisyhub.platform._servers import read_server

__all__ = ["ServerList"]


class ServerList:
    """Handles changes of servers' entries.

    Args:
        directory: The endpoints.
        permits: Learns which of them are cold.
        leaving_news: Learns which announcements of leaving are confirmed.
        lapses: Tells which removed entries may be those of live endpoints.
        metrics: Counts entries that can't be read.
        log: Log of changes.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        permits: SharedPermits,
        leaving_news: LeavingNews,
        lapses: LapseWindow,
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._directory = directory
        self._permits = permits
        self._leaving_news = leaving_news
        self._lapses = lapses
        self._metrics = metrics
        self._log = log
        self._has_incarnations = False
        # Why the entries that can't be read are invalid, by name.
        self._unreadable: dict[str, str] = {}

    def on_change(self, found: StoredObject) -> None:
        """Applies a server's entry; an invalid one removes the endpoint."""
        if found.is_deleted:
            self._unreadable.pop(found.name, None)
            self._remove(found.name, found.revision)
            return
        try:
            entry = self._read(found)
        except ValueError as exc:
            self._record_unreadable(found, str(exc))
            # The entry exists, so it did not expire during a store failure:
            # the endpoint is removed at once.
            self._directory.remove(
                found.name, time.monotonic(), is_store_stable=True
            )
            return
        self._unreadable.pop(found.name, None)
        known = self._directory.get(found.name)
        was_leaving = known is not None and known.entry.is_leaving
        if known is not None and known.entry.process != entry.process:
            self._leaving_news.confirm(known.entry.process, is_removed=True)
        self._permits.observe_entry(entry)
        self._directory.upsert(entry)
        if entry.is_leaving:
            self._leaving_news.confirm(entry.process, is_removed=False)
        is_leaving = self._directory.get(found.name).entry.is_leaving
        if known is None or was_leaving != is_leaving:
            self._log.record(
                "endpoint",
                name=found.name,
                incarnation=entry.incarnation,
                pool=entry.pool,
                domain=entry.domain,
                address=str(entry.address),
                is_leaving=is_leaving,
                is_cheap=entry.is_cheap,
                slots=entry.slots,
                versions=entry.versions,
                software=entry.software,
                revision=found.revision,
            )

    def _record_unreadable(self, found: StoredObject, reason: str) -> None:
        """Counts an invalid entry; logs it unless only its revision is new."""
        self._metrics.count("entries_unreadable", kind=found.kind)
        if self._unreadable.get(found.name) == reason:
            return
        self._unreadable[found.name] = reason
        self._log.record(
            "endpoint_unreadable",
            name=found.name,
            revision=found.revision,
            reason=reason,
        )

    def _read(self, found: StoredObject) -> EndpointEntry:
        """Decodes an entry.

        Raises:
            ValueError: It is invalid, or lacks the start of the process, which
                servers of this platform state. It would pass for another
                process of the same server, of which nothing is known.
        """
        entry = read_server(found.name, found.spec)
        if entry.incarnation:
            self._has_incarnations = True
        elif self._has_incarnations:
            raise ValueError("the entry lacks the start of its process")
        return entry

    def _remove(self, name: str, revision: int) -> None:
        """Removes an endpoint whose entry was deleted or has expired."""
        now_s = time.monotonic()
        is_stable = not self._lapses.is_open(now_s)
        known = self._directory.get(name)
        self._log.record(
            "endpoint_removed",
            name=name,
            incarnation=known.entry.incarnation if known else None,
            revision=revision,
            is_leaving=known.entry.is_leaving if known else None,
            is_store_stable=is_stable,
        )
        if known is not None and is_stable:
            self._leaving_news.confirm(known.entry.process, is_removed=True)
        self._directory.remove(name, now_s, is_store_stable=is_stable)
