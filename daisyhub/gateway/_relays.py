"""Sends requests through peers while this daemon can't reach the endpoints.

One hop only: a peer sends what it gets to an endpoint, or refuses it. It makes
a single attempt, so that all daemons together keep to the attempts of the
route, which are counted where the caller came in.
"""

import abc
import collections
import contextlib
import dataclasses
import random
import time

from daisyhub.cluster import PeerState, ReachMonitor
from daisyhub.connections import (
    HttpClient,
    HttpResponse,
    RequestFailedError,
    StreamedResponse,
)
from daisyhub.exceptions import ExecutionStatus
from daisyhub.filters import AttemptCompleted, AttemptOutcome, StartAttempt
from daisyhub.fleet_settings import parse_address
from daisyhub.gateway._relay_messages import (
    RELAY_PATH,
    RelayedRequest,
    encode_request,
    read_result,
)
from daisyhub.gateway._send_outcomes import make_failed_outcome
from daisyhub.gateway._send_task import SendState
from daisyhub.messages import Header
from daisyhub.metrics import Metrics

__all__ = ["NoRelays", "PeerRelays", "Relays"]

_PREFIX = "peer "
# The peer's deadline is this much before the caller's, for the way back.
_PEER_MARGIN_S = 0.01
# Factor by which a peer of another failure domain counts as more loaded: what
# crosses domains is priced, but a busy peer costs more.
_OTHER_DOMAIN_FACTOR = 1.5


class Relays(abc.ABC):
    """Peers that can send a request to an endpoint for this daemon."""

    @abc.abstractmethod
    def choose(
        self, state: SendState, excluded: frozenset[str], since_s: float
    ) -> str | None:
        """Returns the id of a peer for the next attempt.

        Args:
            state: The request.
            excluded: Ids of the endpoints and peers that were tried.
            since_s: When the request arrived, on the monotonic clock.

        Returns:
            None if the attempt is to be sent to an endpoint.
        """

    @abc.abstractmethod
    def watch_attempt(
        self, endpoint_id: str, *, is_repeatable: bool
    ) -> contextlib.AbstractContextManager[None]:
        """Returns a context for an attempt at an endpoint.

        A repeatable attempt is cancelled, and the block left early, once it
        turns out that this daemon is cut off.
        """

    @abc.abstractmethod
    def is_relay(self, endpoint_id: str) -> bool:
        """Whether an id is that of a peer."""

    @abc.abstractmethod
    async def send(
        self, state: SendState, action: StartAttempt
    ) -> AttemptOutcome:
        """Sends a request through a peer."""


class NoRelays(Relays):
    """Relays of a daemon without peers, and for requests of peers."""

    def choose(
        self, state: SendState, excluded: frozenset[str], since_s: float
    ) -> str | None:
        """Returns None; see `Relays.choose`."""

    def watch_attempt(
        self, endpoint_id: str, *, is_repeatable: bool
    ) -> contextlib.AbstractContextManager[None]:
        """Cancels nothing; see `Relays.watch_attempt`."""
        return contextlib.nullcontext()

    def is_relay(self, endpoint_id: str) -> bool:
        """Returns False; see `Relays.is_relay`."""
        return False

    async def send(
        self, state: SendState, action: StartAttempt
    ) -> AttemptOutcome:
        """Is never called, as no peer is chosen."""
        raise NotImplementedError


