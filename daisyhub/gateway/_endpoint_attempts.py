"""Sends requests to endpoints, one attempt a call, and records the results."""

import time

import anyio

from daisyhub.balancing import (
    Confirmation,
    Denial,
    EndpointDirectory,
    EndpointEntry,
    Permit,
    PermitSource,
)
from daisyhub.connections import (
    HttpClient,
    HttpResponse,
    RequestFailedError,
    RequestWithdrawnError,
    StreamedResponse,
)
from daisyhub.exceptions import ExecutionStatus
from daisyhub.filters import AttemptCompleted, AttemptOutcome, StartAttempt
from daisyhub.gateway._crash_watch import CrashWatch
from daisyhub.gateway._head_recorder import HeadRecorder
from daisyhub.gateway._relays import Relays
from daisyhub.gateway._send_outcomes import make_failed_outcome
from daisyhub.gateway._send_task import SendState, SendTask
from daisyhub.gateway._send_timing import endpoint_timeout_s
from daisyhub.gateway._stream_guard import StreamGuard
from daisyhub.gateway._wire import (
    EndpointRequest,
    EndpointWire,
)
from daisyhub.metrics import Metrics

__all__ = ["EndpointAttempts"]

# Responses with this status or a higher one give no latency sample.
_MIN_SERVER_ERROR_STATUS = 500


