"""LOST: nobody takes the duty for lots once most daemons are lost.

Three of six daemons are lost, and seconds later a fourth one: that which has
the duty for lots, with a step in progress.
"""

import asyncio
import os
import pathlib
import signal
import time

from review.lib.case import ZONES, Case, CouldNotRunError, run_case
from review.lib.lots import (
    TRAINER_DEADLINE_S,
    Trainer,
    build_lot,
    judge_step,
)
from review.lib.manifests import manifest, plain_route, rollout_route
from review.lib.server import Server

LOST = 4
# Time between the loss of three daemons and the submission of the step.
BETWEEN_S = 3.0
EVENTS = 20
EVENT_S = 0.04
# Time for which the duty's record is watched after the judgement, by default
# not at all.
WATCH_S = float(os.environ.get("WATCH_S", "0"))


def _lose(case: Case, names: list[str]) -> None:
    """Loses some daemons for good, at one moment."""
    for name in names:
        case.signal(name, signal.SIGKILL)
        case.daemons.remove(name)
    case.note(f"{', '.join(case.daemons)} are left")


async def _watch_duty(case: Case, holder: str) -> None:
    """Notes when another daemon takes the duty; decides nothing."""
    until_s = time.monotonic() + (WATCH_S if case.trouble else 0.0)
    while time.monotonic() < until_s:
        if await case.holder("rollouts") != holder:
            break
        await asyncio.sleep(0.2)
    record = case.store.get("duties", "rollouts")
    case.note(f"record of the duty for lots: {record['spec']}")


async def play(case: Case) -> None:
    """Plays the case."""
    routes = [
        rollout_route("lm"),
        plain_route("score", "/score/", "desk", public=True),
    ]
    services = {"lm": ["m0"], "desk": []}
    case.store.put("config", "main", manifest(11, routes, services))
    servers = [
        Server(
            case.store,
            f"lm-{n}",
            "lm",
            f"z{n}",
            models={"m0": 1},
            slots=4,
            events=lambda _: EVENTS,
            event_s=EVENT_S,
        )
        for n in (1, 2, 3)
    ]
    desk = [Server(case.store, f"desk-{n}", "desk", f"z{n}") for n in (1, 2)]
    case.servers = [*servers, *desk]
    for server in case.servers:
        await server.start()
    await case.start_daemons(ZONES)
    await asyncio.sleep(4.0)
    holder = await case.holder("rollouts")
    case.note(f"{holder} has the duty for lots")
    others = [name for name in case.daemons if name != holder]
    if case.trouble:
        _lose(case, others[: LOST - 1])
    await asyncio.sleep(BETWEEN_S)
    trainer = Trainer(case, "7c41e09b52", build_lot("7c41e09b52", "m0", 18, 4))
    if not await trainer.submit():
        raise CouldNotRunError("the lot was not accepted")
    await asyncio.sleep(1.2)
    disturbed_s = trainer.accepted_s
    if case.trouble:
        _lose(case, [holder])
        disturbed_s = time.monotonic()
    until_s = trainer.accepted_s + TRAINER_DEADLINE_S
    if not await trainer.read_until(until_s):
        judge_step(case, trainer, servers, disturbed_s)
    await trainer.end()
    await _watch_duty(case, holder)


if __name__ == "__main__":
    run_case(str(pathlib.Path(__file__).parent), play)
