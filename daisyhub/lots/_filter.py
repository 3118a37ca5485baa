"""Filter that accepts lots and serves calls to them."""

import time
from collections.abc import Iterable

from daisyhub.base import Filter, Handler
from daisyhub.catalog import RouteKind
from daisyhub.cluster import ClusterClock
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.logs import DecisionLog
from daisyhub.lots._admission import LotAdmission
from daisyhub.lots._calls import EndLot, ReadItemBody, ReadResults
from daisyhub.lots._lot_store import LotStore
from daisyhub.lots._reader import LotReader
from daisyhub.lots._repeats import LotConflictError
from daisyhub.lots._types import ItemResult
from daisyhub.lots._wire import LotWire
from daisyhub.messages import Request, Response
from daisyhub.objects import (
    ObjectStoreError,
    StoreTry,
    TryOutcome,
    record_tries,
)

__all__ = ["SubmittedLotsFilter"]

_ACCEPTED = 202
_OK = 200
# Maximum text length of a response with several results. The platform allows a
# megabyte of results.
_MAX_RESPONSE_CHARACTERS = 700_000
# Seconds after which a lot that couldn't be stored may be submitted again.
_RETRY_AFTER_S = 0.3
# Seconds after which an attempt no longer accepts its lot. Callers leave after
# about one, and may then be refused elsewhere while this daemon is stopped.
_MAX_ATTEMPT_S = 2.0
_JSON = (b"content-type", b"application/json")
# Maximum number of tries of store calls in a log line. A lot has few parts, and
# each call has up to three tries.
_MAX_LOGGED_TRIES = 24


class SubmittedLotsFilter(Filter):
    """Accepts lots and serves their results.

    Args:
        lots: Lots in the store.
        reader: Serves reads of lots.
        wire: Wire format of lots.
        clock: Clock that all daemons agree on.
        log: Log of decisions.
        admission: Refuses lots that can't be served in time; by default none
            is.
    """

    name = "handed_in_lots"

    def __init__(
        self,
        lots: LotStore,
        reader: LotReader,
        wire: LotWire,
        clock: ClusterClock,
        log: DecisionLog,
        admission: LotAdmission | None = None,
    ):
        self._lots = lots
        self._reader = reader
        self._wire = wire
        self._clock = clock
        self._log = log
        self._admission = admission

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Accepts lots, serves calls to lots, passes other requests on."""
        account = req.account if req.has_accounts else None
        match req.lot_call:
            case ReadResults(lot_id, after, wait_s):
                total, results = await self._reader.results(
                    lot_id, account, after, wait_s
                )
                page = _first_page(results)
                body = self._wire.write_results(total, after, page)
                return Response(status=_OK, headers=(_JSON,), body=body)
            case ReadItemBody(lot_id, item_id):
                body = await self._reader.body(lot_id, account, item_id)
                return Response(status=_OK, body=body)
            case EndLot(lot_id):
                await self._reader.end(lot_id, account)
                return Response(status=_OK)
        if req.route.kind is RouteKind.ROLLOUT:
            return await self._accept(req)
        try:
            return await call_next(req)
        except Refusal as exc:
            if not exc.error.promises_not_run:
                raise
            if not self._wire.may_be_lot(req.body):
                raise
            # An earlier manifest may have had a route for lots here.
            raise Refusal(
                ErrorCode.LOT_UNCONFIRMED,
                f"no route for lots, but the lot may be stored: {exc.detail}",
                ran=ExecutionStatus.UNKNOWN,
                retry_after_s=exc.retry_after_s,
            ) from exc

    async def _accept(self, req: Request) -> Response:
        """Stores a submitted lot.

        Raises:
            Refusal: The body isn't a valid lot, the lot isn't stored, it is
                unknown whether it is, another lot has this id, or the lot can't
                be served in time.
        """
        until_s = time.monotonic() + _MAX_ATTEMPT_S
        spec = self._wire.read_lot(req, self._clock.now_s())
        if self._admission is not None:
            await self._admission.check(spec, req, until_s)
        with record_tries() as tries:
            try:
                head, status = await self._lots.accept(spec, until_s)
            except ObjectStoreError as exc:
                self._log.record(
                    "lot_not_accepted",
                    id=req.request_id,
                    may_be_stored=exc.may_be_done,
                    tries=_describe(tries),
                )
                raise _refusal(exc) from exc
            except LotConflictError as exc:
                raise Refusal(
                    ErrorCode.LOT_CONFLICT,
                    str(exc),
                    ran=ExecutionStatus.NOT_RUN,
                ) from exc
        self._reader.record_accepted(head, is_ended=status.is_ended)
        self._log.record(
            "lot_accepted",
            id=req.request_id,
            account=req.account,
            step=head.step,
            oldest_version=head.oldest_version,
            total=head.total,
            is_repeat=head.accepted_s != spec.head.accepted_s,
            failed_tries=_describe(
                t for t in tries if t.outcome is not TryOutcome.DONE
            ),
        )
        return Response(status=_ACCEPTED)


def _refusal(exc: ObjectStoreError) -> Refusal:
    """Returns the refusal of a lot that couldn't be accepted."""
    if exc.may_be_done:
        return Refusal(
            ErrorCode.LOT_UNCONFIRMED,
            f"the lot may be stored: {exc}",
            ran=ExecutionStatus.UNKNOWN,
            retry_after_s=_RETRY_AFTER_S,
        )
    return Refusal(
        ErrorCode.PLATFORM_UNAVAILABLE,
        f"the lot isn't stored: {exc}",
        ran=ExecutionStatus.NOT_RUN,
        retry_after_s=_RETRY_AFTER_S,
    )


def _describe(tries: Iterable[StoreTry]) -> list[str]:
    """Returns the last tries as text for a log line, the oldest first."""
    return [str(store_try) for store_try in tries][-_MAX_LOGGED_TRIES:]


def _first_page(results: list[ItemResult]) -> list[ItemResult]:
    """Returns the results that fit into one response, at least one if any."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.text)
        if count and size > _MAX_RESPONSE_CHARACTERS:
            return results[:count]
    return results
