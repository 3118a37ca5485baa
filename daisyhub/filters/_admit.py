"""Admits, queues or refuses requests by decision of the admission core."""

import dataclasses
import time
from collections.abc import Callable

import anyio

from daisyhub.accounting import RateShares
from daisyhub.base import Filter, Handler
from daisyhub.clocks import boot_time_s
from daisyhub.config import ClientAccount, Document
from daisyhub.exceptions import ExecutionStatus, Refusal
from daisyhub.filters._admission_core import (
    AdmissionCore,
)
from daisyhub.filters._admission_types import (
    AdmissionTick,
    AdmitRequest,
    ConcurrencyLimitChanged,
    RequestAbandoned,
    RequestArrived,
    RequestDeparted,
    ShedRequest,
)
from daisyhub.filters._observed_stream import ObservedStream
from daisyhub.messages import Request, Response

__all__ = ["AdmitFilter"]

_DETAILS = {
    "rate_limited": "the account's rate is used up",
    "overloaded": "the request can't be admitted in time",
}
_LIMIT_UPDATE_INTERVAL_S = 1.0
_OPEN_ACCOUNT = ClientAccount()


class AdmitFilter(Filter):
    """Executes the decisions of an `AdmissionCore`.

    Args:
        core: The admission core.
        get_document: Returns the active configuration document.
        shares: This daemon's shares of the accounts' rate limits.
        get_concurrency_limit: Returns the number of requests that may be in
            service at one time; None for a constant limit.
    """

    name = "admit"

    def __init__(
        self,
        core: AdmissionCore,
        get_document: Callable[[], Document],
        shares: RateShares,
        get_concurrency_limit: Callable[[], int] | None = None,
    ):
        self._core = core
        self._get_document = get_document
        self._shares = shares
        self._get_concurrency_limit = get_concurrency_limit
        self._limit_update_at_s = 0.0
        self._decisions: dict[str, object] = {}
        self._waiters: dict[str, anyio.Event] = {}

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Passes the request on once it is admitted.

        A streamed response stays in service until its stream ends or is closed.

        Raises:
            Refusal: The account's rate is used up, or the request can't be
                admitted by its deadline.
        """
        decision = await self._wait_for_decision(req)
        if isinstance(decision, ShedRequest):
            raise Refusal(
                decision.error,
                _DETAILS[decision.error.label],
                ran=ExecutionStatus.NOT_RUN,
                retry_after_s=decision.retry_after_s,
            )
        started_s = time.monotonic()

        def release_slot(_: bool = False) -> None:
            now_s = time.monotonic()
            event = RequestDeparted(req.request_id, now_s - started_s)
            self._apply(self._core.handle(event, now_s))

        try:
            resp = await call_next(req)
        except BaseException:
            release_slot()
            raise
        if resp.stream is None:
            release_slot()
            return resp
        stream = ObservedStream(resp.stream, release_slot)
        return dataclasses.replace(resp, stream=stream)

    async def _wait_for_decision(self, req: Request) -> object:
        """Returns the core's `AdmitRequest` or `ShedRequest`."""
        self._update_concurrency_limit()
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
            # A smaller bucket would refuse every request.
            burst=max(1, int(account.burst * share)),
            deadline_s=req.deadline_s,
        )
        self._apply(self._core.handle(event, time.monotonic()))
        decision = self._decisions.pop(req.request_id, None)
        if decision is not None:
            return decision
        waiter = anyio.Event()
        self._waiters[req.request_id] = waiter
        try:
            await self._wait_until_deadline(req, waiter)
            return self._decisions.pop(req.request_id)
        except BaseException:
            self._abandon(req)
            raise
        finally:
            del self._waiters[req.request_id]

    def _update_concurrency_limit(self) -> None:
        """Passes the current concurrency limit to the core once a second."""
        now_s = time.monotonic()
        if (
            self._get_concurrency_limit is None
            or now_s < self._limit_update_at_s
        ):
            return
        self._limit_update_at_s = now_s + _LIMIT_UPDATE_INTERVAL_S
        event = ConcurrencyLimitChanged(self._get_concurrency_limit())
        self._apply(self._core.handle(event, now_s))

    async def _wait_until_deadline(self, req: Request, waiter) -> None:
        """Waits for a decision, which the core makes by the deadline."""
        while not waiter.is_set():
            with anyio.move_on_after(req.deadline_s - time.monotonic()):
                await waiter.wait()
            actions = self._core.handle(AdmissionTick(), time.monotonic())
            self._apply(actions)

    def _abandon(self, req: Request) -> None:
        """Withdraws a request whose caller stopped waiting for a decision.

        If it has been admitted in the meantime, it departs, with a service time
        of zero.
        """
        now_s = time.monotonic()
        decision = self._decisions.pop(req.request_id, None)
        event = RequestAbandoned(req.request_id)
        if isinstance(decision, AdmitRequest):
            event = RequestDeparted(req.request_id, 0.0)
        self._apply(self._core.handle(event, now_s))

    def _apply(self, actions: list[object]) -> None:
        for action in actions:
            self._decisions[action.request_id] = action
            waiter = self._waiters.get(action.request_id)
            if waiter is not None:
                waiter.set()
