"""Decides whether a daemon is cut off from the endpoints.

Silent endpoints alone don't tell whether they or the links of this daemon
failed. A daemon considers itself cut off if several endpoints are silent to it,
none has answered since, probes of others get no answer either, and endpoints
answer some of its peers. It considers itself connected again after two answers
some time apart, so that a link that flaps changes nothing.

Times are seconds on a monotonic clock.
"""

import dataclasses
import math

from daisyhub.base import Core

__all__ = [
    "AskPeers",
    "EndpointAnswered",
    "EndpointSilent",
    "ProbeEndpoints",
    "ReachCore",
    "ReachTick",
]

# Endpoints that must be silent before a daemon considers itself cut off, unless
# it knows fewer.
_MIN_SILENT = 3
# Endpoints that are probed at a time, after a first probe of one: a single slow
# request is usual, and its endpoint's neighbour answers.
_PROBED_AT_ONCE = 2
# Seconds between rounds of probes. With the timeout of a probe, a cut is known
# about a second after the first silence.
_PROBE_INTERVAL_S = 0.4
# Maximum interval, up to which it doubles while the suspicion is not confirmed.
_MAX_PROBE_INTERVAL_S = 3.0
# Seconds without any answer before silent endpoints are a reason to probe.
_MIN_QUIET_S = 0.2
# Minimum seconds between the two answers that end a cut.
_MIN_RECOVERY_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointAnswered:
    """Bytes of an endpoint were received."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSilent:
    """An endpoint gave no answer, or no connection, in time.

    Attributes:
        endpoint: The endpoint.
        is_probe: Whether it was probed. Other exchanges may have begun long
            before, so that only probes show that a cut goes on.
    """

    endpoint: str
    is_probe: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReachTick:
    """Time has passed.

    Attributes:
        endpoints: The endpoints that should answer, those that are cheap to
            ask first.
        is_peer_answered: Whether endpoints answer a live peer.
    """

    endpoints: tuple[str, ...]
    is_peer_answered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeEndpoints:
    """Action: ask some endpoints for an answer."""

    endpoints: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AskPeers:
    """Action: have some peers find out whether endpoints answer them."""


class ReachCore(Core):
    """Decides whether the endpoints can be reached."""

    def __init__(self):
        self._silent: set[str] = set()
        self._answered_at_s = -math.inf
        self._recovering_since_s: float | None = None
        self._probe_at_s = -math.inf
        self._interval_s = _PROBE_INTERVAL_S
        self._is_cut_off = False

    @property
    def next_wakeup_s(self) -> float | None:
        """None; ticks come periodically."""
        return None

    @property
    def is_cut_off(self) -> bool:
        """Whether this daemon considers itself cut off."""
        return self._is_cut_off

    @property
    def is_suspicious(self) -> bool:
        """Whether an endpoint is silent, so that ticks must name them all."""
        return self._is_cut_off or bool(self._silent)

    @property
    def answered_at_s(self) -> float:
        """When an endpoint last answered; minus infinity for never."""
        return self._answered_at_s

    @property
    def silent(self) -> frozenset[str]:
        """The endpoints that were silent since the last answer of any."""
        return frozenset(self._silent)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event; returns probes and questions to peers."""
        match event:
            case EndpointAnswered():
                self._on_answered(now_s)
                return []
            case EndpointSilent():
                self._silent.add(event.endpoint)
                if event.is_probe:
                    self._recovering_since_s = None
                return []
            case ReachTick():
                return self._on_tick(event, now_s)
        raise TypeError(f"not a reach event: {event!r}")

    def _on_answered(self, now_s: float) -> None:
        self._answered_at_s = now_s
        self._silent.clear()
        if not self._is_cut_off:
            return
        if self._recovering_since_s is None:
            self._recovering_since_s = now_s
        elif now_s - self._recovering_since_s >= _MIN_RECOVERY_S:
            self._is_cut_off = False
            self._recovering_since_s = None

    def _on_tick(self, tick: ReachTick, now_s: float) -> list[object]:
        listed = set(tick.endpoints)
        self._silent &= listed
        if not listed or not (self._is_cut_off or self._silent):
            self._interval_s = _PROBE_INTERVAL_S
            return []
        needed = min(_MIN_SILENT, len(listed))
        if len(self._silent) >= needed and tick.is_peer_answered:
            self._is_cut_off = True
        is_quiet = now_s - self._answered_at_s >= _MIN_QUIET_S
        if now_s < self._probe_at_s or not is_quiet:
            return []
        self._probe_at_s = now_s + self._interval_s
        # Peers without traffic can't tell unless they are asked. While this
        # daemon is cut off, they are its only way.
        must_ask = self._is_cut_off or len(self._silent) > 1
        questions = (
            [AskPeers()] if must_ask and not tick.is_peer_answered else []
        )
        if self._is_cut_off:
            self._interval_s = _PROBE_INTERVAL_S
            return [*questions, ProbeEndpoints(tick.endpoints[:1])]
        count = 1 if len(self._silent) == 1 else _PROBED_AT_ONCE
        self._interval_s = min(2 * self._interval_s, _MAX_PROBE_INTERVAL_S)
        fresh = [e for e in tick.endpoints if e not in self._silent]
        chosen = (*fresh, *tick.endpoints)[:count]
        return [*questions, ProbeEndpoints(tuple(dict.fromkeys(chosen)))]
