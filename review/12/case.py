"""Shows that a health check's extra answer is taken for a look-up's.

A daemon checks the health of a server on a channel that also carries look-ups.
The server's answer is followed by an extra one, which arrives late: where the
answer to the next request on that channel is due. It bears no request id, as
the check had none, and no stamp.
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
ROUNDS = 22
GROUPS, SIZE = 4, 8
# The dose in the site file: 0.6 of the servers, 0.03 of their answers, in 5 s.
SERVERS_SHARE = 0.6
SHARE = 0.03
WINDOW_S = 5.0
# Seconds for a reward call: the sheet states 0.229, and a tail of five times
# as much for one in a hundred.
REWARD_S = 0.2
TAIL_S = 0.7


class Garble:
    """Extra answers, within the largest dose of the site file."""

    def __init__(self, deployment):
        self._system = deployment
        self._answers: list[float] = []
        self.extras: list[float] = []

    def on_answer(self, channel, request, answer: bytes) -> bytes:
        """Returns the bytes that a server sends for a request."""
        late, channel["extra"] = channel["extra"], b""
        if late:
            self._system.record("extra_answer_sent", before=request.target)
        now_s = time.monotonic()
        self._answers.append(now_s)
        if request.path == "/health":
            recent = [s for s in self._answers if now_s - s <= WINDOW_S]
            allowed = SERVERS_SHARE * SHARE * len(recent)
            self._system.record("health_check", of_answers=len(recent))
            spent = [s for s in self.extras if now_s - s <= WINDOW_S]
            if HAS_TROUBLE and len(spent) + 1 <= allowed:
                self.extras.append(now_s)
                channel["extra"] = answer
        return late + answer


async def look_up(deployment, daemon: str, name: str) -> bool:
    """Sends a look-up; returns whether its answer is a server's or none."""
    answer = await deployment.send(
        daemon, "POST", f"/look/{name}", name, b"which?", timeout_s=2.0
    )
    if answer is None or answer.status != wire.OK:
        return True
    stamp = answer.headers.get("daisyhub-server-stamp", "")
    if stamp and answer.body.startswith(f"answer to {name}".encode()):
        return True
    deployment.record(
        "MIXED",
        id=name,
        daemon=daemon,
        status=answer.status,
        stamp=stamp or "none",
        body=len(answer.body),
    )
    return False


async def look_up_many(deployment, prefix, count, pause_s) -> int:
    """Sends look-ups to all daemons; returns the number of wrong answers."""
    checks = []
    for number in range(count):
        daemon = deployment.daemons[number % len(deployment.daemons)]
        name = f"{prefix}q{number}"
        checks.append(asyncio.create_task(look_up(deployment, daemon, name)))
        await asyncio.sleep(pause_s)
    return (await asyncio.gather(*checks)).count(False)


async def play(deployment) -> int:
    """Plays some steps of a trainer between look-ups; returns the status."""
    garble = Garble(deployment)
    for server in deployment.plain:
        server.on_answer = garble.on_answer
        server.work_of = work_of
    for server in deployment.engines:
        server.lengths = length_of
    await deployment.start()
    await asyncio.sleep(2)
    wrong = 0
    for step in range(ROUNDS):
        wrong += await look_up_many(deployment, f"a{step}", 80, 0.015)
        names = [f"{step}g{g}n{n}" for g in range(GROUPS) for n in range(SIZE)]
        items = [system.make_item(n, n.partition("n")[0]) for n in names]
        lot = system.make_lot(f"lot{step}", step, 1, items, GROUPS)
        status = await deployment.submit(deployment.daemons[0], lot)
        if status != wire.ACCEPTED:
            raise system.CannotRunError("a lot was not accepted")
        results: list[dict] = []
        until_s = time.monotonic() + 8
        while len(results) < len(names) and time.monotonic() < until_s:
            found, page = await deployment.read(
                deployment.daemons[0], lot["id"], len(results)
            )
            results += page["results"] if found == wire.OK else []
            await asyncio.sleep(0.1)
        wrong += await look_up_many(deployment, f"b{step}", 48, 0.0)
        if wrong:
            break
    deployment.record("judged", extras=len(garble.extras), wrong=wrong)
    return 1 if wrong else 0


def work_of(request) -> float:
    """Returns the seconds for a look-up or a reward call."""
    if not request.path.startswith("/stock/"):
        return 0.029
    return TAIL_S if request.path.endswith("g0n0") else REWARD_S


def length_of(item_id: str, version: int) -> int:
    """Returns the number of events of an item's text."""
    return 50 if item_id.endswith("g0n0") else 12


async def main() -> int:
    """Plays the case; returns the exit status."""
    deployment = system.System(FOLDER, daemons=4, engines=5, plain=4)
    try:
        async with asyncio.timeout(110):
            return await play(deployment)
    except (system.CannotRunError, TimeoutError) as exc:
        deployment.record("cannot_run", reason=repr(exc))
        return 2
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
