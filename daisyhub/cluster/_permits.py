"""Permits for endpoints that limit their rate, decided for all daemons.

The limit is a bound on the sum over all daemons. One live daemon decides for an
endpoint: the first by rendezvous hashing in its own view of the cluster; the
others ask it for each request. A daemon that isn't the first in its own view
grants nothing, so that two decide only while they can't hear each other.

At a cold endpoint the rate holds also then: the deciding daemon grants the
share of it that the daemons which it hears have among all that it knows.
"""

import math
import time
from collections.abc import Callable

from daisyhub.balancing import (
    BecameCold,
    Bound,
    Coldness,
    Denial,
    EndpointProcess,
    Grant,
    LocalPermits,
    RateLimit,
    Urgency,
)
from daisyhub.cluster._endpoint_messages import (
    ColdNotification,
    PermitRequest,
    PermitResponse,
    RateLimitNotification,
)
from daisyhub.cluster._owners import OwnerTable
from daisyhub.cluster._peers import PeerTable
from daisyhub.fleet_settings import parse_address
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.peers import PeerNetwork, PeerUnreachableError

__all__ = ["SharedPermits"]

# Timeout of a request for a permit: some round trips between failure domains
# and the stall of a busy daemon.
_CALL_TIMEOUT_S = 0.15
# Seconds for which a daemon that did not respond isn't asked again, and after
# which an endpoint is asked for again whose daemon is unknown or disputed. A
# daemon that is lost is replaced within a few pings.
_RETRY_DELAY_S = 0.4
# Seconds by which the news of a peer must prolong what is known of a cold
# endpoint: they differ by the time that messages take.
_COLD_TOLERANCE_S = 0.1
# Seconds after its start for which a daemon grants nothing at cold endpoints.
# All daemons may have started together, and know few of the others until then:
# the addresses of a few hundred spread within three to four rounds of pings.
_COLD_START_S = 2.0


