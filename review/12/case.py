"""Shows that a large lot that can't run yet keeps another one from running.

A trainer asks for a step ahead, as some do. That lot waits for a version that
is named only after the step before. The daemon that runs both is killed, and
the next one reads the waiting lot first. The other one gets no room then.
"""

import asyncio
import base64
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig3"))

import system  # noqa: E402
import wire  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GROUPS, SIZE = 5, 8
# Bytes of an item's body, so that a lot has 30 MB, within `max-body-bytes`.
BODY = base64.b64encode(b"a note. " * 70_000).decode()
# The step that runs, and the next one, asked for ahead.
STEP, AHEAD = "step-0", "ahead-1"
DEADLINE_S = 12.0
CONTACT_S = 3.0
STEADY_S = 5.0
EVENTS = 60


def make_lot(lot_id: str, step: int, min_version: int) -> dict:
    """Returns a lot with large items."""
    items = [
        system.make_item(f"{lot_id}-{g}-{n}", f"{lot_id}-{g}")
        for g in range(GROUPS)
        for n in range(SIZE)
    ]
    for item in items:
        item["body"] = BODY
    return system.make_lot(lot_id, step, min_version, items, GROUPS)


async def play(deployment) -> int:
    """Plays the two steps; returns the exit status."""
    for server in deployment.engines:
        server.gap_s = 0.05
        server.lengths = lambda item_id, version: EVENTS
    await deployment.start()
    await asyncio.sleep(2)
    holder = await deployment.holder()
    others = [name for name in deployment.daemons if name != holder]
    began_s = time.monotonic()
    if await submit(deployment, others[0], make_lot(STEP, 0, 1)):
        raise system.CannotRunError("the step was not accepted")
    await asyncio.sleep(0.5)
    if await submit(deployment, others[1], make_lot(AHEAD, 1, 2)):
        raise system.CannotRunError("the step ahead was not accepted")
    await asyncio.sleep(0.5)
    killed_s = time.monotonic()
    if HAS_TROUBLE:
        deployment.signal(holder, signal.SIGKILL)
        await asyncio.sleep(3.5)
        deployment.start_daemon(holder)
    results: list[dict] = []
    while time.monotonic() < began_s + DEADLINE_S:
        status, page = await deployment.read(others[0], STEP, len(results))
        if status == wire.OK:
            results += page["results"]
        if len(results) == GROUPS * SIZE:
            break
        await asyncio.sleep(0.3)
    over_s = time.monotonic()
    return judge(deployment, killed_s, over_s, len(results))


async def submit(deployment, daemon: str, lot: dict) -> bool:
    """Submits a lot; returns whether it was not accepted."""
    return await deployment.submit(daemon, lot, 10.0) != wire.ACCEPTED


def judge(deployment, killed_s: float, over_s: float, listed: int) -> int:
    """Checks the items of the step when it runs out of time."""
    runs = [run for server in deployment.engines for run in server.runs]
    begun = {run["id"] for run in runs if run["id"].startswith(STEP)}
    finished = {
        run["id"]
        for run in runs
        if run["made_s"] and run["made_s"][-1][0] == EVENTS
    }
    steady_s = killed_s + CONTACT_S
    busy = [
        run for run in runs if (run["ended_s"] or over_s) > over_s - STEADY_S
    ]
    waiting = [
        item
        for item in (
            f"{STEP}-{g}-{n}" for g in range(GROUPS) for n in range(SIZE)
        )
        if item not in finished
    ]
    deployment.record(
        "judged",
        listed=listed,
        begun=len(begun),
        unfinished=len(waiting),
        runs_in_the_last_5_s=len(busy),
        steady_s=round(over_s - steady_s, 2),
    )
    is_broken = (
        bool(waiting)
        and bool(begun)
        and not busy
        and over_s - steady_s >= STEADY_S
    )
    return 1 if is_broken else 0


async def main() -> int:
    """Plays the case; returns the exit status."""
    deployment = system.System(FOLDER, daemons=4)
    try:
        async with asyncio.timeout(100):
            return await play(deployment)
    except (system.CannotRunError, TimeoutError) as exc:
        deployment.record("cannot_run", reason=repr(exc))
        return 2
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(system.run(main))
