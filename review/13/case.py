"""Shows that an item that can never be done reaches servers again and again.

A server answers an item with 422. The item's group isn't complete when the
trainer ends its lot. So it comes again in the next one, under the same ids.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig3"))

import system  # noqa: E402
import wire  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEPS = 6
GROUPS, SIZE = 6, 8
IMPOSSIBLE = "xn0"
# Answers of 422 after which the item must not reach a server again.
MOST_ANSWERS = 3


async def play(deployment) -> int:
    """Plays the steps of a trainer; returns the exit status."""
    for server in deployment.engines:
        server.lengths = lambda item_id, version: (
            60 if item_id.startswith("x") and item_id != IMPOSSIBLE else 10
        )
        server.gap_s = 0.04
        if HAS_TROUBLE:
            server.impossible = frozenset([IMPOSSIBLE])
    await deployment.start()
    await asyncio.sleep(2)
    for step in range(STEPS):
        await play_step(deployment, step)
        # The trainer trains and names the next version.
        await asyncio.sleep(1.0)
        deployment.name_version(step + 2)
        await asyncio.sleep(2.5)
    return judge(deployment)


async def play_step(deployment, step: int) -> None:
    """Plays one step: the trainer waits for all groups but the first.

    The group that was not complete comes again, and first.
    """
    daemon = deployment.daemons[step % len(deployment.daemons)]
    names = [f"xn{n}" for n in range(SIZE)]
    fresh = [f"s{step}g{g}" for g in range(GROUPS - 1)]
    names += [f"{group}n{n}" for group in fresh for n in range(SIZE)]
    items = [system.make_item(n, n.rpartition("n")[0]) for n in names]
    lot = system.make_lot(f"lot{step}", step, max(1, step), items, GROUPS - 1)
    if await deployment.submit(daemon, lot) != wire.ACCEPTED:
        raise system.CannotRunError("a lot was not accepted")
    results: list[dict] = []
    until_s = time.monotonic() + 12
    while time.monotonic() < until_s:
        status, page = await deployment.read(daemon, lot["id"], len(results))
        if status == wire.OK:
            results += page["results"]
        found = {result["id"]: result["state"] for result in results}
        if found.keys() >= {IMPOSSIBLE, *names[SIZE:]}:
            break
        await asyncio.sleep(0.2)
    deployment.record("step", number=step, state=found.get(IMPOSSIBLE))
    await deployment.end(daemon, lot["id"])


def judge(deployment) -> int:
    """Counts the runs of the item; returns the exit status."""
    runs = sorted(
        (
            run
            for server in deployment.engines
            for run in server.runs
            if run["id"] == IMPOSSIBLE
        ),
        key=lambda run: run["began_s"],
    )
    answers = 0
    broken = 0
    for run in runs:
        broken += answers >= MOST_ANSWERS
        answers += run["status"] != wire.OK
        deployment.record("run", server=run["server"], status=run["status"])
    deployment.record("judged", answers=answers, broken=broken)
    return 1 if broken else 0


async def main() -> int:
    """Plays the case; returns the exit status."""
    deployment = system.System(FOLDER, daemons=4)
    try:
        async with asyncio.timeout(110):
            return await play(deployment)
    except (system.CannotRunError, TimeoutError) as exc:
        deployment.record("cannot_run", reason=repr(exc))
        return 2
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(system.run(main))
