"""Shows that a large lot keeps another one from running at a new holder.

Two trainers have a large lot each, of which one runs and the other waits for
room. The daemon that runs both is killed. The next one reads the waiting lot
first, so that the one that had begun gets no room.
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
# The lot that has begun, and that of the other trainer, with their items, the
# bytes of an item's body, and the events of its text.
STEP, STEP_ITEMS, STEP_BYTES, STEP_EVENTS = "m-step", 40, 590_000, 40
OTHER, OTHER_ITEMS, OTHER_BYTES, OTHER_EVENTS = "c-step", 18, 735_000, 140
GAP_S = 0.07
DEADLINE_S = 12.0
RESTART_S = 0.5
CONTACT_S = 3.0
STEADY_S = 5.0
QUIET_S = 3.0


def make_lot(lot_id: str, count: int, size: int, model: str) -> dict:
    """Returns a lot with large items, in two groups."""
    body = base64.b64encode(b"a note. " * (size // 8)).decode()
    items = [
        system.make_item(f"{lot_id}-{n}", f"{lot_id}-{n % 2}", model=model)
        for n in range(count)
    ]
    for item in items:
        item["body"] = body
    return system.make_lot(lot_id, 0, 1, items, 2, model)


async def watch_load(deployment, loads: list) -> None:
    """Records the number of runs at all servers, ten times a second."""
    while True:
        running = sum(server.running for server in deployment.engines)
        loads.append((time.monotonic(), running))
        await asyncio.sleep(0.1)


async def play(deployment) -> int:
    """Plays the two lots; returns the exit status."""
    for server in deployment.engines:
        server.gap_s = GAP_S
        server.lengths = lambda item_id, version: (
            STEP_EVENTS if item_id.startswith(STEP) else OTHER_EVENTS
        )
    await deployment.start()
    await asyncio.sleep(2)
    loads: list[tuple[float, int]] = []
    watch = asyncio.create_task(watch_load(deployment, loads))
    holder = await deployment.holder()
    others = [name for name in deployment.daemons if name != holder]
    began_s = time.monotonic()
    lot = make_lot(STEP, STEP_ITEMS, STEP_BYTES, system.MODEL)
    if await submit(deployment, others[0], lot):
        raise system.CannotRunError("the first lot was not accepted")
    lot = make_lot(OTHER, OTHER_ITEMS, OTHER_BYTES, system.OTHER_MODEL)
    if await submit(deployment, others[1], lot):
        raise system.CannotRunError("the other lot was not accepted")
    await asyncio.sleep(0.4)
    calm_s = time.monotonic()
    if HAS_TROUBLE:
        deployment.signal(holder, signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        deployment.start_daemon(holder)
        calm_s = time.monotonic()
    listed = 0
    while time.monotonic() < began_s + DEADLINE_S and listed < STEP_ITEMS:
        status, page = await deployment.read(others[0], STEP, listed)
        if status == wire.OK:
            listed += len(page["results"])
        await asyncio.sleep(0.3)
    watch.cancel()
    over_s = min(time.monotonic(), began_s + DEADLINE_S)
    return judge(deployment, calm_s + CONTACT_S, over_s, loads, listed)


async def submit(deployment, daemon: str, lot: dict) -> bool:
    """Submits a lot; returns whether it was not accepted."""
    return await deployment.submit(daemon, lot, 10.0) != wire.ACCEPTED


def judge(
    deployment, steady_s: float, over_s: float, loads: list, listed: int
) -> int:
    """Checks the items of the step when it runs out of time."""
    runs = [
        run
        for server in deployment.engines
        for run in server.runs
        if run["id"].startswith(STEP)
    ]
    finished = {
        run["id"]
        for run in runs
        if run["made_s"] and run["made_s"][-1][0] == STEP_EVENTS
    }
    # Since when no server has had an unfinished item of the step.
    left_s = max((run["ended_s"] or over_s) for run in runs)
    unfinished = STEP_ITEMS - len(finished)
    # The rule's bound where several models are trained: any item's start.
    quiet_s = over_s - max(
        run["began_s"] for server in deployment.engines for run in server.runs
    )
    slots = sum(server.slots for server in deployment.engines)
    from_s = max(steady_s, left_s)
    most = max((count for at_s, count in loads if at_s >= from_s), default=0)
    waited_s = over_s - from_s
    deployment.record(
        "judged",
        listed=listed,
        begun=len({run["id"] for run in runs}),
        unfinished=unfinished,
        steady_s_at_no_server=round(waited_s, 2),
        most_runs_meanwhile=most,
        s_since_any_item_began=round(quiet_s, 2),
        slots=slots,
    )
    is_left = unfinished and waited_s >= STEADY_S and quiet_s >= QUIET_S
    return 1 if is_left and 2 * most < slots else 0


async def main() -> int:
    """Plays the case; returns the exit status."""
    deployment = system.System(FOLDER, daemons=4, engines=5, plain=4)
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
