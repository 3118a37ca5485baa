"""Lends shares of the accounts' rate limits between daemons of a domain.

Each daemon owns an equal share of every account's limit. A daemon that needs
more requests a loan from its peers; those that need less lend for a term. The
borrower counts the term from the time of its request. The lender counts it
from its later response and adds a margin, so that no part of a limit is used
at two daemons at once. A daemon that is cut off from its peers has its own
share back after a term and the margin.

A peer drops loans from a daemon's earlier incarnation before it responds to
the new one. Until all peers have responded, or all such loans have ended, a
restarted daemon uses only the part of its share that is never lent.

Shares are counted in quanta: an account's whole limit is `QUANTA_PER_DAEMON`
quanta for each configured daemon. Times are seconds on CLOCK_BOOTTIME.
"""

import dataclasses
from collections.abc import Mapping

from daisyhub.base import Core

__all__ = [
    "AccountQuanta",
    "LoanGranted",
    "LoanRequested",
    "SendLoanGrant",
    "SendLoanRequest",
    "ShareCore",
    "ShareTick",
]

QUANTA_PER_DAEMON = 16
# Never lent, so that a restarted daemon can use them at once.
_MIN_QUANTA = 2
# A lender keeps this multiple of its own demand.
_HEADROOM_FACTOR = 1.25
# More than one request per term renews loans before they end.
_REQUESTS_PER_TERM = 3

# Pairs of account and quanta.
AccountQuanta = tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShareTick:
    """Time has passed.

    Attributes:
        wanted: Demand at this daemon in quanta, for each account with recent
            requests.
        live: Ids of the live peers in the failure domain.
    """

    wanted: Mapping[str, int]
    live: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequested:
    """A peer requested quanta.

    Attributes:
        peer: The borrower.
        incarnation: Incarnation of the borrower.
        stamp_s: Time of the request on the borrower's clock.
        wants: Accounts and the quanta that the borrower's own share lacks.
    """

    peer: str
    incarnation: int
    stamp_s: float
    wants: AccountQuanta


@dataclasses.dataclass(frozen=True, slots=True)
class LoanGranted:
    """A peer responded to a loan request of this daemon.

    Attributes:
        peer: The lender.
        lender_incarnation: Incarnation of the lender.
        incarnation: Incarnation of the borrower, copied from the request.
        stamp_s: Time of the request, copied from it.
        grants: Accounts and lent quanta, which may be 0.
    """

    peer: str
    lender_incarnation: int
    incarnation: int
    stamp_s: float
    grants: AccountQuanta


@dataclasses.dataclass(frozen=True, slots=True)
class SendLoanRequest:
    """Action: send a loan request to a peer."""

    peer: str
    incarnation: int
    stamp_s: float
    wants: AccountQuanta


@dataclasses.dataclass(frozen=True, slots=True)
class SendLoanGrant:
    """Action: respond to a loan request, with its incarnation and stamp."""

    peer: str
    incarnation: int
    stamp_s: float
    grants: AccountQuanta


@dataclasses.dataclass(frozen=True, slots=True)
class _Loan:
    """Quanta lent until `until_s`; `stamp_s` is that of the loan request."""

    quanta: int
    stamp_s: float
    until_s: float


