"""Confirms processes of servers by what they say of themselves.

A server states its start (`born`) in its report and in its entry.
"""

from collections.abc import Callable

import anyio

from daisyhub.balancing import EndpointEntry, ProcessCheck
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.objects import ObjectStore, ObjectStoreError
from daisyhub.platform._servers import SERVERS_KIND, read_server
from daisyhub.weights import EngineClient

__all__ = ["PlatformProcessCheck"]

# Seconds for a report or a read of the store: several round trips.
_TIMEOUT_S = 0.15


class PlatformProcessCheck(ProcessCheck):
    """Asks engines for their report, and the store for other servers.

    Args:
        engines: Fetches reports.
        store: Has the entries of servers.
        accepts: Whether an endpoint may still be sent anything; it may leave
            while its request waits.
        metrics: Counts the results.
        log: Logs processes that aren't confirmed.
    """

    def __init__(
        self,
        engines: EngineClient,
        store: ObjectStore,
        accepts: Callable[[EndpointEntry], bool],
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._engines = engines
        self._store = store
        self._accepts = accepts
        self._metrics = metrics
        self._log = log

    async def is_current(self, entry: EndpointEntry) -> bool:
        """Compares the start of a process; see `ProcessCheck.is_current`.

        Where servers state no start, nothing can be compared.
        """
        if not entry.incarnation:
            return True
        if not self._accepts(entry):
            return False
        found = None
        if entry.versions:
            found = await self._ask_engine(entry)
        if found is None:
            found = await self._ask_store(entry)
        is_current = found == entry.incarnation
        self._metrics.count(
            "processes_checked", result="current" if is_current else "other"
        )
        if not is_current:
            self._log.record(
                "process_not_confirmed",
                endpoint=entry.endpoint_id,
                incarnation=entry.incarnation,
                found=found,
                release=str(entry.release),
            )
        return is_current

    async def _ask_engine(self, entry: EndpointEntry) -> int | None:
        """Returns the start that an engine reports; None without any."""
        with anyio.move_on_after(_TIMEOUT_S):
            response = await self._engines.report(
                entry.address, lambda: self._accepts(entry)
            )
            if response.report is not None:
                return response.report.incarnation or None
        return None

    async def _ask_store(self, entry: EndpointEntry) -> int | None:
        """Returns the start in a server's entry; None without any."""
        with anyio.move_on_after(_TIMEOUT_S):
            try:
                found = await self._store.read(SERVERS_KIND, entry.endpoint_id)
                if found is not None and not found.is_deleted:
                    return read_server(found.name, found.spec).incarnation
            except (ObjectStoreError, ValueError) as exc:
                self._log.record(
                    "process_check_failed",
                    endpoint=entry.endpoint_id,
                    reason=str(exc),
                )
        return None
