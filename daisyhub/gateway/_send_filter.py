"""The last filter of the chain, which sends the request to an endpoint."""

from daisyhub.base import Filter, Handler
from daisyhub.billing import UsageMeter
from daisyhub.catalog import RouteKind
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway._send_task import SendTask
from daisyhub.gateway._sender import Sender
from daisyhub.messages import Request, Response

__all__ = ["SendFilter"]


class SendFilter(Filter):
    """Sends requests to endpoints and counts those that may have run.

    Args:
        sender: Sends requests to endpoints.
        meter: Counts the requests of each client account.
    """

    name = "send"

    def __init__(self, sender: Sender, meter: UsageMeter):
        self._sender = sender
        self._meter = meter

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Returns the endpoint's response.

        Raises:
            Refusal: No endpoint returned a response.
        """
        task = SendTask(
            request_id=req.request_id,
            route=req.route,
            method=req.method,
            target=f"{req.path}?{req.query}" if req.query else req.path,
            host=req.host,
            headers=req.headers,
            body=req.body,
            account=req.account,
            deadline_s=req.deadline_s,
            is_streamed=req.route.kind is RouteKind.STREAMING,
            resumption=req.resumption,
        )
        token = self._meter.open(req.account)
        has_run = True
        try:
            return await self._sender.send(task)
        except Refusal as exc:
            has_run = (
                exc.ran is not ExecutionStatus.NOT_RUN
                and exc.error is not ErrorCode.REQUEST_BLOCKED
            )
            raise
        finally:
            self._meter.close(token, has_run=has_run)