class EndpointAttempts:
    """Sends requests to endpoints directly.

    Args:
        directory: Known endpoints, their latencies and loads.
        http: HTTP client with a connection pool.
        wire: Wire format of endpoints.
        permits: Permits for endpoints that limit their rate.
        crashes: Notices requests under which endpoints end.
        streams: Keeps streams at the release that began them.
        relays: Ends attempts without an answer once this daemon is cut off.
        metrics: Counts attempts.
        heads: Records what response heads state.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        http: HttpClient,
        wire: EndpointWire,
        permits: PermitSource,
        crashes: CrashWatch,
        streams: StreamGuard,
        relays: Relays,
        metrics: Metrics,
        heads: HeadRecorder,
    ):
        self._directory = directory
        self._http = http
        self._wire = wire
        self._permits = permits
        self._crashes = crashes
        self._streams = streams
        self._relays = relays
        self._metrics = metrics
        self._heads = heads

    async def send(
        self, state: SendState, action: StartAttempt
    ) -> AttemptOutcome:
        """Sends the request to one endpoint and records the result."""
        task, digest = state.task, state.digest
        endpoint = self._directory.get(action.endpoint_id)
        if (
            endpoint is None
            or not self._directory.accepts(endpoint.entry)
            or not self._streams.may_serve(state.release, endpoint.entry)
            or (state.sent and not self._crashes.may_repeat(task, digest))
        ):
            # It was leaving, evacuated or restarted only after it was chosen,
            # or endpoints ended under the earlier attempts.
            return _withdrawn(action)
        allowed = await self._allow(state, action, endpoint.entry)
        if allowed is None:
            return _withdrawn(action)
        permit, confirmation = allowed
        sent_s = time.monotonic()
        endpoint_id = action.endpoint_id
        load = endpoint.load(sent_s)
        is_absent = endpoint.absent_since_s is not None
        token = self._directory.record_sent(
            endpoint_id, state.task.route.name, sent_s
        )
        self._metrics.count("attempts", pool=endpoint.entry.pool)
        if is_absent:
            self._metrics.count("absent_attempts", pool=endpoint.entry.pool)
        result = "cancelled"
        state.sent += 1
        state.exchanges += 1
        try:
            fresh = state.record_attempt(endpoint_id)
            response = None
            with self._relays.watch_attempt(
                endpoint_id, is_repeatable=task.route.is_repeatable
            ):
                response = await self._exchange(
                    state.task, endpoint.entry, permit, confirmation, fresh
                )
            if response is None:
                result = "given up, as this daemon is cut off"
                self._directory.record_failed(
                    endpoint_id, token, time.monotonic()
                )
                return make_failed_outcome(
                    action, ExecutionStatus.UNKNOWN, timed_out=True
                )
            result = f"status {response.status}"
        except RequestWithdrawnError as exc:
            result = str(exc)
            state.sent -= 1
            self._directory.record_closed(endpoint_id, token)
            return make_failed_outcome(
                action, exc.ran, was_sent=False, is_withdrawn=True
            )
        except RequestFailedError as exc:
            result = str(exc)
            state.sent -= exc.ran is ExecutionStatus.NOT_RUN
            self._directory.record_failed(endpoint_id, token, time.monotonic())
            await self._crashes.record_failure(
                task, digest, endpoint.entry, exc
            )
            return make_failed_outcome(
                action,
                exc.ran,
                timed_out=exc.timed_out,
                incomplete=exc.ran is ExecutionStatus.RAN,
                was_sent=exc.ran is not ExecutionStatus.NOT_RUN,
            )
        except anyio.get_cancelled_exc_class():
            now_s = time.monotonic()
            self._directory.record_abandoned(endpoint_id, token, now_s)
            if not state.is_answered:
                self._crashes.record_abandoned(task, digest, endpoint.entry)
            raise
        finally:
            took_s = time.monotonic() - sent_s
            absent = " absent" if is_absent else ""
            state.trace.append(
                f"{endpoint_id}{absent} load {load}: {result} "
                f"after {took_s:.3f} s"
            )
        return await self._evaluate_response(
            state, action, endpoint.entry, token, sent_s, response
        )

    async def _allow(
        self, state: SendState, action: StartAttempt, entry: EndpointEntry
    ) -> tuple[Permit, Confirmation] | None:
        """Waits for a permit and has the process confirmed; None if denied."""
        permit = await self._permits.acquire(
            entry, state.urgency, state.max_wait_s
        )
        if isinstance(permit, Denial):
            wait_s = permit.room_at_s - time.monotonic()
            state.trace.append(f"{action.endpoint_id} room in {wait_s:.3f} s")
            return None
        await anyio.sleep(max(0.0, permit.start_at_s - time.monotonic()))
        confirmation = await self._streams.confirm(state.release, entry)
        if confirmation is None:
            state.trace.append(f"{action.endpoint_id} not confirmed")
            return None
        return permit, confirmation

    async def _exchange(
        self,
        task: SendTask,
        entry: EndpointEntry,
        permit: Permit,
        confirmation: Confirmation,
        fresh: bool,
    ) -> HttpResponse | StreamedResponse:
        """Returns the endpoint's response, streamed or buffered as required.

        Raises:
            RequestWithdrawnError: The endpoint was leaving, or the permit or
                the confirmation had ended, once a connection was open.
            RequestFailedError: No complete response, or no response head of a
                stream, was received.
        """
        remaining_s = max(0.0, task.deadline_s - time.monotonic())
        headers = self._wire.request_headers(
            EndpointRequest(
                request_id=task.request_id,
                host=task.host,
                endpoint_id=entry.endpoint_id,
                account=task.account,
                remaining_s=endpoint_timeout_s(remaining_s),
                headers=task.headers,
            )
        )
        args = (task.method, entry.address, task.target)
        kwargs = {
            "headers": headers,
            "body": task.body,
            "timeout_s": remaining_s,
            "fresh": fresh,
            "may_send": lambda: (
                task.may_send()
                and self._directory.accepts(entry)
                and self._permits.may_send(permit)
                and confirmation.is_valid()
            ),
        }
        if task.is_streamed:
            return await self._http.open(*args, **kwargs)
        return await self._http.request(*args, **kwargs, may_wait=not fresh)

    async def _evaluate_response(
        self,
        state: SendState,
        action: StartAttempt,
        entry: EndpointEntry,
        token: int,
        sent_s: float,
        response: HttpResponse | StreamedResponse,
    ) -> AttemptOutcome:
        """Updates the directory; returns the outcome for the core.

        The attempt failed if the endpoint states that it didn't run the
        request, or if the response would promise that to the caller although
        the endpoint doesn't state it. Any other response, an error included,
        is delivered.

        Args:
            state: State of the request.
            action: The attempt.
            entry: The endpoint's entry.
            token: The directory's token of the attempt.
            sent_s: When the request was sent.
            response: The response, or the head of a streamed one.
        """
        now_s = time.monotonic()
        endpoint_id = action.endpoint_id
        head = self._wire.read_response_head(response.status, response.headers)
        self._heads.record(entry, head, "request", sent_s)
        if not (head.is_not_run or head.is_promise):
            if not self._streams.may_serve(state.release, entry):
                self._directory.record_closed(endpoint_id, token)
                await response.aclose()
                return make_failed_outcome(
                    action, ExecutionStatus.RAN, incomplete=True
                )
            if response.status < _MIN_SERVER_ERROR_STATUS:
                self._directory.record_answered(endpoint_id, token, now_s)
            else:
                self._directory.record_closed(endpoint_id, token)
            state.is_answered = True
            if isinstance(response, StreamedResponse):
                state.responding = (entry, sent_s)
                state.answered_by = self._streams.release_of(entry)
            else:
                self._crashes.record_response(state.digest, entry, sent_s)
            return AttemptOutcome(AttemptCompleted(action.attempt), response)
        state.sent -= head.is_not_run
        if isinstance(response, StreamedResponse):
            await response.drain()
        if head.is_misdirected:
            self._directory.record_failed(endpoint_id, token, now_s)
        else:
            self._directory.record_closed(endpoint_id, token)
        ran = (
            ExecutionStatus.NOT_RUN
            if head.is_not_run
            else ExecutionStatus.UNKNOWN
        )
        return make_failed_outcome(action, ran)


def _withdrawn(action: StartAttempt) -> AttemptOutcome:
    """Returns the outcome of an attempt that was not sent."""
    return make_failed_outcome(
        action, ExecutionStatus.NOT_RUN, was_sent=False, is_withdrawn=True
    )
