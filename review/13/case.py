"""Shows that an item that can never be done reaches servers again and again.

A server answers an item with 422. Its group isn't complete at the trainer's
deadline, as the server that scores is lost. So it comes again in the next lot.
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
STEPS = 5
WANTED, SIZE = 4, 8
# Groups that come again: at most half of those that the trainer waits for.
CARRIED = 2
IMPOSSIBLE = "s0g0n0"
DEADLINE_S = 12.0
# Answers of 422 after which the item must not reach a server again.
MOST_ANSWERS = 3


async def play(deployment) -> int:
    """Plays the steps of a trainer; returns the exit status."""
    for server in deployment.engines:
        server.impossible = frozenset([IMPOSSIBLE])
    await deployment.start()
    await asyncio.sleep(2)
    crash = None
    if HAS_TROUBLE:
        crash = asyncio.create_task(deployment.plain[0].crash())
    carried: list[str] = []
    for step in range(STEPS):
        carried = await play_step(deployment, step, carried)
        # The trainer trains and names the next version.
        await asyncio.sleep(1.0)
        deployment.name_version(step + 2)
    if crash is not None:
        await crash
    return judge(deployment)


async def play_step(deployment, step: int, carried: list[str]) -> list[str]:
    """Plays one step; returns the groups that come again in the next.

    The trainer ends it when the groups that it waits for are complete, or at
    its deadline.
    """
    daemon = deployment.daemons[step % len(deployment.daemons)]
    fresh = [f"s{step}g{g}" for g in range(WANTED - len(carried))]
    groups = [*carried, *fresh]
    names = [f"{group}n{n}" for group in groups for n in range(SIZE)]
    items = [system.make_item(n, n.rpartition("n")[0]) for n in names]
    lot = system.make_lot(f"lot{step}", step, max(1, step), items, WANTED)
    until_s = time.monotonic() + DEADLINE_S
    if await deployment.submit(daemon, lot) != wire.ACCEPTED:
        raise system.CannotRunError("a lot was not accepted")
    found: dict[str, str] = {}
    while time.monotonic() < until_s and len(found) < len(names):
        status, page = await deployment.read(daemon, lot["id"], len(found))
        if status == wire.OK:
            found.update((r["id"], r["state"]) for r in page["results"])
        await asyncio.sleep(0.5)
    await deployment.end(daemon, lot["id"])
    open_groups = [
        group
        for group in groups
        if any(f"{group}n{n}" not in found for n in range(SIZE))
    ]
    deployment.record(
        "step",
        number=step,
        listed=len(found),
        state=found.get(IMPOSSIBLE),
        incomplete=open_groups,
    )
    return open_groups[:CARRIED]


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
    deployment = system.System(FOLDER, daemons=4, plain=1)
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
