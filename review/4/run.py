"""LOST: a batch submission stays with the service its route has left.

The operator moves the rollout route from one service of model servers to
another, and takes the old servers away once the change is in force.
"""

import asyncio
import pathlib
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

SERVICES = {"old-lm": ["m0"], "new-lm": ["m0"], "desk": []}
EVENTS = 20
EVENT_S = 0.04
DRAIN_S = 2.0
# Time from the manifest to the reports of `draining`, and for which a server
# serves on after `drain-ms`.
BETWEEN_S = 1.0
LINGER_S = 0.2


def _manifest(version: int, service: str) -> dict:
    routes = [
        rollout_route(service),
        plain_route("score", "/score/", "desk", public=True),
    ]
    return manifest(version, routes, SERVICES)


def _model_server(case: Case, service: str, number: int) -> Server:
    return Server(
        case.store,
        f"{service}-{number}",
        service,
        f"z{number}",
        models={"m0": 1},
        slots=4,
        events=lambda _: EVENTS,
        event_s=EVENT_S,
    )


async def _migrate(case: Case, old: list[Server]) -> float:
    """Moves the route, takes the old servers away; returns when they left."""
    await asyncio.sleep(0.2)
    case.store.put("config", "main", _manifest(12, "new-lm"))
    case.note("manifest 12 confirmed: /gen/ is served by new-lm")
    await asyncio.sleep(BETWEEN_S)
    case.note("the servers of old-lm report draining")
    async with asyncio.TaskGroup() as tasks:
        for server in old:
            tasks.create_task(server.leave(DRAIN_S, LINGER_S))
    case.note("the servers of old-lm have left")
    return time.monotonic()


async def play(case: Case) -> None:
    """Plays the case."""
    old = [_model_server(case, "old-lm", n) for n in (1, 2, 3)]
    new = [_model_server(case, "new-lm", n) for n in (1, 2, 3)]
    desk = [Server(case.store, f"desk-{n}", "desk", f"z{n}") for n in (1, 2)]
    case.servers = [*old, *new, *desk]
    case.store.put("config", "main", _manifest(11, "old-lm"))
    for server in case.servers:
        await server.start()
    await case.start_daemons(ZONES)
    case.note(f"{await case.holder('rollouts')} has the duty for lots")
    await asyncio.sleep(4.0)
    trainer = Trainer(case, "7c41e09b52", build_lot("7c41e09b52", "m0", 18, 4))
    if not await trainer.submit():
        raise CouldNotRunError("the lot was not accepted")
    migration = None
    if case.trouble:
        migration = asyncio.create_task(_migrate(case, old))
    until_s = trainer.accepted_s + TRAINER_DEADLINE_S
    is_whole = await trainer.read_until(until_s)
    disturbed_s = await migration if migration else trainer.accepted_s
    if not is_whole:
        judge_step(case, trainer, [*old, *new], disturbed_s)
    await trainer.end()
    if migration is None:
        return
    # The next step shows that new-lm serves the route.
    following = Trainer(case, "2ad0c7155e", build_lot("2ad0c7155e", "m0", 4, 4))
    await following.submit()
    is_whole = await following.read_until(time.monotonic() + 10.0)
    case.note(f"a lot that was submitted afterwards is whole: {is_whole}")
    await following.end()


if __name__ == "__main__":
    run_case(str(pathlib.Path(__file__).parent), play)
