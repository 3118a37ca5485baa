"""Shares of the accounts' limits, lent between the daemons of a domain.

Each daemon owns an even share of every account's limit. One that needs more
asks its peers, and those that need less lend for a term. A loan counts at
the borrower from the moment before it asked, and at the lender from its
answer, so that no part of a limit is used at two daemons at one time. Cut off
from its peers, a daemon has its own share again after a term. A restarted
one uses little until all peers have told that they use nothing lent by its
earlier incarnation, or until every such loan has ended. Shares are whole
quanta; times are seconds on CLOCK_BOOTTIME.
"""

import dataclasses
from collections.abc import Mapping

from daisyhub.base import Core

__all__ = [
    "LoanRequested",
    "LoanGranted",
    "SendLoanRequest",
    "SendLoanGrant",
    "ShareCore",
    "ShareTick",
    "Wants",
]

BASE_QUANTA = 16
_FLOOR_QUANTA = 2
_HEADROOM = 1.25
_ASKS_PER_TERM = 3

Wants = tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShareTick:
    """Time has passed.

    Attributes:
        wanted: Quanta that each account could use here; only for accounts
            that were seen lately.
        live: Peers of the domain.
    """

    wanted: Mapping[str, int]
    live: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequested:
    """A peer asks for quanta; `stamp_s` and `incarnation` are its own."""

    peer: str
    incarnation: int
    stamp_s: float
    wants: Wants


@dataclasses.dataclass(frozen=True, slots=True)
class LoanGranted:
    """A peer lends quanta in answer to the ask of `stamp_s`.

    Attributes:
        peer: The lender.
        lender_incarnation: Start of the lender.
        incarnation: Of the asker, as in the ask.
        stamp_s: As in the ask.
        grants: Accounts and quanta.
    """

    peer: str
    lender_incarnation: int
    incarnation: int
    stamp_s: float
    grants: Wants


@dataclasses.dataclass(frozen=True, slots=True)
class SendLoanRequest:
    """Action: ask a peer."""

    peer: str
    incarnation: int
    stamp_s: float
    wants: Wants


@dataclasses.dataclass(frozen=True, slots=True)
class SendLoanGrant:
    """Action: answer a peer's ask; `incarnation` is that of the ask."""

    peer: str
    incarnation: int
    stamp_s: float
    grants: Wants


@dataclasses.dataclass(frozen=True, slots=True)
class _Loan:
    quanta: int
    stamp_s: float
    until_s: float