class SharedPermits(LocalPermits):
    """Permits that one daemon at a time decides about for each endpoint.

    Args:
        owners: Tells which daemon decides.
        network: Asks and tells other daemons.
        peers: The live daemons, which are told of new limits.
        metrics: Counts decisions.
        log: Log of limits.
        coldness: Tells which endpoints are cold; by default none.
        may_tell: Whether this daemon tells peers that an entry became cold.
            A daemon that gets entries through another one needn't.
    """

    def __init__(
        self,
        owners: OwnerTable,
        network: PeerNetwork,
        peers: PeerTable,
        metrics: Metrics,
        log: DecisionLog,
        coldness: Coldness | None = None,
        may_tell: Callable[[], bool] = lambda: True,
    ):
        super().__init__(coldness)
        self._may_tell = may_tell
        self._started_at_s = time.monotonic()
        self._owners = owners
        self._network = network
        self._peers = peers
        self._metrics = metrics
        self._log = log
        self._silent_until_s: dict[str, float] = {}

    def receive(self, envelope, message: object) -> None:
        """Handles a peer's news of a limit; ignores other messages."""
        if isinstance(message, RateLimitNotification):
            self._record(message, envelope.sender)
        elif isinstance(message, ColdNotification):
            process = self._read_process(message, envelope.sender)
            if process is not None:
                self._learn_cold(
                    process, message.left_s, message.per_s, envelope.sender
                )

    async def handle_request(self, request: PermitRequest) -> PermitResponse:
        """Decides about a peer's request."""
        process = self._record(request, "")
        if process is None:
            return PermitResponse(is_decided=False)
        self._learn_cold(process, request.cold_left_s, request.cold_per_s, "")
        bound = self._bound(process)
        limit = self._limits.get(process)
        now_s = time.monotonic()
        if limit is None and not bound.is_cold:
            return PermitResponse(is_decided=False)
        statement = self._cold_statement(process, bound)
        if limit is not None:
            statement["rate_per_s"] = limit.per_s
            statement["age_s"] = now_s - limit.valid_from_s
        if not bound.is_finite:
            return PermitResponse(is_decided=True, **statement)
        if not self._owners.is_own(_key(process)):
            return PermitResponse(is_decided=False, **statement)
        decision = self._decide_here(
            process,
            bound,
            Urgency.URGENT if request.is_urgent else Urgency.PATIENT,
            request.max_wait_s,
            now_s,
        )
        is_granted = isinstance(decision, Grant)
        start_s = decision.start_at_s if is_granted else decision.room_at_s
        return PermitResponse(
            is_decided=True,
            is_granted=is_granted,
            wait_s=start_s - now_s,
            **statement,
        )

    async def _decide(
        self,
        process: EndpointProcess,
        bound: Bound,
        urgency: Urgency,
        max_wait_s: float,
    ) -> Grant | Denial:
        owner = self._owners.owner_of(_key(process))
        if owner == self._owners.own_id:
            decision = self._decide_here(
                process, bound, urgency, max_wait_s, time.monotonic()
            )
        else:
            decision = await self._ask(
                owner, process, bound, urgency, max_wait_s
            )
        is_granted = isinstance(decision, Grant)
        self._metrics.count(
            "endpoint_permits",
            urgency=urgency.value,
            result="granted" if is_granted else "denied",
            bound="cold" if bound.is_cold else "limit",
        )
        return decision

    def _decide_here(
        self,
        process: EndpointProcess,
        bound: Bound,
        urgency: Urgency,
        max_wait_s: float,
        now_s: float,
    ) -> Grant | Denial:
        """Decides about a request to a process that is this daemon's."""
        per_s = bound.per_s
        if bound.is_cold:
            per_s *= self._owners.live_share()
            ready_at_s = self._started_at_s + _COLD_START_S
            if now_s < ready_at_s:
                return Denial(ready_at_s)
        return self._core.request(
            process, per_s, urgency, max_wait_s, now_s, is_strict=bound.is_cold
        )

    def _cold_statement(
        self, process: EndpointProcess, bound: Bound
    ) -> dict[str, float]:
        """Returns the fields of a message that state a process's coldness."""
        if not bound.is_cold:
            return {}
        return {
            "cold_left_s": self._coldness.left_s(process),
            "cold_per_s": self._coldness.per_s(process),
        }

    async def _ask(
        self,
        owner: str,
        process: EndpointProcess,
        bound: Bound,
        urgency: Urgency,
        max_wait_s: float,
    ) -> Grant | Denial:
        """Asks the daemon that decides; without a response, denies."""
        now_s = time.monotonic()
        if now_s < self._silent_until_s.get(owner, now_s):
            return Denial(self._silent_until_s[owner])
        limit = self._limits.get(process)
        request = PermitRequest(
            endpoint_id=process.endpoint_id,
            incarnation=process.incarnation,
            address=str(process.address),
            rate_per_s=limit.per_s if limit else math.inf,
            age_s=now_s - limit.valid_from_s if limit else math.inf,
            is_urgent=urgency is Urgency.URGENT,
            max_wait_s=max_wait_s,
            **self._cold_statement(process, bound),
        )
        try:
            response = await self._network.call(owner, request, _CALL_TIMEOUT_S)
        except PeerUnreachableError as exc:
            until_s = time.monotonic() + _RETRY_DELAY_S
            self._silent_until_s[owner] = until_s
            self._log.record("permit_unanswered", peer=owner, reason=str(exc))
            return Denial(until_s)
        self._silent_until_s.pop(owner, None)
        received_at_s = time.monotonic()
        if response.rate_per_s is not None:
            self._learn(
                process,
                RateLimit(response.rate_per_s, received_at_s - response.age_s),
                owner,
            )
        self._learn_cold(
            process, response.cold_left_s, response.cold_per_s, owner
        )
        if not response.is_decided:
            return Denial(received_at_s + _RETRY_DELAY_S)
        if response.is_granted:
            return Grant(received_at_s + response.wait_s)
        return Denial(received_at_s + response.wait_s)

    def _record(
        self, news: RateLimitNotification | PermitRequest, peer: str
    ) -> EndpointProcess | None:
        """Records a peer's statement; returns its process if it is valid."""
        process = self._read_process(news, peer)
        if process is None:
            return None
        valid_from_s = time.monotonic() - news.age_s
        self._learn(process, RateLimit(news.rate_per_s, valid_from_s), peer)
        return process

    def _read_process(
        self,
        news: RateLimitNotification | ColdNotification | PermitRequest,
        peer: str,
    ) -> EndpointProcess | None:
        """Returns the process that a message names; None if it is invalid."""
        try:
            address = parse_address(news.address)
        except ValueError as exc:
            self._log.record("limit_news_invalid", peer=peer, reason=str(exc))
            return None
        return EndpointProcess(news.endpoint_id, news.incarnation, address)

    def _learn_cold(
        self, process: EndpointProcess, left_s: float, per_s: float, peer: str
    ) -> None:
        """Records that a peer knows a process to be cold."""
        if left_s > self._coldness.left_s(process) + _COLD_TOLERANCE_S:
            began = self._coldness.observe_peer(process, left_s, per_s, peer)
            if began is not None:
                self._core.restart_strict(began.process)

    def _learn(
        self, process: EndpointProcess, limit: RateLimit, peer: str
    ) -> None:
        """Records a statement that a peer received."""
        if self._limits.record(process, limit):
            self._forget_denials(process)
            self._log_change(process, limit, peer)

    def _on_change(self, process: EndpointProcess, limit: RateLimit) -> None:
        """Tells the live peers of a limit that begins or ends.

        A daemon that misses it learns it from a response of the endpoint, or
        from the daemon that decides.
        """
        self._log_change(process, limit, "")
        news = RateLimitNotification(
            endpoint_id=process.endpoint_id,
            incarnation=process.incarnation,
            address=str(process.address),
            rate_per_s=limit.per_s,
            age_s=time.monotonic() - limit.valid_from_s,
        )
        self._network.send_datagrams(
            [peer.daemon_id for peer in self._peers.live()], news
        )

    def _on_cold(self, began: BecameCold, *, is_listed: bool) -> None:
        """Tells the live peers of a known process that became cold.

        They may learn it later from the list, and send at the usual rate until
        then. Of a new process they learn at once with its entry.
        """
        is_told = is_listed and not self._may_tell()
        if is_told or not began.was_known:
            return
        news = ColdNotification(
            endpoint_id=began.process.endpoint_id,
            incarnation=began.process.incarnation,
            address=str(began.process.address),
            left_s=began.left_s,
            per_s=began.per_s,
        )
        self._network.send_datagrams(
            [peer.daemon_id for peer in self._peers.live()], news
        )

    def _log_change(
        self, process: EndpointProcess, limit: RateLimit, peer: str
    ) -> None:
        event = "endpoint_limited" if limit.is_finite else "endpoint_unlimited"
        self._metrics.count(event)
        self._log.record(
            event,
            endpoint=process.endpoint_id,
            incarnation=process.incarnation,
            rate_per_s=limit.per_s if limit.is_finite else None,
            peer=peer,
            decided_by=self._owners.owner_of(_key(process)),
        )


def _key(process: EndpointProcess) -> str:
    return f"{process.endpoint_id}|{process.incarnation}|{process.address}"
