"""Client for usage reports (`/usage`) and endpoint orders (`/scale`)."""

import msgspec

from daisyhub.billing import OrderDeskClient, OrderDeskOutcome
from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.exceptions import ExecutionStatus
from daisyhub.logs import DecisionLog
from daisyhub.settings import Address

__all__ = ["PlatformOrderDeskClient"]

_OK = 200
_CONFLICT = 409
_TOO_MANY = 429
# Timeout of a call; the platform normally responds in milliseconds.
_CALL_TIMEOUT_S = 1.0


class PlatformOrderDeskClient(OrderDeskClient):
    """Calls the platform's `cloud-api`.

    Args:
        address: Address of `cloud-api`.
        holder: This daemon's id, sent with each call as the duty's holder.
        http: HTTP client.
        log: Log of failed calls.
    """

    def __init__(
        self, address: Address, holder: str, http: HttpClient, log: DecisionLog
    ):
        self._address = address
        self._holder = holder
        self._http = http
        self._log = log

    async def report_usage(
        self, window: int, counts: dict[str, int], fencing: int
    ) -> OrderDeskOutcome:
        """Reports a window; a conflict means that `fencing` is stale."""
        body = {"window-id": window, "counts": counts}
        return await self._call(
            "/usage", body, fencing, OrderDeskOutcome.STALE_FENCING
        )

    async def order_endpoints(
        self, pool: str, domain: str, count: int, *, cheap: bool, fencing: int
    ) -> OrderDeskOutcome:
        """Orders endpoints; a conflict means that no capacity is available."""
        body = {"service": pool, "zone": domain, "desired-count": count}
        if cheap:
            body["spot"] = True
        return await self._call(
            "/scale", body, fencing, OrderDeskOutcome.REFUSED
        )

    async def _call(
        self, path: str, body: dict, fencing: int, on_conflict: OrderDeskOutcome
    ) -> OrderDeskOutcome:
        headers = (
            (b"content-type", b"application/json"),
            (b"daisyhub-duty-holder", self._holder.encode()),
            (b"daisyhub-fencing-token", str(fencing).encode()),
        )
        try:
            response = await self._http.request(
                "POST",
                self._address,
                path,
                headers=headers,
                body=msgspec.json.encode(body),
                timeout_s=_CALL_TIMEOUT_S,
            )
        except RequestFailedError as exc:
            self._log.record("desk_call_failed", path=path, reason=str(exc))
            may_be_done = exc.ran is not ExecutionStatus.NOT_RUN
            return (
                OrderDeskOutcome.UNKNOWN
                if may_be_done
                else OrderDeskOutcome.REFUSED
            )
        if response.status == _CONFLICT:
            return on_conflict
        if response.status == _OK:
            return OrderDeskOutcome.DONE
        self._log.record(
            "desk_call_failed", path=path, reason=f"status {response.status}"
        )
        # The platform states of no other status that the call had no effect.
        return (
            OrderDeskOutcome.REFUSED
            if response.status == _TOO_MANY
            else OrderDeskOutcome.UNKNOWN
        )
