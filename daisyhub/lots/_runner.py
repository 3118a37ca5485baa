"""Streams items from engines."""

import time
from collections.abc import Callable

import anyio

from daisyhub.balancing import (
    UNCONDITIONAL,
    Confirmation,
    Denial,
    EndpointDirectory,
    EndpointEntry,
    PermitSource,
    ProcessCheck,
    TrustedProcesses,
    Urgency,
)
from daisyhub.cluster import RunEnd, RunOrder
from daisyhub.connections import (
    HttpClient,
    RequestFailedError,
    RequestWithdrawnError,
    StreamedResponse,
)
from daisyhub.gateway import EndpointRequest, EndpointWire, HeadRecorder
from daisyhub.lots._run_states import RunFault
from daisyhub.lots._wire import LotWire, StreamEvent

__all__ = ["ItemRunner"]

_OK = 200
_IMPOSSIBLE_STATUS = 422
_FAILED_STATUS = 500
# Seconds for which a run waits for room at an engine that limits its rate. It
# occupies a slot of the engine meanwhile.
_MAX_PERMIT_WAIT_S = 0.3

EventSink = Callable[[StreamEvent], None]


class ItemRunner:
    """Runs items at engines.

    Args:
        directory: Provides the addresses of engines.
        http: Client that sends the requests.
        endpoint_wire: Wire format of requests to engines.
        lot_wire: Wire format of their event streams.
        permits: Permits for engines that limit their rate.
        is_cut_off: Whether this daemon is cut off from the endpoints, so that
            a failure isn't the engine's.
        heads: Records what response heads state.
        processes: Confirms processes before they go on with a text; by default
            each is taken for current.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        http: HttpClient,
        endpoint_wire: EndpointWire,
        lot_wire: LotWire,
        permits: PermitSource,
        is_cut_off: Callable[[], bool] = lambda: False,
        heads: HeadRecorder | None = None,
        processes: ProcessCheck | None = None,
    ):
        self._directory = directory
        self._http = http
        self._endpoint_wire = endpoint_wire
        self._lot_wire = lot_wire
        self._permits = permits
        self._is_cut_off = is_cut_off
        self._heads = heads or HeadRecorder(directory, permits)
        self._processes = processes or TrustedProcesses()

    async def run(
        self,
        order: RunOrder,
        emit: EventSink,
        is_ordered: Callable[[], bool] = lambda: True,
    ) -> RunEnd:
        """Streams an item and emits its events in order.

        Args:
            order: What to run.
            emit: Called with each event.
            is_ordered: Whether the order is still in force; called once a
                connection is open, before the request is sent.

        Returns:
            How the run ended.
        """
        started_s = time.monotonic()
        endpoint = self._directory.get(order.endpoint_id)
        if endpoint is None:
            return _end(order, RunFault.ELSEWHERE, 0, "unknown endpoint")
        entry = endpoint.entry
        if not self._directory.accepts(entry):
            detail = "leaving or evacuated endpoint"
            return _end(order, RunFault.ELSEWHERE, 0, detail)
        if entry.software != order.software:
            detail = f"software {entry.software!r}, not {order.software!r}"
            return _end(order, RunFault.ELSEWHERE, 0, detail)
        permit = await self._permits.acquire(
            entry, Urgency.PATIENT, _MAX_PERMIT_WAIT_S
        )
        if isinstance(permit, Denial):
            wait_s = max(0.0, permit.room_at_s - time.monotonic())
            return _end(
                order, RunFault.NOT_RUN, 0, "the engine has no room", wait_s
            )
        await anyio.sleep(max(0.0, permit.start_at_s - time.monotonic()))
        confirmation = await self._confirm(order, entry)
        if confirmation is None:
            detail = "its process could not be confirmed"
            return _end(order, RunFault.ELSEWHERE, 0, detail)
        sent_at_s = time.monotonic()
        headers = self._endpoint_wire.request_headers(
            EndpointRequest(
                request_id=order.item_id,
                host=order.host,
                endpoint_id=order.endpoint_id,
                account=order.account,
                remaining_s=order.remaining_s,
                headers=tuple(
                    (name.encode(), value.encode())
                    for name, value in order.headers.items()
                ),
                resume_after=order.resume_after,
            )
        )
        try:
            response = await self._http.open(
                "POST",
                entry.address,
                order.path,
                headers=headers,
                body=order.body,
                timeout_s=max(
                    0.0, order.remaining_s + started_s - time.monotonic()
                ),
                may_send=lambda: (
                    is_ordered()
                    and self._directory.accepts(entry)
                    and self._permits.may_send(permit)
                    and confirmation.is_valid()
                ),
            )
        except RequestWithdrawnError as exc:
            return _end(order, RunFault.ELSEWHERE, 0, str(exc))
        except RequestFailedError as exc:
            fault = self._own_fault_or(RunFault.UNREACHABLE)
            return _end(order, fault, 0, str(exc))
        try:
            return await self._read(order, entry, response, sent_at_s, emit)
        finally:
            await response.aclose()

    async def _confirm(
        self, order: RunOrder, entry: EndpointEntry
    ) -> Confirmation | None:
        """Confirms the process that goes on with a text, if there is one."""
        if not order.resume_after:
            return UNCONDITIONAL
        return await self._processes.confirm(entry)

    async def _read(
        self,
        order: RunOrder,
        entry: EndpointEntry,
        response: StreamedResponse,
        sent_at_s: float,
        emit: EventSink,
    ) -> RunEnd:
        decoded = self._endpoint_wire.read_response_head(
            response.status, response.headers
        )
        if self._directory.is_replaced(entry):
            await response.drain()
            return _end(order, RunFault.ELSEWHERE, 0, "the engine restarted")
        self._heads.record(entry, decoded, "run", sent_at_s)
        if decoded.is_not_run:
            fault = RunFault.NOT_RUN
            if decoded.is_misdirected:
                fault = RunFault.ELSEWHERE
            await response.drain()
            detail = f"status {response.status}, not run"
            return _end(order, fault, 0, detail)
        if response.status != _OK:
            fault = {
                _IMPOSSIBLE_STATUS: RunFault.IMPOSSIBLE,
                _FAILED_STATUS: RunFault.FAILED,
            }.get(response.status, RunFault.BROKEN)
            await response.drain()
            return _end(order, fault, 0, f"status {response.status}")
        reader = self._lot_wire.make_reader(decoded.weight_version)
        last = order.resume_after
        try:
            async for chunk in response.chunks():
                for event in reader.feed(chunk):
                    if event.number != last + 1:
                        raise ValueError(
                            f"expected event {last + 1}, got {event.number}"
                        )
                    last += 1
                    emit(event)
            if not reader.is_between_events:
                raise ValueError("the stream ended in the middle of an event")
        except (RequestFailedError, ValueError) as exc:
            detail = f"after event {last}: {exc}"
            fault = self._own_fault_or(RunFault.BROKEN)
            return _end(order, fault, last, detail)
        return _end(order, None, last, f"complete after event {last}")

    def _own_fault_or(self, fault: RunFault) -> RunFault:
        """Returns a fault of the engine, or this daemon's if it is cut off."""
        return RunFault.WORKER_LOST if self._is_cut_off() else fault


def _end(
    order: RunOrder,
    fault: RunFault | None,
    events: int,
    detail: str,
    retry_after_s: float = 0.0,
) -> RunEnd:
    return RunEnd(
        task_id=order.task_id,
        fault=fault.value if fault else "",
        events=events,
        detail=detail,
        retry_after_s=retry_after_s,
    )
