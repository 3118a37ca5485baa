"""Sends requests to endpoints; the forward core decides on attempts."""

import dataclasses
import math
import time
from collections.abc import Callable

import anyio

from daisyhub.balancing import (
    EndpointDirectory,
    LocalPermits,
    PermitSource,
    ProcessCheck,
    Release,
)
from daisyhub.connections import HttpClient
from daisyhub.exceptions import ErrorCode
from daisyhub.filters import (
    AttemptOutcome,
    FailRequest,
    ForwardCore,
    ForwardPlan,
    RetryBudget,
    StartAttempt,
    run_attempts,
)
from daisyhub.gateway._crash_watch import CrashWatch
from daisyhub.gateway._endpoint_attempts import EndpointAttempts
from daisyhub.gateway._head_recorder import HeadRecorder
from daisyhub.gateway._relays import NoRelays, Relays
from daisyhub.gateway._request_admission import RequestAdmission
from daisyhub.gateway._rooms import RoomView
from daisyhub.gateway._send_outcomes import (
    make_refusal,
    make_response,
)
from daisyhub.gateway._send_task import SendState, SendTask
from daisyhub.gateway._send_timing import (
    HEDGE_LEAD_FACTOR,
    choose_pools,
    hedge_after_s,
)
from daisyhub.gateway._stream_guard import StreamGuard
from daisyhub.gateway._wire import EndpointWire
from daisyhub.logs import DecisionLog
from daisyhub.messages import Response
from daisyhub.metrics import Metrics
from daisyhub.streams import LocalStreamOrigins, StreamOrigins
from daisyhub.suspects import LocalSuspects, Suspects, Verdict

__all__ = ["Sender"]


