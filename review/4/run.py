"""LOST: a batch submission stays with the service its route has left.

The operator moves the rollout route from one service of model servers to
another, and takes the old servers away once the change is in force.
"""

import asyncio
import pathlib
import time

from review.lib.case import ZONES, Case, CouldNotRunError, run_case
from review.lib.lots import Trainer, build_lot
from review.lib.manifests import manifest, plain_route, rollout_route
from review.lib.server import Server

SERVICES = {"old-lm": ["m0"], "new-lm": ["m0"], "desk": []}
EVENTS = 20
EVENT_S = 0.04
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
TRAINER_DEADLINE_S = 12.0
AT_NO_SERVER_S = 5.0


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


async def _migrate(case: Case, old: list[Server]) -> None:
    """Moves the route, then takes the old servers away."""
    await asyncio.sleep(0.5)
    case.store.put("config", "main", _manifest(12, "new-lm"))
    case.note("manifest 12 confirmed: /gen/ is served by new-lm")
    await asyncio.sleep(CONFIG_APPLY_S)
    case.note("the servers of old-lm report draining")
    async with asyncio.TaskGroup() as tasks:
        for server in old:
            tasks.create_task(server.leave(DRAIN_S, 1.0))
    case.note("the servers of old-lm have left")


def _judge(case: Case, trainer: Trainer, servers: list[Server]) -> None:
    """Checks each item of the step that has run out of time."""
    now_s = time.monotonic()
    begun = {r["id"] for s in servers for r in s.ran}
    listed = {result["id"] for result in trainer.results}
    never = [i for i in trainer.item_ids if i not in begun and i not in listed]
    case.note(
        f"{len(listed)} items listed, {len(begun & set(trainer.item_ids))} "
        f"began at a server, {len(never)} never reached one"
    )
    for server in servers:
        items = sum(r["id"] in trainer.item_ids for r in server.ran)
        case.note(f"{server.name}: {items} items, {server.running} running now")
    waited_s = now_s - trainer.accepted_s
    if never and waited_s >= AT_NO_SERVER_S:
        case.break_rule(
            f"LOST: the step ran out of time after {waited_s:.1f} s with "
            f"{len(never)} items that never reached a server, while new-lm "
            "was empty"
        )


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
    if not is_whole:
        _judge(case, trainer, [*old, *new])
    await trainer.end()
    if migration is None:
        return
    await migration
    # The next step shows that new-lm serves the route.
    following = Trainer(case, "2ad0c7155e", build_lot("2ad0c7155e", "m0", 4, 4))
    await following.submit()
    is_whole = await following.read_until(time.monotonic() + 10.0)
    case.note(f"a lot that was submitted afterwards is whole: {is_whole}")
    await following.end()


if __name__ == "__main__":
    run_case(str(pathlib.Path(__file__).parent), play)
