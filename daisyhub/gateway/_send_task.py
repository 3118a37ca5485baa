"""A request to send to an endpoint, and its state across attempts."""

import dataclasses
import hashlib
from collections.abc import Callable

from daisyhub.balancing import EndpointEntry, Release, Urgency
from daisyhub.catalog import Route
from daisyhub.messages import Header, Resumption

__all__ = ["SendState", "SendTask"]

# Long enough that nobody finds another request with the same digest.
_DIGEST_BYTES = 16
_DIGEST_PURPOSE = b"request-content"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendTask:
    """A request to send to an endpoint of its route.

    Attributes:
        request_id: Id that the caller sent, or id of a reward call.
        route: Route of the request.
        method: HTTP method.
        target: Path and query, sent unchanged.
        host: Value of the `Host` header.
        headers: The caller's headers.
        body: The complete body.
        account: Client account to send; empty for none.
        deadline_s: Monotonic time by which the response must be complete.
        is_streamed: Whether the response is streamed instead of buffered.
        resumption: The stream that the request goes on with; None if it
            begins anew.
        is_background: Whether no caller waits for this response itself. A
            hedge is then sent only after the target latency.
        is_relayed: Whether a peer accepted the request. It is then sent to an
            endpoint by this daemon, never to another peer.
        may_send: Whether the request is still wanted, called before each
            attempt is sent.
    """

    request_id: str
    route: Route
    method: str
    target: str
    host: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    account: str = ""
    deadline_s: float
    is_streamed: bool = False
    resumption: Resumption | None = None
    is_background: bool = False
    is_relayed: bool = False
    may_send: Callable[[], bool] = lambda: True

    def content_digest(self) -> bytes:
        """Returns a digest that is equal for repeats of the same request.

        Repeats have ids of their own. The account is part of it, so that no
        caller can make a request whose digest is that of another account's.
        """
        hashed = hashlib.blake2b(
            digest_size=_DIGEST_BYTES, person=_DIGEST_PURPOSE
        )
        for part in (self.account, self.method, self.host, self.target):
            hashed.update(f"{len(part)}:{part}".encode())
        hashed.update(self.body)
        return hashed.digest()


@dataclasses.dataclass(slots=True)
class SendState:
    """State of one request across its attempts.

    Attributes:
        task: The request.
        digest: Digest of its content.
        release: The release that must serve it; None for any.
        trace: A description of each ended attempt, for the log.
        tried: Ids of the endpoints that were tried.
        sent: Number of attempts that run or may have run.
        exchanges: Number of attempts for which an endpoint was contacted.
        max_wait_s: How long the request may wait for room at an endpoint that
            limits its rate.
        is_answered: Whether an attempt got a response that is delivered.
        responding: The endpoint whose response is streamed, and when the
            request was sent to it.
        answered_by: The release of the endpoint whose response is streamed,
            also through a peer; None if unknown.
    """

    task: SendTask
    digest: bytes
    release: Release | None = None
    trace: list[str] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)
    sent: int = 0
    exchanges: int = 0
    max_wait_s: float = 0.0
    is_answered: bool = False
    responding: tuple[EndpointEntry, float] | None = None
    answered_by: Release | None = None

    @property
    def urgency(self) -> Urgency:
        """How urgent the request is at an endpoint that limits its rate."""
        is_background = self.task.is_background
        return Urgency.PATIENT if is_background else Urgency.URGENT

    def record_attempt(self, endpoint_id: str) -> bool:
        """Records an attempt; returns whether it must use a new connection.

        A request that isn't idempotent can't be repeated if the endpoint has
        closed an idle connection. A second attempt at an endpoint must not use
        a connection that may be as unresponsive as the one of the first. A
        first attempt at another endpoint may reuse a connection, although the
        core's `StartAttempt.fresh` is set.
        """
        is_repeated = endpoint_id in self.tried
        self.tried.add(endpoint_id)
        return is_repeated or not self.task.route.idempotent
