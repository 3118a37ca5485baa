"""Tells which endpoints are cold now."""

import math
import time
from collections.abc import Callable

from daisyhub.balancing._cold_core import (
    BecameCold,
    ColdCore,
    ColdPool,
    ColdTimeBounded,
    EntryListed,
    PeerToldCold,
    ResponseStatedCold,
)
from daisyhub.balancing._endpoint import EndpointEntry
from daisyhub.balancing._leaving import EndpointProcess
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics

__all__ = ["Coldness"]

# Seconds for which the difference of the clocks is used before it is looked up
# again, which takes a look at the clocks of all peers.
_CLOCK_TTL_S = 0.5


class Coldness:
    """Feeds the core with entries, responses and news of peers.

    Args:
        find_pool: Returns what the manifest says of cold endpoints of a pool;
            None if it doesn't name the pool.
        wall_s: Returns the cluster's time of day.
        metrics: Counts endpoints that become cold, and times out of bounds.
        log: Log of both.
    """

    def __init__(
        self,
        find_pool: Callable[[str], ColdPool | None] = lambda _: None,
        wall_s: Callable[[], float] = time.time,
        metrics: Metrics | None = None,
        log: DecisionLog | None = None,
    ):
        self._core = ColdCore(find_pool)
        self._wall_s = wall_s
        self._wall_offset_s = 0.0
        self._looked_up_at_s = -math.inf
        self._metrics = metrics or Metrics()
        self._log = log

    def observe_entry(self, entry: EndpointEntry) -> BecameCold | None:
        """Records an entry; returns the beginning of its coldness, if any."""
        return self._handle(EntryListed(entry), "entry")

    def observe_response(
        self, entry: EndpointEntry, left_s: float, sent_at_s: float
    ) -> BecameCold | None:
        """Records what a response states about how long it stays cold."""
        event = ResponseStatedCold(entry, left_s, sent_at_s)
        return self._handle(event, "response")

    def observe_peer(
        self, process: EndpointProcess, left_s: float, per_s: float, peer: str
    ) -> BecameCold | None:
        """Records what a peer told."""
        return self._handle(PeerToldCold(process, left_s, per_s), "peer", peer)

    def per_s(self, process: EndpointProcess) -> float:
        """Returns the tolerated requests a second; infinite if it is warm."""
        return self._core.per_s(process, *self._now())

    def left_s(self, process: EndpointProcess) -> float:
        """Returns the seconds for which a process stays cold; 0 if warm."""
        return self._core.left_s(process, *self._now())

    def has_cold(self) -> bool:
        """Whether any process may be cold."""
        return time.monotonic() < self._core.none_from_s

    def refresh(self) -> None:
        """Applies changes of what the manifest says."""
        self._core.refresh()

    def is_cold(self, process: EndpointProcess) -> bool:
        """Whether a process is cold."""
        return self.per_s(process) < math.inf

    def status(self) -> dict[str, float]:
        """Returns the seconds for which cold endpoints stay so, by id."""
        found = self._core.cold(*self._now())
        return {p.endpoint_id: round(left_s, 3) for p, left_s in found.items()}

    def _now(self) -> tuple[float, float]:
        """Returns the time, and the cluster's time of day."""
        now_s = time.monotonic()
        if now_s - self._looked_up_at_s > _CLOCK_TTL_S:
            self._looked_up_at_s = now_s
            self._wall_offset_s = self._wall_s() - now_s
        return now_s, now_s + self._wall_offset_s

    def _handle(
        self, event: object, source: str, peer: str = ""
    ) -> BecameCold | None:
        began = None
        actions = self._core.handle(event, *self._now())
        for action in actions:
            name = "endpoint_cold"
            fields = {}
            match action:
                case BecameCold():
                    began = action
                    fields = {
                        "left_s": round(action.left_s, 3),
                        "per_s": action.per_s,
                        "was_known": action.was_known,
                    }
                case ColdTimeBounded():
                    name = "cold_time_bounded"
                    fields = {
                        "stated_s": action.stated_s,
                        "used_s": action.used_s,
                    }
            self._metrics.count(name, source=source)
            if self._log is not None:
                self._log.record(
                    name,
                    endpoint=action.process.endpoint_id,
                    incarnation=action.process.incarnation,
                    source=source,
                    peer=peer,
                    **fields,
                )
        return began
