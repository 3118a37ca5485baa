"""Notices that this daemon is cut off from the endpoints, and its peers' reach.

What each exchange with an endpoint shows is recorded here. Pings tell peers how
long ago an endpoint answered, so that a daemon can tell its own cut from a
failure of the endpoints, and finds peers that reach them.
"""

import contextlib
import dataclasses
import random
import time
from collections.abc import Callable, Iterator

import anyio

from daisyhub.balancing import (
    AskPeers,
    Denial,
    EndpointAnswered,
    EndpointDirectory,
    EndpointEntry,
    EndpointSilent,
    PermitSource,
    ProbeEndpoints,
    ReachCore,
    ReachTick,
    Urgency,
)
from daisyhub.base import Controller
from daisyhub.cluster._messages import ReachQuestion
from daisyhub.cluster._peer_types import PeerState
from daisyhub.cluster._peers import PeerTable
from daisyhub.connections import (
    HttpClient,
    HttpResponse,
    RequestFailedError,
    RequestWithdrawnError,
)
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.peers import PeerNetwork
from daisyhub.settings import Address

__all__ = ["ReachMonitor"]

ResponseRecorder = Callable[[EndpointEntry, HttpResponse, float], None]

_TICK_INTERVAL_S = 0.1
# Timeout of a probe, in seconds: many round trips between failure domains. An
# endpoint that is too busy to answer it isn't taken for silent unless all are.
_PROBE_TIMEOUT_S = 0.3
# Seconds without a response head after which an open request is a reason to
# probe, unless any endpoint answered meanwhile: several usual latencies of a
# look-up, and less than those of a long prompt.
_SILENCE_S = 0.3
# Seconds since an answer within which a peer counts as answered: some pings.
_MAX_ANSWER_AGE_S = 1.6
# Peers that are asked at a time, and the age of an answer from which on a peer
# that is asked probes an endpoint.
_ASKED_PEERS = 3
_STALE_ANSWER_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _OpenAttempt:
    """A request that was sent to an endpoint and has no response head yet.

    Attributes:
        address: Where the endpoint listens.
        started_s: When it was sent.
        scope: Cancels it once this daemon is cut off; None if it may run only
            once.
    """

    address: str
    started_s: float
    scope: anyio.CancelScope | None


