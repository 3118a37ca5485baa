"""Streams items from engines and emits events for the dispatch core."""

import time
from collections.abc import Callable

from daisyhub.balancing import EndpointDirectory
from daisyhub.connections import (
    HttpClient,
    RequestFailedError,
    StreamedResponse,
)
from daisyhub.gateway import EndpointRequest, EndpointWire
from daisyhub.lots._run_types import (
    RunCompleted,
    RunFailed,
    RunFault,
    StartRun,
    StreamEventReceived,
)
from daisyhub.lots._types import LotHead
from daisyhub.lots._wire import LotWire

__all__ = ["ItemRunner"]

_OK = 200
_IMPOSSIBLE_STATUS = 422
_FAILED_STATUS = 500

EventSink = Callable[[object], None]


class ItemRunner:
    """Runs items at engines.

    Args:
        directory: Provides the addresses of engines.
        http: Client that sends the requests.
        endpoint_wire: Wire format of requests to engines.
        lot_wire: Wire format of their event streams.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        http: HttpClient,
        endpoint_wire: EndpointWire,
        lot_wire: LotWire,
    ):
        self._directory = directory
        self._http = http
        self._endpoint_wire = endpoint_wire
        self._lot_wire = lot_wire

    async def run(
        self,
        action: StartRun,
        head: LotHead,
        give_up_at_s: float,
        emit: EventSink,
    ) -> str:
        """Streams an item; emits its events, then how the run ended.

        Args:
            action: The run to start.
            head: The item's lot.
            give_up_at_s: Monotonic time after which the result is useless.
            emit: Callback that takes events of the dispatch core.

        Returns:
            The outcome of the run, for the log.
        """
        endpoint = self._directory.get(action.endpoint_id)
        if endpoint is None:
            emit(RunFailed(action.run, RunFault.ELSEWHERE))
            return "unknown endpoint"
        remaining_s = max(0.0, give_up_at_s - time.monotonic())
        item = action.item
        headers = self._endpoint_wire.request_headers(
            EndpointRequest(
                request_id=item.item_id,
                host=head.host,
                endpoint_id=action.endpoint_id,
                account=head.account,
                remaining_s=remaining_s,
                headers=tuple(
                    (name.encode(), value.encode())
                    for name, value in item.headers.items()
                ),
                resume_after=action.resume_after,
            )
        )
        try:
            response = await self._http.open(
                "POST",
                endpoint.entry.address,
                item.path,
                headers=headers,
                body=item.body,
                timeout_s=remaining_s,
            )
        except RequestFailedError as exc:
            emit(RunFailed(action.run, RunFault.UNREACHABLE))
            return str(exc)
        try:
            return await self._read(action, response, emit)
        finally:
            await response.aclose()

    async def _read(
        self, action: StartRun, response: StreamedResponse, emit: EventSink
    ) -> str:
        decoded = self._endpoint_wire.read_response_head(
            response.status, response.headers
        )
        if decoded.is_not_run:
            fault = RunFault.NOT_RUN
            if decoded.is_misdirected:
                fault = RunFault.ELSEWHERE
            emit(RunFailed(action.run, fault))
            await response.drain()
            return f"status {response.status}, not run"
        if response.status != _OK:
            fault = {
                _IMPOSSIBLE_STATUS: RunFault.IMPOSSIBLE,
                _FAILED_STATUS: RunFault.FAILED,
            }.get(response.status, RunFault.BROKEN)
            emit(RunFailed(action.run, fault))
            await response.drain()
            return f"status {response.status}"
        reader = self._lot_wire.make_reader(decoded.weight_version)
        next_number = action.resume_after + 1
        try:
            async for chunk in response.chunks():
                for event in reader.feed(chunk):
                    if event.number != next_number:
                        raise ValueError(
                            f"expected event {next_number}, got {event.number}"
                        )
                    next_number += 1
                    emit(
                        StreamEventReceived(
                            action.run, event.data, event.version
                        )
                    )
            if not reader.is_between_events:
                raise ValueError("the stream ended in the middle of an event")
        except (RequestFailedError, ValueError) as exc:
            emit(RunFailed(action.run, RunFault.BROKEN))
            return f"after event {next_number - 1}: {exc}"
        emit(RunCompleted(action.run))
        return f"complete after event {next_number - 1}"
