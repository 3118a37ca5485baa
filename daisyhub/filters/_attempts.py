"""Executes the attempts of the forward core, concurrently if it hedges."""

import dataclasses
import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.connections import HttpResponse, StreamedResponse
from daisyhub.filters._forward_core import (
    AttemptCompleted,
    AttemptFailed,
    DeliverResponse,
    FailRequest,
    ForwardCore,
    ForwardStarted,
    ForwardTick,
    StartAttempt,
)

__all__ = ["AttemptOutcome", "run_attempts"]

# Outcomes of concurrent attempts that are buffered until the core handles them.
_OUTCOME_BUFFER_SIZE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The result of one attempt.

    Attributes:
        event: The event for the core.
        response: The response of the endpoint; None if the attempt failed.
    """

    event: AttemptCompleted | AttemptFailed
    response: HttpResponse | StreamedResponse | None = None


AttemptSender = Callable[[StartAttempt], Awaitable[AttemptOutcome]]


async def run_attempts(
    core: ForwardCore, send_attempt: AttemptSender
) -> AttemptOutcome | FailRequest:
    """Runs attempts until the core delivers a response or fails the request.

    Args:
        core: The forward core of one request.
        send_attempt: Sends the request to one endpoint. It must return by the
            plan's deadline, since the core gets ticks only if it hedges.

    Returns:
        The outcome with the response to deliver, or the core's `FailRequest`.
    """
    if core.plan.hedge_after_s > 0:
        return await _run_hedged(core, send_attempt)
    outcome = None
    actions = core.handle(ForwardStarted(), time.monotonic())
    while isinstance(actions[0], StartAttempt):
        outcome = await send_attempt(actions[0])
        actions = core.handle(outcome.event, time.monotonic())
    return actions[0] if isinstance(actions[0], FailRequest) else outcome


async def _run_hedged(
    core: ForwardCore, send_attempt: AttemptSender
) -> AttemptOutcome | FailRequest:
    """Runs attempts concurrently; delivers the first complete response."""
    outcomes: dict[int, AttemptOutcome] = {}
    send, receive = anyio.create_memory_object_stream[AttemptOutcome](
        _OUTCOME_BUFFER_SIZE
    )
    final = None

    async def run(action: StartAttempt) -> None:
        await send.send(await send_attempt(action))

    async with anyio.create_task_group() as tasks:
        actions = core.handle(ForwardStarted(), time.monotonic())
        while final is None:
            for action in actions:
                if isinstance(action, StartAttempt):
                    tasks.start_soon(run, action)
                else:
                    final = action
            if final is not None:
                break
            event = await _wait_for_event(core, receive, outcomes)
            actions = core.handle(event, time.monotonic())
        tasks.cancel_scope.cancel()
    send.close()
    receive.close()
    return (
        outcomes[final.attempt] if isinstance(final, DeliverResponse) else final
    )


async def _wait_for_event(core, receive, outcomes) -> object:
    """Returns the next outcome's event, or a tick at the core's wake-up."""
    wakeup_s = core.next_wakeup_s
    wait_s = None
    if wakeup_s is not None:
        wait_s = max(0.0, wakeup_s - time.monotonic())
    with anyio.move_on_after(wait_s):
        outcome = await receive.receive()
        outcomes[outcome.event.attempt] = outcome
        return outcome.event
    return ForwardTick()
