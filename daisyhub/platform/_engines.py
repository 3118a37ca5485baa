"""Client for engine orders and reports, and a reader of published versions.

Some of the platform's names need an explanation: `sequence` is the number of
orders that an engine accepted since its start, `expect` is the value of
`sequence` that an order requires, and `mode` states how an engine treats
running requests when it loads a version.
"""

from collections.abc import Callable

import msgspec

from daisyhub.connections import (
    HttpClient,
    HttpResponse,
    RequestFailedError,
    RequestWithdrawnError,
)
from daisyhub.gateway import EndpointResponseHead
from daisyhub.json_texts import decode_json
from daisyhub.logs import DecisionLog
from daisyhub.objects import StoredObject
from daisyhub.platform._wire import PlatformEndpointWire
from daisyhub.settings import Address
from daisyhub.weights import (
    EngineClient,
    EngineReport,
    LoadMode,
    OrderOutcome,
    OrderResponse,
    ReportResponse,
    VersionOrder,
    VersionPublished,
    VersionReader,
)

__all__ = ["PlatformEngineClient", "PlatformVersionReader"]

_OUTCOMES_BY_STATUS = {
    200: OrderOutcome.ALREADY_LOADED,
    202: OrderOutcome.ACCEPTED,
    400: OrderOutcome.REFUSED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.STALE_FENCING,
    421: OrderOutcome.OTHER_ENDPOINT,
}
_MODE_NAMES = {LoadMode.FINISH: "wait", LoadMode.CONTINUE: "retain"}
_ENDPOINT_HEADER = b"daisyhub-expect-instance"
_OK = 200
# Timeout of an order or a report; engines respond to both in milliseconds.
_CALL_TIMEOUT_S = 0.5


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int


class _Report(msgspec.Struct, frozen=True, rename="kebab"):
    models: tuple[_Model, ...] = ()
    busy: bool = False
    sequence: int = 0
    num_waiting: int = 0
    num_running: int = 0
    born: int = 0


class _PublishedVersion(msgspec.Struct, frozen=True):
    model: str
    version: int


class PlatformVersionReader(VersionReader):
    """Decodes objects of kind `versions`."""

    kind = "versions"

    def read(self, found: StoredObject) -> VersionPublished:
        """Returns the published version; see `VersionReader.read`."""
        try:
            published = decode_json(found.spec, type=_PublishedVersion)
        except msgspec.DecodeError as exc:
            raise ValueError(str(exc)) from exc
        return VersionPublished(published.model, published.version)


class PlatformEngineClient(EngineClient):
    """HTTP client for the platform's engines.

    Args:
        http: HTTP client.
        log: Log of failed calls.
    """

    def __init__(self, http: HttpClient, log: DecisionLog):
        self._http = http
        self._log = log
        self._wire = PlatformEndpointWire()

    async def order(
        self,
        address: Address,
        order: VersionOrder,
        may_send: Callable[[], bool],
    ) -> OrderResponse:
        """Sends an order; see `EngineClient.order`."""
        body = msgspec.json.encode(
            {
                "op-type": "version",
                "model": order.model,
                "version": order.version,
                "mode": _MODE_NAMES[order.mode],
                "holder": order.holder,
                "fencing-token": order.fencing,
                "expect": order.orders_taken,
            }
        )
        headers = (
            (b"content-type", b"application/json"),
            (_ENDPOINT_HEADER, order.endpoint_id.encode()),
        )
        try:
            response = await self._http.request(
                "POST",
                address,
                "/v1/order",
                headers=headers,
                body=body,
                timeout_s=_CALL_TIMEOUT_S,
                may_send=may_send,
            )
        except RequestWithdrawnError as exc:
            self._log_failure("order_failed", order.endpoint_id, exc)
            return OrderResponse(outcome=OrderOutcome.REFUSED)
        except RequestFailedError as exc:
            self._log_failure("order_failed", order.endpoint_id, exc)
            return OrderResponse(outcome=OrderOutcome.UNKNOWN)
        head = self._read_head(response)
        outcome = _OUTCOMES_BY_STATUS.get(response.status)
        if outcome is None:
            outcome = (
                OrderOutcome.REFUSED
                if head.is_not_run
                else OrderOutcome.UNKNOWN
            )
        return OrderResponse(
            outcome=outcome,
            is_leaving=head.is_leaving,
            rate_limit=head.rate_limit,
        )

    async def report(
        self, address: Address, may_send: Callable[[], bool]
    ) -> ReportResponse:
        """Fetches an engine's report; see `EngineClient.report`."""
        head = EndpointResponseHead()
        try:
            response = await self._http.request(
                "GET",
                address,
                "/v1/report",
                timeout_s=_CALL_TIMEOUT_S,
                may_send=may_send,
            )
            head = self._read_head(response)
            if response.status != _OK:
                raise ValueError(f"status {response.status}")
            report = decode_json(response.body, type=_Report)
        except (RequestFailedError, msgspec.DecodeError, ValueError) as exc:
            self._log_failure("report_failed", str(address), exc)
            return ReportResponse(
                is_leaving=head.is_leaving, rate_limit=head.rate_limit
            )
        return ReportResponse(
            report=EngineReport(
                versions={m.name: m.version for m in report.models},
                is_busy=report.busy,
                orders_taken=report.sequence,
                waiting=report.num_waiting,
                running=report.num_running,
                incarnation=report.born,
            ),
            is_leaving=head.is_leaving,
            rate_limit=head.rate_limit,
        )

    def _read_head(self, response: HttpResponse) -> EndpointResponseHead:
        return self._wire.read_response_head(response.status, response.headers)

    def _log_failure(self, event: str, endpoint: str, exc: Exception) -> None:
        self._log.record(event, endpoint=endpoint, reason=str(exc))