class ShareCore(Core):
    """Decides which quanta to borrow and which to lend.

    Args:
        incarnation: Incarnation of this daemon.
        daemons: Number of configured daemons of the failure domain, this one
            included.
        term_s: Term of a loan in seconds.
        margin_s: Seconds that the lender waits beyond the term.
        started_s: When this process started, on the core's clock.

    Attributes:
        total: Quanta that make up an account's whole limit.
    """

    def __init__(
        self,
        incarnation: int,
        daemons: int,
        term_s: float,
        margin_s: float,
        started_s: float,
    ):
        self.total = QUANTA_PER_DAEMON * daemons
        self._incarnation = incarnation
        self._term_s = term_s
        self._margin_s = margin_s
        self._restricted_until_s = started_s + term_s + margin_s
        self._peer_count = daemons - 1
        self._confirmed_peers: set[str] = set()
        self._incarnations: dict[str, int] = {}
        # Loans by account, then by peer.
        self._lent: dict[str, dict[str, list[_Loan]]] = {}
        self._borrowed: dict[str, dict[str, _Loan]] = {}
        self._pending_requests: dict[str, LoanRequested] = {}
        self._next_request_s = started_s

    @property
    def next_wakeup_s(self) -> float | None:
        """None: the tick of the peer controller drives the core."""
        return None

    def quanta(self, account: str, now_s: float) -> int:
        """Returns the quanta of an account's limit that are usable here now."""
        return self._own_quanta(account, now_s) + self._borrowed_quanta(
            account, now_s
        )

    def share(self, account: str, now_s: float) -> float:
        """Returns the usable share of an account's limit, 0 to 1."""
        return self.quanta(account, now_s) / self.total

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event and returns the messages to send to peers."""
        match event:
            case ShareTick():
                return self._on_tick(event, now_s)
            case LoanRequested():
                self._record_incarnation(event.peer, event.incarnation)
                self._pending_requests[event.peer] = event
                return []
            case LoanGranted():
                self._on_grant(event)
                return []
        raise TypeError(f"not a share event: {event!r}")

    def _on_tick(self, event: ShareTick, now_s: float) -> list[object]:
        """Responds to loan requests and sends requests if they are due.

        A restricted daemon sends requests at every tick, also without demand,
        since the responses end the restriction.
        """
        self._drop_ended_loans(now_s)
        actions = self._respond_to_requests(event, now_s)
        if now_s < self._next_request_s:
            return actions
        wants = self._missing_quanta(event, now_s)
        if not wants and not self._is_restricted(now_s):
            return actions
        if not self._is_restricted(now_s):
            self._next_request_s = now_s + self._term_s / _REQUESTS_PER_TERM
        for peer in event.live:
            actions.append(
                SendLoanRequest(peer, self._incarnation, now_s, wants)
            )
        return actions

    def _missing_quanta(self, event: ShareTick, now_s: float) -> AccountQuanta:
        """Returns the quanta that this daemon's own share lacks.

        Borrowed quanta aren't deducted, since a request also renews loans.
        """
        missing = []
        for account, wanted in sorted(event.wanted.items()):
            usable = min(wanted, self.total)
            lacking = usable - self._own_quanta(account, now_s)
            if lacking > 0:
                missing.append((account, lacking))
        return tuple(missing)

    def _respond_to_requests(
        self, event: ShareTick, now_s: float
    ) -> list[object]:
        requests, self._pending_requests = self._pending_requests, {}
        requested: dict[str, int] = {}
        for request in requests.values():
            for account, quanta in request.wants:
                requested[account] = requested.get(account, 0) + quanta
        spare = {
            account: self._spare_quanta(event.wanted.get(account, 0), now_s)
            for account in requested
        }
        return [
            self._grant_loan(request, requested, spare, now_s)
            for _, request in sorted(requests.items())
        ]

    def _spare_quanta(self, wanted: int, now_s: float) -> int:
        if self._is_restricted(now_s):
            return 0
        kept = max(_MIN_QUANTA, int(wanted * _HEADROOM_FACTOR))
        return max(0, QUANTA_PER_DAEMON - kept)

    def _grant_loan(
        self, request: LoanRequested, requested, spare, now_s: float
    ) -> SendLoanGrant:
        """Lends spare quanta in proportion to the requested quanta.

        Earlier loans to the same peer don't reduce the new loan, which
        replaces them at the peer.
        """
        grants = []
        for account, wanted in request.wants:
            portion = spare[account] * wanted // requested[account]
            max_loan = QUANTA_PER_DAEMON - _MIN_QUANTA
            max_loan -= self._lent_quanta(
                account, now_s, except_peer=request.peer
            )
            quanta = max(0, min(wanted, portion, max_loan))
            grants.append((account, quanta))
            self._record_loan(account, request, quanta, now_s)
        return SendLoanGrant(
            request.peer, request.incarnation, request.stamp_s, tuple(grants)
        )

    def _record_loan(
        self, account, request: LoanRequested, quanta, now_s
    ) -> None:
        """Records a loan and keeps earlier ones.

        The borrower uses an earlier loan until the new grant arrives.
        """
        if not quanta:
            return
        until_s = now_s + self._term_s + self._margin_s
        loans = self._lent.setdefault(account, {}).setdefault(request.peer, [])
        loans.append(_Loan(quanta, request.stamp_s, until_s))

    def _on_grant(self, event: LoanGranted) -> None:
        self._record_incarnation(event.peer, event.lender_incarnation)
        is_current = (
            event.incarnation == self._incarnation
            and event.lender_incarnation == self._incarnations[event.peer]
        )
        if not is_current:
            return
        self._confirmed_peers.add(event.peer)
        for account, quanta in event.grants:
            loans = self._borrowed.setdefault(account, {})
            previous = loans.get(event.peer)
            if previous is not None and previous.stamp_s >= event.stamp_s:
                continue
            until_s = event.stamp_s + self._term_s
            loans[event.peer] = _Loan(quanta, event.stamp_s, until_s)

    def _record_incarnation(self, peer: str, incarnation: int) -> None:
        """Records a peer's incarnation and drops loans from earlier ones."""
        if incarnation <= self._incarnations.get(peer, 0):
            return
        self._incarnations[peer] = incarnation
        for loans in self._borrowed.values():
            loans.pop(peer, None)

    def _is_restricted(self, now_s: float) -> bool:
        """Returns whether peers may use loans of an earlier incarnation.

        The loans are those that this daemon lent before it restarted. Peers
        whose responses have arrived use none.
        """
        is_confirmed = len(self._confirmed_peers) >= self._peer_count
        return now_s < self._restricted_until_s and not is_confirmed

    def _own_quanta(self, account: str, now_s: float) -> int:
        if self._is_restricted(now_s):
            return _MIN_QUANTA
        return QUANTA_PER_DAEMON - self._lent_quanta(account, now_s)

    def _lent_quanta(self, account, now_s: float, except_peer: str = "") -> int:
        """Returns the quanta of this daemon's share that peers may use.

        Of several loans to one peer the largest counts, since the peer uses
        one of them at a time.
        """
        return sum(
            max((x.quanta for x in loans if now_s < x.until_s), default=0)
            for peer, loans in self._lent.get(account, {}).items()
            if peer != except_peer
        )

    def _borrowed_quanta(self, account: str, now_s: float) -> int:
        loans = self._borrowed.get(account)
        if not loans:
            return 0
        return sum(x.quanta for x in loans.values() if now_s < x.until_s)

    def _drop_ended_loans(self, now_s: float) -> None:
        for account, peers in list(self._lent.items()):
            for peer, loans in list(peers.items()):
                peers[peer] = [x for x in loans if now_s < x.until_s]
                if not peers[peer]:
                    del peers[peer]
            if not peers:
                del self._lent[account]
        for account, loans in list(self._borrowed.items()):
            for peer, loan in list(loans.items()):
                if now_s >= loan.until_s:
                    del loans[peer]
            if not loans:
                del self._borrowed[account]