class ShareCore(Core):
    """Decides what to ask for and what to lend.

    Args:
        incarnation: Start of this process.
        daemons: Configured daemons of the domain, this one included.
        term_s: Term of a loan.
        margin_s: How much longer the lender waits.
        started_s: When this process started.
    """

    def __init__(
        self,
        incarnation: int,
        daemons: int,
        term_s: float,
        margin_s: float,
        started_s: float,
    ):
        self.total = BASE_QUANTA * daemons
        self._incarnation = incarnation
        self._term_s = term_s
        self._margin_s = margin_s
        self._held_until_s = started_s + term_s + margin_s
        self._neighbours = daemons - 1
        self._confirmed: set[str] = set()
        self._incarnations: dict[str, int] = {}
        self._lent: dict[str, dict[str, list[_Loan]]] = {}
        self._borrowed: dict[str, dict[str, _Loan]] = {}
        self._asks: dict[str, LoanRequested] = {}
        self._next_ask_s = started_s

    @property
    def next_wakeup_s(self) -> float | None:
        """None: the peers' tick drives the core."""
        return None

    def quanta(self, account: str, now_s: float) -> int:
        """Returns how much of an account's limit may be used here now."""
        return self._own(account, now_s) + self._borrowed_quanta(account, now_s)

    def share(self, account: str, now_s: float) -> float:
        """Returns the same as a share of the limit, 0 to 1."""
        return self.quanta(account, now_s) / self.total

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one event; returns `SendLoanRequest` and `SendLoanGrant` actions."""
        match event:
            case ShareTick():
                return self._on_tick(event, now_s)
            case LoanRequested():
                self._note_incarnation(event.peer, event.incarnation)
                self._asks[event.peer] = event
                return []
            case LoanGranted():
                self._on_grant(event)
                return []
        raise TypeError(f"not a share event: {event!r}")

    def _on_tick(self, event: ShareTick, now_s: float) -> list[object]:
        self._forget_ended(now_s)
        actions = self._answer_asks(event, now_s)
        if now_s < self._next_ask_s:
            return actions
        wants = self._missing(event, now_s)
        if not wants and not self._is_held_back(now_s):
            return actions
        if not self._is_held_back(now_s):
            self._next_ask_s = now_s + self._term_s / _ASKS_PER_TERM
        for peer in event.live:
            actions.append(
                SendLoanRequest(peer, self._incarnation, now_s, wants)
            )
        return actions

    def _missing(self, event: ShareTick, now_s: float) -> Wants:
        missing = []
        for account, wanted in sorted(event.wanted.items()):
            usable = min(wanted, self.total)
            lacking = usable - self._own(account, now_s)
            if lacking > 0:
                missing.append((account, lacking))
        return tuple(missing)

    def _answer_asks(self, event: ShareTick, now_s: float) -> list[object]:
        asks, self._asks = self._asks, {}
        asked: dict[str, int] = {}
        for ask in asks.values():
            for account, quanta in ask.wants:
                asked[account] = asked.get(account, 0) + quanta
        spare = {
            account: self._spare(event.wanted.get(account, 0), now_s)
            for account in asked
        }
        return [
            self._grant(ask, asked, spare, now_s)
            for _, ask in sorted(asks.items())
        ]

    def _spare(self, wanted: int, now_s: float) -> int:
        if self._is_held_back(now_s):
            return 0
        kept = max(_FLOOR_QUANTA, int(wanted * _HEADROOM))
        return max(0, BASE_QUANTA - kept)

    def _grant(
        self, ask: LoanRequested, asked, spare, now_s: float
    ) -> SendLoanGrant:
        """Lends a part of the spare quanta in proportion to the asks."""
        grants = []
        for account, wanted in ask.wants:
            part = spare[account] * wanted // asked[account]
            room = BASE_QUANTA - _FLOOR_QUANTA
            room -= self._lent_quanta(account, now_s, other_than=ask.peer)
            quanta = max(0, min(wanted, part, room))
            grants.append((account, quanta))
            self._note_lent(account, ask, quanta, now_s)
        return SendLoanGrant(
            ask.peer, ask.incarnation, ask.stamp_s, tuple(grants)
        )

    def _note_lent(self, account, ask: LoanRequested, quanta, now_s) -> None:
        """Notes a loan beside earlier ones, which may still be used."""
        if not quanta:
            return
        until_s = now_s + self._term_s + self._margin_s
        loans = self._lent.setdefault(account, {}).setdefault(ask.peer, [])
        loans.append(_Loan(quanta, ask.stamp_s, until_s))

    def _on_grant(self, event: LoanGranted) -> None:
        self._note_incarnation(event.peer, event.lender_incarnation)
        is_current = (
            event.incarnation == self._incarnation
            and event.lender_incarnation == self._incarnations[event.peer]
        )
        if not is_current:
            return
        self._confirmed.add(event.peer)
        for account, quanta in event.grants:
            loans = self._borrowed.setdefault(account, {})
            known = loans.get(event.peer)
            if known is not None and known.stamp_s >= event.stamp_s:
                continue
            until_s = event.stamp_s + self._term_s
            loans[event.peer] = _Loan(quanta, event.stamp_s, until_s)

    def _note_incarnation(self, peer: str, incarnation: int) -> None:
        """Stops using what an earlier incarnation of a peer lent."""
        if incarnation <= self._incarnations.get(peer, 0):
            return
        self._incarnations[peer] = incarnation
        for loans in self._borrowed.values():
            loans.pop(peer, None)

    def _is_held_back(self, now_s: float) -> bool:
        """Tells whether peers may use what an earlier incarnation lent."""
        is_confirmed = len(self._confirmed) >= self._neighbours
        return now_s < self._held_until_s and not is_confirmed

    def _own(self, account: str, now_s: float) -> int:
        if self._is_held_back(now_s):
            return _FLOOR_QUANTA
        return BASE_QUANTA - self._lent_quanta(account, now_s)

    def _lent_quanta(self, account, now_s: float, other_than: str = "") -> int:
        """Returns the most that peers may use of this daemon's share."""
        return sum(
            max((x.quanta for x in loans if now_s < x.until_s), default=0)
            for peer, loans in self._lent.get(account, {}).items()
            if peer != other_than
        )

    def _borrowed_quanta(self, account: str, now_s: float) -> int:
        loans = self._borrowed.get(account)
        if not loans:
            return 0
        return sum(x.quanta for x in loans.values() if now_s < x.until_s)

    def _forget_ended(self, now_s: float) -> None:
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