class PeerRelays(Relays):
    """Relays through live peers that endpoints answer.

    Args:
        own_id: Id of this daemon.
        domain: Its failure domain.
        reach: Tells whether endpoints answer this daemon and its peers.
        http: HTTP client for peers.
        metrics: Counts attempts through peers.
    """

    def __init__(
        self,
        own_id: str,
        domain: str,
        reach: ReachMonitor,
        http: HttpClient,
        metrics: Metrics,
    ):
        self._own_id = own_id
        self._domain = domain
        self._reach = reach
        self._http = http
        self._metrics = metrics
        self._open: collections.Counter[str] = collections.Counter()

    def choose(
        self, state: SendState, excluded: frozenset[str], since_s: float
    ) -> str | None:
        """Returns a peer if this daemon seems to be cut off.

        A repeat goes through a peer, too, if an endpoint was contacted and
        none answered since the request arrived; see `Relays.choose`.
        """
        is_unanswered = state.exchanges > 0 and not (
            self._reach.has_answer_since(since_s)
        )
        if state.task.is_relayed or not (
            self._reach.is_cut_off or is_unanswered
        ):
            return None
        found = [
            peer
            for peer in self._reach.answered_peers()
            if peer.ping.relay
            and not peer.ping.is_leaving
            and _PREFIX + peer.daemon_id not in excluded
        ]
        if not found:
            return None
        return _PREFIX + min(found, key=self._load).daemon_id

    def watch_attempt(
        self, endpoint_id: str, *, is_repeatable: bool
    ) -> contextlib.AbstractContextManager[None]:
        """Watches an attempt; see `Relays.watch_attempt`."""
        return self._reach.watch_attempt(
            endpoint_id, is_repeatable=is_repeatable
        )

    def is_relay(self, endpoint_id: str) -> bool:
        """Whether an id is that of a peer."""
        return endpoint_id.startswith(_PREFIX)

    async def send(
        self, state: SendState, action: StartAttempt
    ) -> AttemptOutcome:
        """Sends a request through a peer; see `Relays.send`."""
        peer_id = action.endpoint_id.removeprefix(_PREFIX)
        started_s = time.monotonic()
        result = "cancelled"
        self._open[peer_id] += 1
        self._metrics.count("relayed_attempts")
        try:
            outcome, result = await self._exchange(state, action, peer_id)
            return outcome
        finally:
            self._open[peer_id] -= 1
            took_s = time.monotonic() - started_s
            state.trace.append(
                f"{action.endpoint_id}: {result} after {took_s:.3f} s"
            )

    async def _exchange(
        self, state: SendState, action: StartAttempt, peer_id: str
    ) -> tuple[AttemptOutcome, str]:
        """Returns the outcome of an attempt, and its description."""
        try:
            address = parse_address(self._reach.relay_address(peer_id) or "")
        except ValueError as exc:
            outcome = make_failed_outcome(
                action,
                ExecutionStatus.NOT_RUN,
                was_sent=False,
                is_withdrawn=True,
            )
            return outcome, f"the peer is gone, or: {exc}"
        state.sent += 1
        try:
            response = await self._call(state, address)
        except RequestFailedError as exc:
            state.sent -= exc.ran is ExecutionStatus.NOT_RUN
            return _make_lost_outcome(action, exc.ran, exc.timed_out), str(exc)
        try:
            stated, headers = read_result(response.headers)
        except ValueError as exc:
            await _close(response)
            return _make_lost_outcome(action, ExecutionStatus.UNKNOWN), str(exc)
        response = _with_headers(response, headers)
        if not stated.is_answered:
            await _close(response)
            state.sent -= stated.ran is ExecutionStatus.NOT_RUN
            outcome = make_failed_outcome(
                action,
                stated.ran,
                was_sent=stated.was_sent,
                incomplete=stated.ran is ExecutionStatus.RAN,
            )
            return outcome, stated.detail
        state.is_answered = True
        state.answered_by = stated.release
        return (
            AttemptOutcome(AttemptCompleted(action.attempt), response),
            f"status {response.status}",
        )

    async def _call(self, state: SendState, address):
        """Returns the peer's response, streamed or buffered as required.

        Raises:
            RequestFailedError: No whole response, or head of a stream, was
                received.
        """
        task = state.task
        remaining_s = max(0.0, task.deadline_s - time.monotonic())
        body = encode_request(
            RelayedRequest(
                sender=self._own_id,
                request_id=task.request_id,
                route=task.route,
                method=task.method,
                target=task.target,
                host=task.host,
                headers=task.headers,
                body=task.body,
                account=task.account,
                remaining_s=max(0.0, remaining_s - _PEER_MARGIN_S),
                is_streamed=task.is_streamed,
                is_background=task.is_background,
                release=state.release,
            )
        )
        call = self._http.open if task.is_streamed else self._http.request
        lease = self._http.hold(len(body))
        try:
            return await call(
                "POST",
                address,
                RELAY_PATH,
                body=body,
                timeout_s=remaining_s,
                # A request that may run once isn't sent on a connection that
                # the peer may be closing.
                fresh=not task.route.idempotent,
                may_send=task.may_send,
            )
        finally:
            lease.release()

    def _load(self, peer: PeerState) -> tuple[float, float]:
        """Returns a sort key; the peer with the lowest one is chosen."""
        load = (self._open[peer.daemon_id] + 1) / max(peer.ping.speed, 0.01)
        if peer.ping.domain != self._domain:
            load *= _OTHER_DOMAIN_FACTOR
        return (load, random.random())


def _make_lost_outcome(
    action: StartAttempt, ran: ExecutionStatus, timed_out: bool = False
) -> AttemptOutcome:
    """Returns the outcome of an attempt of which the peer said nothing."""
    return make_failed_outcome(
        action,
        ran,
        timed_out=timed_out,
        incomplete=ran is ExecutionStatus.RAN,
        was_sent=ran is not ExecutionStatus.NOT_RUN,
    )


def _with_headers(
    response: HttpResponse | StreamedResponse, headers: tuple[Header, ...]
) -> HttpResponse | StreamedResponse:
    if isinstance(response, HttpResponse):
        return dataclasses.replace(response, headers=headers)
    response.headers = headers
    return response


async def _close(response: HttpResponse | StreamedResponse) -> None:
    if isinstance(response, StreamedResponse):
        await response.drain()