class Sender:
    """Sends requests to endpoints and records the results in the directory.

    Args:
        directory: Known endpoints, their latencies and loads.
        http: HTTP client with a connection pool.
        wire: Wire format of endpoints.
        metrics: Counts attempts.
        log: Receives a line about the attempts of each request.
        permits: Permits for endpoints that limit their rate; by default of a
            daemon without peers.
        suspects: Requests under which endpoints ended; by default those of a
            daemon without peers.
        stream_origins: The releases that began streams; by default those of a
            daemon without peers.
        relays: Peers that send requests while this daemon is cut off from the
            endpoints.
        heads: Records what response heads state.
        admission: Refuses requests that can't be served in time; by default
            none is.
        processes: Confirms processes before they go on with a stream; by
            default each is taken for current.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        http: HttpClient,
        wire: EndpointWire,
        metrics: Metrics,
        log: DecisionLog,
        permits: PermitSource | None = None,
        suspects: Suspects | None = None,
        stream_origins: StreamOrigins | None = None,
        relays: Relays | None = None,
        heads: HeadRecorder | None = None,
        admission: RequestAdmission | None = None,
        processes: ProcessCheck | None = None,
    ):
        self._directory = directory
        self._log = log
        permits = permits or LocalPermits()
        self._rooms = RoomView(directory, permits)
        self._relays = relays or NoRelays()
        self._crashes = CrashWatch(
            suspects or LocalSuspects(directory.is_listed), http, metrics, log
        )
        self._streams = StreamGuard(
            stream_origins or LocalStreamOrigins(), directory, processes
        )
        self._attempts = EndpointAttempts(
            directory,
            http,
            wire,
            permits,
            self._crashes,
            self._streams,
            self._relays,
            metrics,
            heads or HeadRecorder(directory, permits, metrics=metrics, log=log),
        )
        self._admission = admission
        self._budget = RetryBudget()

    async def send(self, task: SendTask) -> Response:
        """Returns an endpoint's response; its body may still be streamed.

        Raises:
            Refusal: No endpoint returned a response, or the request is
                blocked. Its `ran` says whether the request was executed.
        """
        release = await self._streams.find_release(task)
        state = SendState(task, task.content_digest(), release)
        if self._admission is not None:
            self._admission.check(task, state.digest)
        return await self._send(state, task.route.max_attempts)

    async def relay(
        self, task: SendTask, release: Release | None
    ) -> tuple[Response, Release | None]:
        """Sends a request that a peer accepted, in one attempt.

        Args:
            task: The request.
            release: The release that must serve it; None for any.

        Returns:
            The endpoint's response, and the endpoint's release if it is known.

        Raises:
            Refusal: See `send`.
        """
        state = SendState(task, task.content_digest(), release)
        resp = await self._send(state, max_attempts=1)
        return resp, state.answered_by

    async def _send(self, state: SendState, max_attempts: int) -> Response:
        """Sends a request; see `send`."""
        started_s = time.monotonic()
        task, release = state.task, state.release
        pools = (release.pool,) if release else choose_pools(task.route)
        usual_s = self._directory.median_latency_s(task.route.name)
        plan = ForwardPlan(
            idempotent=task.route.is_repeatable,
            deadline_s=task.deadline_s,
            hedge_after_s=hedge_after_s(task, usual_s),
            max_attempts=max_attempts,
        )
        if await self._crashes.judge(task, state.digest) is not Verdict.FREE:
            plan = dataclasses.replace(plan, hedge_after_s=0.0, max_attempts=1)

        def choose(excluded: frozenset[str]) -> str | None:
            relay = self._relays.choose(state, excluded, started_s)
            if relay is not None:
                return relay
            excluded = excluded | self._streams.other_releases(release)
            passed_over = excluded | self._rooms.passed_over(
                state.urgency, pools, excluded
            )
            return self._directory.choose(pools, passed_over, time.monotonic())

        outcome = await self._run(state, plan, choose)
        if _found_no_endpoint(outcome):
            outcome = await self._wait_for_room(state, plan, pools, outcome)
        is_refused = isinstance(outcome, FailRequest)
        is_evacuated = is_refused and self._directory.are_evacuated(pools)
        if is_evacuated:
            state.trace.append("all endpoints are evacuated")
        self._log.record(
            "sent",
            id=task.request_id,
            route=task.route.name,
            account=task.account,
            content=state.digest.hex(),
            pools=pools,
            is_relayed=task.is_relayed,
            resumes=task.resumption.first_request_id if task.resumption else "",
            answered_by=str(state.answered_by or ""),
            usual_s=round(usual_s, 4),
            hedge_after_s=round(plan.hedge_after_s, 3),
            attempts=state.trace,
            outcome=outcome.error.label if is_refused else "answered",
            took_s=round(time.monotonic() - started_s, 4),
        )
        if is_refused:
            room_in_s = self._rooms.next_in_s(state.urgency, pools)
            raise make_refusal(
                outcome, usual_s, room_in_s, is_evacuated=is_evacuated
            )
        resp = make_response(outcome.response)
        if resp.stream is None:
            return resp
        return await self._begin_stream(state, resp)

    async def _begin_stream(self, state: SendState, resp: Response) -> Response:
        """Records where a stream began; returns its response."""
        try:
            await self._streams.record_begin(state.task, state.answered_by)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await resp.stream.aclose()
            raise
        if state.responding is None:
            # The peer that sent it watches it.
            return resp
        entry, sent_s = state.responding
        stream = self._crashes.watch(
            resp.stream, state.task, state.digest, entry, sent_s
        )
        return dataclasses.replace(resp, stream=stream)

    async def _run(
        self,
        state: SendState,
        plan: ForwardPlan,
        choose: Callable[[frozenset[str]], str | None],
    ) -> AttemptOutcome | FailRequest:
        """Makes the attempts that the core decides on."""
        core = ForwardCore(plan, choose, self._budget)

        async def attempt(action: StartAttempt) -> AttemptOutcome:
            if self._relays.is_relay(action.endpoint_id):
                return await self._relays.send(state, action)
            return await self._attempts.send(state, action)

        return await run_attempts(core, attempt)

    async def _wait_for_room(
        self,
        state: SendState,
        plan: ForwardPlan,
        pools: tuple[str, ...],
        refusal: FailRequest,
    ) -> AttemptOutcome | FailRequest:
        """Sends the request to the endpoint that has room first.

        Only if the response can be received by the deadline; else the request
        is refused at once.

        Args:
            state: State of the request.
            plan: How it may be forwarded.
            pools: Names of the pools to choose from.
            refusal: The outcome if no endpoint has room in time.
        """
        task = state.task
        usual_s = self._directory.median_latency_s(task.route.name)
        latest_s = task.deadline_s - HEDGE_LEAD_FACTOR * usual_s
        state.max_wait_s = latest_s - time.monotonic()
        candidates = self._rooms.limited(state.urgency, pools)
        if min(candidates.values(), default=math.inf) > latest_s:
            return refusal

        def choose_first(excluded: frozenset[str]) -> str | None:
            others = excluded | self._streams.other_releases(state.release)
            open_ids = [e for e in candidates if e not in others]
            return min(open_ids, key=candidates.__getitem__, default=None)

        unhedged = dataclasses.replace(plan, hedge_after_s=0.0)
        return await self._run(state, unhedged, choose_first)


def _found_no_endpoint(outcome: AttemptOutcome | FailRequest) -> bool:
    """Whether nothing was sent, as no endpoint could be chosen."""
    return (
        isinstance(outcome, FailRequest)
        and outcome.error is ErrorCode.NO_ENDPOINT
    )
