"""Admits, queues or refuses requests as the admission core decides."""

import dataclasses
import time
from collections.abc import Callable

import anyio

from daisyhub.accounting import RateShares
from daisyhub.base import Filter, Handler
from daisyhub.clocks import boot_time_s
from daisyhub.config import ClientAccount, Document
from daisyhub.exceptions import Refusal
from daisyhub.filters._admission_core import (
    AdmissionCore,
    AdmissionTick,
    AdmitRequest,
    ConcurrencyLimitChanged,
    RequestAbandoned,
    RequestArrived,
    RequestDeparted,
    ShedRequest,
)
from daisyhub.filters._stream_end import StreamEnd
from daisyhub.messages import Request, Response

__all__ = ["AdmitFilter"]

_DETAILS = {
    "rate_limited": "the account's rate is used up",
    "overloaded": "no place is free in time",
}
_PLACES_INTERVAL_S = 1.0
_OPEN_ACCOUNT = ClientAccount()


class AdmitFilter(Filter):
    """Carries out the decisions of an `AdmissionCore`.

    Args:
        core: The core.
        get_document: Returns the document in force.
        shares: This daemon's shares of the accounts' limits.
        get_places: Returns how many requests may be in service now.
    """

    name = "admit"

    def __init__(
        self,
        core: AdmissionCore,
        get_document: Callable[[], Document],
        shares: RateShares,
        get_places: Callable[[], int] | None = None,
    ):
        self._core = core
        self._get_document = get_document
        self._shares = shares
        self._get_places = get_places
        self._places_at_s = 0.0
        self._verdicts: dict[str, object] = {}
        self._waiters: dict[str, anyio.Event] = {}

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Waits for a place, serves, and gives the place back at the end."""
        verdict = await self._wait_for_verdict(req)
        if isinstance(verdict, ShedRequest):
            raise Refusal(
                verdict.error,
                _DETAILS[verdict.error.label],
                retry_after_s=verdict.retry_after_s,
            )
        started_s = time.monotonic()

        def depart(_: bool = False) -> None:
            now_s = time.monotonic()
            event = RequestDeparted(req.request_id, now_s - started_s)
            self._perform(self._core.handle(event, now_s))

        try:
            resp = await call_next(req)
        except BaseException:
            depart()
            raise
        if resp.stream is None:
            depart()
            return resp
        stream = StreamEnd(resp.stream, depart)
        return dataclasses.replace(resp, stream=stream)

    async def _wait_for_verdict(self, req: Request) -> object:
        self._follow_capacity()
        account = self._get_document().client_accounts.get(
            req.account, _OPEN_ACCOUNT
        )
        share = self._shares.share(
            req.account, account.requests_per_s, boot_time_s()
        )
        event = RequestArrived(
            request_id=req.request_id,
            account=req.account,
            weight=account.weight,
            rate=account.requests_per_s * share,
            burst=max(1, int(account.burst * share)),
            deadline_s=req.deadline_s,
        )
        self._perform(self._core.handle(event, time.monotonic()))
        verdict = self._verdicts.pop(req.request_id, None)
        if verdict is not None:
            return verdict
        waiter = anyio.Event()
        self._waiters[req.request_id] = waiter
        try:
            await self._wait_until_deadline(req, waiter)
            return self._verdicts.pop(req.request_id)
        except BaseException:
            self._give_up(req)
            raise
        finally:
            del self._waiters[req.request_id]

    def _follow_capacity(self) -> None:
        """Tells the core once a second how many places there are."""
        now_s = time.monotonic()
        if self._get_places is None or now_s < self._places_at_s:
            return
        self._places_at_s = now_s + _PLACES_INTERVAL_S
        event = ConcurrencyLimitChanged(self._get_places())
        self._perform(self._core.handle(event, now_s))

    async def _wait_until_deadline(self, req: Request, waiter) -> None:
        """Waits for a verdict; the core gives one at the deadline."""
        while not waiter.is_set():
            with anyio.move_on_after(req.deadline_s - time.monotonic()):
                await waiter.wait()
            actions = self._core.handle(AdmissionTick(), time.monotonic())
            self._perform(actions)

    def _give_up(self, req: Request) -> None:
        """Takes back a request whose caller went away while it waited."""
        now_s = time.monotonic()
        verdict = self._verdicts.pop(req.request_id, None)
        event = RequestAbandoned(req.request_id)
        if isinstance(verdict, AdmitRequest):
            event = RequestDeparted(req.request_id, 0.0)
        self._perform(self._core.handle(event, now_s))

    def _perform(self, actions: list[object]) -> None:
        for action in actions:
            self._verdicts[action.request_id] = action
            waiter = self._waiters.get(action.request_id)
            if waiter is not None:
                waiter.set()
