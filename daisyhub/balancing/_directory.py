"""Endpoints of all failure domains, chosen by expected latency.

Endpoints are listed by their entries in the platform's store. This daemon's
own requests give each endpoint's latency and number of open requests;
responses and reports give the load from other daemons. Since latencies differ
between routes, an endpoint is rated by its latency ratio: its latency divided
by the median latency of the route. The ratio decays towards 1, so that a slow
endpoint is tried again after a few seconds. An endpoint that sends nothing for
a few median latencies while a request is open is avoided.

Keeps the latency of single requests low while an endpoint becomes slow, stops
responding or fails.

Times are seconds on a monotonic clock.
"""

import dataclasses
import time
from collections.abc import Callable, Iterable

from daisyhub.balancing._choice import AdaptiveChoice, StandardChoice
from daisyhub.balancing._endpoint import (
    Endpoint,
    EndpointEntry,
    is_suspect,
)
from daisyhub.balancing._endpoint_records import EndpointRecords
from daisyhub.balancing._lapses import LapseWindow
from daisyhub.balancing._leaving import (
    EndpointProcess,
    LeavingMark,
    LeavingMarks,
)
from daisyhub.settings import Address

__all__ = ["EndpointDirectory"]


class EndpointDirectory(EndpointRecords):
    """All endpoints by id.

    Args:
        tie_break: Returns a number for an endpoint's id; of equal endpoints
            that with the lowest number is chosen. With numbers that differ by
            daemon but not by request, a daemon uses few endpoints, and so few
            connections, while all daemons together use all of them alike.
        has_connection: Whether an idle connection to an address is open.
        on_leaving: Called with the entry, as it was before, and the kind of
            call at the first response in which an endpoint announces that it
            is leaving.
        clock: Monotonic clock.
        lapses: Tells for how long endpoints are kept whose entries may have
            lapsed.
    """

    def __init__(
        self,
        tie_break: Callable[[str], float],
        has_connection: Callable[[Address], bool] = lambda _: False,
        on_leaving: Callable[[EndpointEntry, str], None] = lambda *_: None,
        clock: Callable[[], float] = time.monotonic,
        lapses: LapseWindow | None = None,
    ):
        super().__init__()
        self._choice = StandardChoice(tie_break, has_connection)
        self._on_leaving = on_leaving
        self._clock = clock
        self._lapses = lapses or LapseWindow()
        self._leaving = LeavingMarks(self.is_listed)
        self._unreachable_domains: frozenset[str] = frozenset()
        self._evacuated_domains: frozenset[str] = frozenset()

    def set_evacuated_domains(self, domains: frozenset[str]) -> None:
        """Sets the failure domains whose endpoints are sent nothing."""
        self._evacuated_domains = domains

    def accepts(self, entry: EndpointEntry) -> bool:
        """Whether anything may be sent to the process of an entry now.

        Everything that sends to endpoints asks this, also right before the
        bytes leave. The entry may be old: a process that is no longer listed
        is gone.
        """
        known = self._endpoints.get(entry.endpoint_id)
        if known is None or known.entry.process != entry.process:
            return False
        return self._is_usable(known)

    def _is_usable(self, endpoint: Endpoint) -> bool:
        """Whether a listed endpoint may be sent anything now."""
        entry = endpoint.entry
        if entry.is_leaving or entry.domain in self._evacuated_domains:
            return False
        absent_since_s = endpoint.absent_since_s
        return absent_since_s is None or self._lapses.keeps(
            absent_since_s, self._clock()
        )

    def are_evacuated(self, pools: Iterable[str]) -> bool:
        """Whether evacuations exclude all remaining endpoints of some pools."""
        names = set(pools)
        staying = [
            endpoint.entry.domain in self._evacuated_domains
            for endpoint in self._endpoints.values()
            if endpoint.entry.pool in names and not endpoint.entry.is_leaving
        ]
        return bool(staying) and all(staying)

    def set_unreachable_domains(self, domains: frozenset[str]) -> None:
        """Sets the failure domains that seem to be unreachable.

        Their endpoints are chosen only if there is no other.
        """
        self._unreachable_domains = domains

    def set_adaptive_choice(self, adaptive: AdaptiveChoice) -> None:
        """Sets what ranks and measures the endpoints of adaptive pools."""
        self._adaptive = adaptive

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Returns an endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def all(self) -> list[Endpoint]:
        """Returns every endpoint."""
        return list(self._endpoints.values())

    def upsert(self, entry: EndpointEntry) -> None:
        """Inserts or updates an entry; a restart resets the statistics.

        A process that was leaving, by a response or by an earlier entry, stays
        so until it restarts.
        """
        if entry.is_leaving:
            self._leaving.add_listed(entry.process, self._clock())
        if entry.process in self._leaving:
            entry = dataclasses.replace(entry, is_leaving=True)
        if not self.is_listed(entry.process):
            self._endpoints[entry.endpoint_id] = Endpoint(entry)
            return
        known = self._endpoints[entry.endpoint_id]
        known.entry = entry
        known.absent_since_s = None

    def is_listed(self, process: EndpointProcess) -> bool:
        """Whether the entry of an endpoint describes this process."""
        known = self._endpoints.get(process.endpoint_id)
        return known is not None and known.entry.process == process

    def is_replaced(self, entry: EndpointEntry) -> bool:
        """Whether another process than an entry describes has its id now."""
        known = self._endpoints.get(entry.endpoint_id)
        return known is not None and known.entry.process != entry.process

    def is_leaving(self, entry: EndpointEntry) -> bool:
        """Whether the process of an entry, which may be old, is leaving."""
        process = entry.process
        if process in self._leaving:
            return True
        known = self._endpoints.get(entry.endpoint_id)
        return self.is_listed(process) and known.entry.is_leaving

    def record_leaving(
        self, entry: EndpointEntry, call: str, now_s: float
    ) -> None:
        """Records that an endpoint announced its leaving in a response.

        Args:
            entry: The entry to which the request was sent.
            call: Kind of the call, for the log.
            now_s: Current time.
        """
        if self.mark_leaving(entry.process, now_s):
            self._on_leaving(entry, call)

    def mark_leaving(
        self, process: EndpointProcess, announced_at_s: float
    ) -> bool:
        """Excludes a process from new requests; returns whether it is new."""
        known = self._endpoints.get(process.endpoint_id)
        is_listed = self.is_listed(process)
        is_confirmed = is_listed and known.entry.is_leaving
        is_new = self._leaving.add(
            process, announced_at_s, is_confirmed=is_confirmed
        )
        if is_listed:
            known.entry = dataclasses.replace(known.entry, is_leaving=True)
        return is_new

    def confirm_leaving(
        self, process: EndpointProcess, now_s: float
    ) -> float | None:
        """Records that the list shows a process as leaving or gone.

        Returns:
            Seconds by which the list lagged behind the announcement; None if
            there was none, or the list has confirmed it before.
        """
        return self._leaving.confirm(process, now_s)

    def leaving_marks(self, now_s: float, limit: int) -> list[LeavingMark]:
        """Returns the marks in force; see `LeavingMarks.in_force`."""
        return self._leaving.in_force(now_s, limit)

    def announced_leaving(self) -> list[str]:
        """Returns the ids of listed endpoints that announced their leaving."""
        return sorted(
            endpoint_id
            for endpoint_id, endpoint in self._endpoints.items()
            if self._leaving.is_announced(endpoint.entry.process)
        )

    def remove(
        self, endpoint_id: str, now_s: float, *, is_store_stable: bool
    ) -> None:
        """Removes an endpoint whose entry was deleted.

        While the store is unavailable, entries of live endpoints expire too.
        Without a stable store the endpoint is therefore kept for a while; see
        `LapseWindow`.

        Args:
            endpoint_id: The endpoint.
            now_s: Current time.
            is_store_stable: Whether the store has been available for long
                enough that the entries of live endpoints are listed again.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if is_store_stable:
            del self._endpoints[endpoint_id]
        elif endpoint.absent_since_s is None:
            endpoint.absent_since_s = now_s

    def expire(self, now_s: float) -> list[str]:
        """Removes absent endpoints that are no longer kept.

        Returns:
            Their ids.
        """
        expired = [
            endpoint_id
            for endpoint_id, endpoint in self._endpoints.items()
            if endpoint.absent_since_s is not None
            and not self._lapses.keeps(endpoint.absent_since_s, now_s)
        ]
        for endpoint_id in expired:
            del self._endpoints[endpoint_id]
        return expired

    def in_pools(self, pools: Iterable[str]) -> list[Endpoint]:
        """Returns the endpoints of some pools that may be sent requests."""
        names = set(pools)
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.entry.pool in names and self._is_usable(endpoint)
        ]

    def choose(
        self,
        pools: Iterable[str],
        excluded: frozenset[str],
        now_s: float,
    ) -> str | None:
        """Returns the id of the endpoint with the lowest expected latency.

        Endpoints that are unreachable, absent, silent or in back-off are
        chosen only if there is no other.

        Args:
            pools: Names of the pools to choose from.
            excluded: Ids of endpoints that must not be chosen.
            now_s: Current time.

        Returns:
            The endpoint's id; None if there is no candidate.
        """
        listed = self.in_pools(pools)
        candidates = [
            endpoint
            for endpoint in listed
            if endpoint.entry.endpoint_id not in excluded
        ]
        if not candidates:
            return None
        healthy = [
            endpoint
            for endpoint in candidates
            if endpoint.entry.domain not in self._unreachable_domains
            and not is_suspect(endpoint, now_s)
        ]
        ranked = healthy or candidates
        if self._adaptive is not None and self._adaptive.applies_to(ranked):
            best = self._adaptive.best(ranked, listed, now_s)
        else:
            best = min(ranked, key=lambda e: self._choice.key(e, now_s))
        return best.entry.endpoint_id
