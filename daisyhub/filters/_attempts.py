"""Carries out what the forward core decides, side by side if it hedges."""

import dataclasses
import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.connections import HttpAnswer, StreamedAnswer
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

_MOST_WAITING = 4


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """What an attempt brought: an event for the core, and the answer."""

    event: AttemptCompleted | AttemptFailed
    answer: HttpAnswer | StreamedAnswer | None = None


Attempt = Callable[[StartAttempt], Awaitable[AttemptOutcome]]


async def run_attempts(
    core: ForwardCore, attempt: Attempt
) -> AttemptOutcome | FailRequest:
    """Runs attempts until one is delivered or the core gives up.

    Args:
        core: Decides about one request.
        attempt: Sends the request to one endpoint.

    Returns:
        The outcome whose answer is to be delivered, or the refusal.
    """
    if core.plan.hedge_after_s > 0:
        return await _run_hedged(core, attempt)
    outcome = None
    actions = core.handle(ForwardStarted(), time.monotonic())
    while isinstance(actions[0], StartAttempt):
        outcome = await attempt(actions[0])
        actions = core.handle(outcome.event, time.monotonic())
    return actions[0] if isinstance(actions[0], FailRequest) else outcome


async def _run_hedged(
    core: ForwardCore, attempt: Attempt
) -> AttemptOutcome | FailRequest:
    """Runs attempts side by side; the first whole answer wins."""
    outcomes: dict[int, AttemptOutcome] = {}
    send, receive = anyio.create_memory_object_stream[AttemptOutcome](
        _MOST_WAITING
    )
    final = None

    async def run(action: StartAttempt) -> None:
        await send.send(await attempt(action))

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
            event = await _next_event(core, receive, outcomes)
            actions = core.handle(event, time.monotonic())
        tasks.cancel_scope.cancel()
    send.close()
    receive.close()
    return (
        outcomes[final.attempt] if isinstance(final, DeliverResponse) else final
    )


async def _next_event(core, receive, outcomes) -> object:
    wakeup_s = core.next_wakeup_s
    wait_s = None
    if wakeup_s is not None:
        wait_s = max(0.0, wakeup_s - time.monotonic())
    with anyio.move_on_after(wait_s):
        outcome = await receive.receive()
        outcomes[outcome.event.attempt] = outcome
        return outcome.event
    return ForwardTick()
