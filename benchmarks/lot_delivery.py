"""Two ways to deliver each group once, at the target size.

`commit`: each pull is stored by a conditional update before its hand-over.
`carry`: the trainer names the groups that it has in each pull; nothing is
stored. Run with `python -m benchmarks.lot_delivery`.
"""

import time

import msgspec

from daisyhub.rollouts import (
    DeliverGroups,
    EngineResponse,
    Generate,
    LotCore,
    LotSpec,
    LotState,
    LotTick,
    PullRequested,
    SampleReceived,
    Span,
    StateRead,
    StateWritten,
    WriteState,
)

GROUP_SIZE = 8
GROUPS = 2048 // GROUP_SIZE
GROUPS_A_PULL = 16
TOKENS = 512
REPEATS = 5
_US = 1_000_000


class CarryBody(msgspec.Struct, frozen=True, kw_only=True):
    """A pull that carries what the trainer has, as first and last groups."""

    pull_id: str
    version: int
    max_groups: int
    wait_s: float
    received: tuple[tuple[int, int], ...]


def _spec() -> LotSpec:
    return LotSpec(
        lot_id="step-1042",
        lot_class="assess",
        account="trainer",
        pool="model",
        prompts=("board",) * GROUPS,
        group_size=GROUP_SIZE,
        max_staleness=2,
        max_tokens=TOKENS,
        concurrency=GROUPS * GROUP_SIZE,
    )


def _filled_core() -> LotCore:
    """Returns a core whose groups are all whole."""
    core = LotCore(_spec(), "daemon-busan-0/1764799000000000.77")
    core.handle(LotTick(), 0.0)
    actions = core.handle(StateRead(LotState(), 0), 0.0)
    answer = EngineResponse(
        tokens=tuple(range(TOKENS)),
        spans=(Span(version=1, start=0, end=TOKENS),),
    )
    for action in actions:
        if isinstance(action, Generate):
            core.handle(SampleReceived(action.attempt, answer), 0.0)
    return core


def measure_commit() -> dict[str, float]:
    """Returns bytes and microseconds for each pull, committed one by one."""
    core = _filled_core()
    sums = dict.fromkeys(("write_bytes", "core_us", "encode_us"), 0.0)
    sums |= {"hand_over_bytes": 0, "hand_over_us": 0.0}
    pulls = GROUPS // GROUPS_A_PULL
    for number in range(pulls):
        pull_id = f"step-1042-{number}"
        asked = PullRequested(
            call=number,
            pull_id=pull_id,
            version=1,
            max_groups=GROUPS_A_PULL,
            until_s=9.0,
            acks=(f"step-1042-{number - 1}",) if number else (),
        )
        start_s = time.process_time()
        write = _only(core.handle(asked, 1.0), WriteState)
        mid_s = time.process_time()
        body = msgspec.json.encode(msgspec.to_builtins(write.state))
        end_s = time.process_time()
        done = StateWritten(write.write_id, write.expected_version + 1)
        given = _only(core.handle(done, 1.0), DeliverGroups)
        last_s = time.process_time()
        samples = msgspec.json.encode(given.groups)
        sums["hand_over_us"] += (time.process_time() - last_s) * _US
        sums["core_us"] += (mid_s - start_s + last_s - end_s) * _US
        sums["encode_us"] += (end_s - mid_s) * _US
        sums["write_bytes"] += len(body)
        sums["hand_over_bytes"] += len(samples)
    return {name: value / pulls for name, value in sums.items()}


def measure_carry(runs: int) -> dict[str, float]:
    """Returns bytes and microseconds of the received set in each pull.

    Args:
        runs: How many unbroken runs of groups the set has; groups finish out
            of order, so it is between 1 and half of all groups.
    """
    step = GROUPS // runs
    received = tuple((n * step, n * step + step // 2) for n in range(runs))
    body = msgspec.json.encode(
        CarryBody(
            pull_id="step-1042-8",
            version=1,
            max_groups=GROUPS_A_PULL,
            wait_s=10.0,
            received=received,
        )
    )
    start_s = time.process_time()
    for _ in range(1000):
        pull = msgspec.json.decode(body, type=CarryBody)
        known = {g for a, b in pull.received for g in range(a, b)}
        _ = [g for g in range(GROUPS) if g not in known][:GROUPS_A_PULL]
    took_s = time.process_time() - start_s
    return {"request_bytes": len(body), "core_us": took_s * _US / 1000}


def measure_fill_us() -> float:
    """Returns the core's microseconds for each generated sample."""
    start_s = time.process_time()
    _filled_core()
    took_s = time.process_time() - start_s
    return took_s * _US / (GROUPS * GROUP_SIZE)


def _only(actions: list[object], kind: type) -> object:
    return next(action for action in actions if isinstance(action, kind))


def main() -> None:
    """Prints a line for each way and run."""
    for number in range(REPEATS):
        print(f"run {number} commit {_text(measure_commit())}")
        for runs in (1, 16, GROUPS // 2):
            print(f"run {number} carry {runs} {_text(measure_carry(runs))}")
        print(f"run {number} core a sample {measure_fill_us():.1f} us")


def _text(figures: dict[str, float]) -> str:
    return " ".join(f"{name}={value:.0f}" for name, value in figures.items())


if __name__ == "__main__":
    main()
