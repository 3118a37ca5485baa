"""Orders and reports of engines, and the versions that trainers name.

Where the platform's names mislead: `sequence` is the number of orders that an
engine accepted since its start, `expect` the number that an order must find,
`mode` what becomes of open requests.
"""

import msgspec

from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.logs import DecisionLog
from daisyhub.objects import StoredObject
from daisyhub.settings import Address
from daisyhub.weights import (
    EngineClient,
    EngineReport,
    LoadMode,
    OrderOutcome,
    VersionOrder,
    VersionPublished,
    VersionReader,
)

__all__ = ["PlatformEngineClient", "PlatformVersionReader"]

_OUTCOMES = {
    200: OrderOutcome.ALREADY_LOADED,
    202: OrderOutcome.ACCEPTED,
    400: OrderOutcome.REFUSED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.STALE_FENCING,
    421: OrderOutcome.OTHER_ENDPOINT,
    503: OrderOutcome.REFUSED,
}
_MODES = {LoadMode.FINISH: "wait", LoadMode.CONTINUE: "retain"}
_ENDPOINT = b"daisyhub-expect-instance"
_OK = 200
# Seconds for an order or a report; engines answer both in milliseconds.
_TIMEOUT_S = 0.5


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int


class _Report(msgspec.Struct, frozen=True, rename="kebab"):
    models: tuple[_Model, ...] = ()
    busy: bool = False
    sequence: int = 0
    num_waiting: int = 0
    num_running: int = 0


class _Named(msgspec.Struct, frozen=True):
    model: str
    version: int


class PlatformVersionReader(VersionReader):
    """Reads objects of kind `versions`."""

    kind = "versions"

    def read(self, found: StoredObject) -> VersionPublished:
        """Returns what an object names; see `VersionReader.read`."""
        try:
            named = msgspec.json.decode(found.spec, type=_Named)
        except msgspec.DecodeError as exc:
            raise ValueError(str(exc)) from exc
        return VersionPublished(named.model, named.version)


class PlatformEngineClient(EngineClient):
    """Talks to the platform's engines.

    Args:
        http: Sends over kept connections.
        log: Where failures are noted.
    """

    def __init__(self, http: HttpClient, log: DecisionLog):
        self._http = http
        self._log = log

    async def order(
        self, address: Address, order: VersionOrder
    ) -> OrderOutcome:
        """Gives an order; see `EngineClient.order`."""
        body = msgspec.json.encode(
            {
                "op-type": "version",
                "model": order.model,
                "version": order.version,
                "mode": _MODES[order.mode],
                "holder": order.holder,
                "fencing-token": order.fencing,
                "expect": order.orders_taken,
            }
        )
        headers = (
            (b"content-type", b"application/json"),
            (_ENDPOINT, order.endpoint_id.encode()),
        )
        try:
            answer = await self._http.request(
                "POST",
                address,
                "/v1/order",
                headers=headers,
                body=body,
                timeout_s=_TIMEOUT_S,
            )
        except RequestFailedError as exc:
            self._note("order_failed", order.endpoint_id, exc)
            return OrderOutcome.UNKNOWN
        return _OUTCOMES.get(answer.status, OrderOutcome.UNKNOWN)

    async def report(self, address: Address) -> EngineReport | None:
        """Returns an engine's report; see `EngineClient.report`."""
        try:
            answer = await self._http.request(
                "GET", address, "/v1/report", timeout_s=_TIMEOUT_S
            )
            if answer.status != _OK:
                raise ValueError(f"status {answer.status}")
            found = msgspec.json.decode(answer.body, type=_Report)
        except (RequestFailedError, msgspec.DecodeError, ValueError) as exc:
            self._note("report_failed", str(address), exc)
            return None
        return EngineReport(
            versions={model.name: model.version for model in found.models},
            is_busy=found.busy,
            orders_taken=found.sequence,
            waiting=found.num_waiting,
            running=found.num_running,
        )

    def _note(self, event: str, endpoint: str, exc: Exception) -> None:
        self._log.record(event, endpoint=endpoint, reason=str(exc))
