"""Streams one item from one engine and tells the dispatch core."""

import time
from collections.abc import Callable

from daisyhub.balancing import EndpointDirectory
from daisyhub.connections import (
    HttpClient,
    RequestFailedError,
    StreamedAnswer,
)
from daisyhub.gateway import EndpointWire, SentRequest
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
        directory: Tells where engines listen.
        http: Sends over kept connections.
        endpoint_wire: How engines are spoken to.
        lot_wire: How their streams are read.
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
        """Streams the item; tells its events and how it ended.

        Args:
            action: What to run where.
            head: The item's lot.
            give_up_at_s: Monotonic time after which it is of no use.
            tell: Takes dispatch events.

        Returns:
            How it ended, for the log.
        """
        endpoint = self._directory.get(action.endpoint_id)
        if endpoint is None:
            emit(RunFailed(action.run_id, RunFault.ELSEWHERE))
            return "the engine is gone"
        left_s = max(0.0, give_up_at_s - time.monotonic())
        item = action.item
        headers = self._endpoint_wire.request_headers(
            SentRequest(
                request_id=item.item_id,
                host=head.host,
                endpoint_id=action.endpoint_id,
                account=head.account,
                left_s=left_s,
                headers=tuple(
                    (name.encode(), value.encode())
                    for name, value in item.headers.items()
                ),
                resume_after=action.resume_after,
            )
        )
        try:
            answer = await self._http.open(
                "POST",
                endpoint.entry.address,
                item.path,
                headers=headers,
                body=item.body,
                timeout_s=left_s,
            )
        except RequestFailedError as exc:
            emit(RunFailed(action.run_id, RunFault.UNREACHABLE))
            return str(exc)
        try:
            return await self._read(action, answer, emit)
        finally:
            await answer.aclose()

    async def _read(
        self, action: StartRun, answer: StreamedAnswer, emit: EventSink
    ) -> str:
        read = self._endpoint_wire.read_answer(answer.status, answer.headers)
        if read.is_not_run:
            fault = RunFault.NOT_RUN
            if read.is_other_endpoint:
                fault = RunFault.ELSEWHERE
            emit(RunFailed(action.run_id, fault))
            await answer.drain()
            return f"status {answer.status}, not run"
        if answer.status != _OK:
            fault = {
                _IMPOSSIBLE_STATUS: RunFault.IMPOSSIBLE,
                _FAILED_STATUS: RunFault.FAILED,
            }.get(answer.status, RunFault.BROKEN)
            emit(RunFailed(action.run_id, fault))
            await answer.drain()
            return f"status {answer.status}"
        reader = self._lot_wire.make_reader(read.weight_version)
        next_number = action.resume_after + 1
        try:
            async for chunk in answer.chunks():
                for event in reader.feed(chunk):
                    if event.number != next_number:
                        raise ValueError(
                            f"event {event.number} instead of {next_number}"
                        )
                    next_number += 1
                    emit(
                        StreamEventReceived(
                            action.run_id, event.data, event.version
                        )
                    )
            if not reader.is_between_events:
                raise ValueError("the stream ended within an event")
        except (RequestFailedError, ValueError) as exc:
            emit(RunFailed(action.run_id, RunFault.BROKEN))
            return f"after event {next_number - 1}: {exc}"
        emit(RunCompleted(action.run_id))
        return f"whole, {next_number - 1} events"