class ReachMonitor(Controller):
    """Tells whether endpoints, or peers that reach them, can be reached.

    Args:
        directory: Known endpoints.
        peers: Live peers, and when endpoints answered them.
        network: Asks peers.
        health_path: Returns the path for health checks of a pool.
        metrics: Counts probes and cuts.
        log: Log of cuts.
    """

    name = "reach"

    def __init__(
        self,
        directory: EndpointDirectory,
        peers: PeerTable,
        network: PeerNetwork,
        health_path: Callable[[str], str],
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._directory = directory
        self._peers = peers
        self._network = network
        self._health_path = health_path
        self._metrics = metrics
        self._log = log
        self._core = ReachCore()
        self._http: HttpClient | None = None
        self._permits: PermitSource | None = None
        self._record_response: ResponseRecorder = lambda *_: None
        self._was_cut_off = False
        self._tasks = None
        self._open_attempts: set[_OpenAttempt] = set()
        # Set while there is something to look at.
        self._wakeup = anyio.Event()

    def set_client(
        self,
        http: HttpClient,
        permits: PermitSource,
        record_response: ResponseRecorder = lambda *_: None,
    ) -> None:
        """Sets what probes need and is built after this object.

        Args:
            http: Client that probes endpoints.
            permits: Permits for endpoints that limit their rate.
            record_response: Called with the entry, the response of a health
                check, and the time at which it was sent.
        """
        self._http = http
        self._permits = permits
        self._record_response = record_response

    def status(self) -> dict[str, object]:
        """Returns whether this daemon is cut off, and the last answer."""
        return {
            "is_cut_off": self.is_cut_off,
            "answer_age_s": self.answer_age_s(),
            "peers_in_reach": [p.daemon_id for p in self.answered_peers()],
        }

    @property
    def is_cut_off(self) -> bool:
        """Whether this daemon reaches no endpoint although peers do."""
        return self._core.is_cut_off

    def answer_age_s(self) -> float | None:
        """Returns the seconds since an endpoint answered; None for never."""
        age_s = time.monotonic() - self._core.answered_at_s
        return None if age_s == float("inf") else round(age_s, 2)

    def has_answer_since(self, since_s: float) -> bool:
        """Whether an endpoint answered after a monotonic time."""
        return self._core.answered_at_s > since_s

    def record_exchange(self, address: Address, is_answered: bool) -> None:
        """Records what an exchange or a connection attempt showed.

        Args:
            address: Address of the endpoint.
            is_answered: Whether the endpoint answered at all.
        """
        if is_answered:
            self._feed(EndpointAnswered())
        else:
            self._feed(EndpointSilent(str(address)))
            self._wakeup.set()

    @contextlib.contextmanager
    def watch_attempt(
        self, endpoint_id: str, *, is_repeatable: bool
    ) -> Iterator[None]:
        """Watches an attempt until its response head is received.

        If this daemon turns out to be cut off, a repeatable attempt is
        cancelled, and the block is left early.

        Args:
            endpoint_id: The endpoint that it is sent to.
            is_repeatable: Whether the request may be sent again.
        """
        endpoint = self._directory.get(endpoint_id)
        with anyio.CancelScope() as scope:
            attempt = _OpenAttempt(
                str(endpoint.entry.address) if endpoint else endpoint_id,
                time.monotonic(),
                scope if is_repeatable else None,
            )
            self._open_attempts.add(attempt)
            self._wakeup.set()
            try:
                yield
            finally:
                self._open_attempts.discard(attempt)

    def answered_peers(self) -> list[PeerState]:
        """Returns the live peers that endpoints answered just now."""
        now_s = time.monotonic()
        return [p for p in self._peers.live() if _is_answered(p, now_s)]

    def relay_address(self, daemon_id: str) -> str | None:
        """Returns where a peer listens for relayed requests, or None."""
        peer = self._peers.get(daemon_id)
        return peer.ping.relay or None if peer else None

    async def run(self) -> None:
        """Looks for silent endpoints, and probes, until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            while True:
                await self._wakeup.wait()
                await anyio.sleep(_TICK_INTERVAL_S)
                self._tick()
                if not (self._open_attempts or self._core.is_suspicious):
                    self._wakeup = anyio.Event()

    def _tick(self) -> None:
        now_s = time.monotonic()
        for attempt in list(self._open_attempts):
            is_old = now_s - attempt.started_s >= _SILENCE_S
            if is_old and not self.has_answer_since(attempt.started_s):
                self._feed(EndpointSilent(attempt.address))
        # The list of endpoints may be long, and only a suspicion needs it.
        is_suspicious = self._core.is_suspicious
        endpoints = self._in_probe_order() if is_suspicious else ()
        self._feed(ReachTick(endpoints, bool(self.answered_peers())))

    def _in_probe_order(self) -> tuple[str, ...]:
        """Returns the endpoints at random, by what an answer would tell.

        Those of failure domains without silent endpoints come first: if one
        domain is cut off, its endpoints say nothing about this daemon's links.
        Then those with open connections: new ones are priced, and take
        endpoints time.
        """
        by_address = self._entries()
        silent_domains = {
            by_address[address].domain
            for address in self._core.silent
            if address in by_address
        }
        entries = list(by_address.values())
        random.shuffle(entries)
        entries.sort(
            key=lambda e: (
                e.domain in silent_domains,
                not self._http.has_connection(e.address),
            )
        )
        return tuple(str(entry.address) for entry in entries)

    def _entries(self) -> dict[str, EndpointEntry]:
        """Returns the entries of endpoints that should answer, by address."""
        return {
            str(e.entry.address): e.entry
            for e in self._directory.all()
            if self._directory.accepts(e.entry) and e.absent_since_s is None
        }

    def _feed(self, event: object) -> None:
        for action in self._core.handle(event, time.monotonic()):
            if isinstance(action, AskPeers):
                self._ask_peers()
            elif isinstance(action, ProbeEndpoints):
                self._probe_all(action.endpoints)
        if self._core.is_cut_off != self._was_cut_off:
            self._was_cut_off = self._core.is_cut_off
            self._log_change()

    def receive(self, envelope, message: object) -> None:
        """Handles a peer's question; ignores other messages."""
        del envelope
        if not isinstance(message, ReachQuestion):
            return
        is_fresh = self.has_answer_since(time.monotonic() - _STALE_ANSWER_S)
        if not is_fresh:
            self._probe_all(self._in_probe_order()[:1])

    def _ask_peers(self) -> None:
        live = [p.daemon_id for p in self._peers.live()]
        chosen = random.sample(live, min(_ASKED_PEERS, len(live)))
        self._network.send_datagrams(chosen, ReachQuestion())

    def _probe_all(self, addresses: tuple[str, ...]) -> None:
        if self._tasks is None:
            return
        entries = self._entries()
        for address in addresses:
            if address in entries:
                self._tasks.start_soon(self._probe, entries[address])

    def _log_change(self) -> None:
        event = "endpoints_lost" if self.is_cut_off else "endpoints_regained"
        self._metrics.count(event)
        self._log.record(
            event,
            answer_age_s=self.answer_age_s(),
            silent=sorted(self._core.silent),
            answered_peers=[
                [p.daemon_id, p.ping.answer_age_s]
                for p in self.answered_peers()
            ],
        )
        if self.is_cut_off:
            self._interrupt_attempts()

    def _interrupt_attempts(self) -> None:
        """Cancels the attempts that another way may serve."""
        for attempt in self._open_attempts:
            is_silent = not self.has_answer_since(attempt.started_s)
            if attempt.scope is not None and is_silent:
                attempt.scope.cancel()

    async def _probe(self, entry: EndpointEntry) -> None:
        """Asks an endpoint for its health; any answer counts.

        The client records the outcome. An idle connection is used if there is
        one: it may still work while new ones are refused. An endpoint that
        limits its rate and has no room isn't asked.
        """
        permit = await self._permits.acquire(entry, Urgency.PATIENT, 0.0)
        if isinstance(permit, Denial):
            return
        self._metrics.count("reach_probes")
        await anyio.sleep(max(0.0, permit.start_at_s - time.monotonic()))
        sent_at_s = time.monotonic()
        try:
            response = await self._http.request(
                "GET",
                entry.address,
                self._health_path(entry.pool),
                timeout_s=_PROBE_TIMEOUT_S,
                may_send=lambda: (
                    self._directory.accepts(entry)
                    and self._permits.may_send(permit)
                ),
            )
        except RequestWithdrawnError:
            return
        except RequestFailedError as exc:
            self._feed(EndpointSilent(str(entry.address), is_probe=True))
            self._log.record(
                "probe_failed", endpoint=entry.endpoint_id, reason=str(exc)
            )
            return
        self._record_response(entry, response, sent_at_s)


def _is_answered(peer: PeerState, now_s: float) -> bool:
    """Whether a peer says that an endpoint answered it just now."""
    ping = peer.ping
    if ping.is_cut_off or ping.answer_age_s is None:
        return False
    ping_age_s = now_s - peer.last_ping_at_s
    return ping.answer_age_s + ping_age_s <= _MAX_ANSWER_AGE_S
