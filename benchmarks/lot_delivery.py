"""Compares two protocols that deliver each group of a lot exactly once.

The lot has the target size, 2,048 samples in groups of 8.
`commit`: each pull is stored by a conditional write before its groups are
delivered. `carry`: each pull lists the groups that the trainer has received;
nothing is stored. Run with `python -m benchmarks.lot_delivery`.
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
GROUP_COUNT = 2048 // GROUP_SIZE
GROUPS_PER_PULL = 16
TOKENS = 512
REPEATS = 5
_US_PER_S = 1_000_000


class CarryBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a pull that lists the received groups.

    Each pair of `received` is a first group and the group after the last one.
    """

    pull_id: str
    version: int
    max_groups: int
    wait_s: float
    received: tuple[tuple[int, int], ...]


def _make_spec() -> LotSpec:
    return LotSpec(
        lot_id="step-1042",
        lot_class="assess",
        account="trainer",
        pool="model",
        prompts=("board",) * GROUP_COUNT,
        group_size=GROUP_SIZE,
        max_staleness=2,
        max_tokens=TOKENS,
        concurrency=GROUP_COUNT * GROUP_SIZE,
    )


def _filled_core() -> LotCore:
    """Returns a core whose groups are all complete."""
    core = LotCore(_make_spec(), "daemon-busan-0/1764799000000000.77")
    core.handle(LotTick(), 0.0)
    actions = core.handle(StateRead(LotState(), 0), 0.0)
    response = EngineResponse(
        tokens=tuple(range(TOKENS)),
        spans=(Span(version=1, start=0, end=TOKENS),),
    )
    for action in actions:
        if isinstance(action, Generate):
            core.handle(SampleReceived(action.attempt, response), 0.0)
    return core


def measure_commit() -> dict[str, float]:
    """Returns mean bytes and microseconds per pull of the commit protocol."""
    core = _filled_core()
    sums = dict.fromkeys(("write_bytes", "core_us", "encode_us"), 0.0)
    sums |= {"hand_over_bytes": 0, "hand_over_us": 0.0}
    pulls = GROUP_COUNT // GROUPS_PER_PULL
    for number in range(pulls):
        pull_id = f"step-1042-{number}"
        request = PullRequested(
            call=number,
            pull_id=pull_id,
            version=1,
            max_groups=GROUPS_PER_PULL,
            until_s=9.0,
            acks=(f"step-1042-{number - 1}",) if number else (),
        )
        started_s = time.process_time()
        write = _find_action(core.handle(request, 1.0), WriteState)
        handled_s = time.process_time()
        body = msgspec.json.encode(msgspec.to_builtins(write.state))
        encoded_s = time.process_time()
        written = StateWritten(write.write_id, write.expected_version + 1)
        given = _find_action(core.handle(written, 1.0), DeliverGroups)
        delivered_s = time.process_time()
        samples = msgspec.json.encode(given.groups)
        sums["hand_over_us"] += (time.process_time() - delivered_s) * _US_PER_S
        sums["core_us"] += (
            handled_s - started_s + delivered_s - encoded_s
        ) * _US_PER_S
        sums["encode_us"] += (encoded_s - handled_s) * _US_PER_S
        sums["write_bytes"] += len(body)
        sums["hand_over_bytes"] += len(samples)
    return {name: value / pulls for name, value in sums.items()}


def measure_carry(range_count: int) -> dict[str, float]:
    """Returns bytes and mean microseconds per pull of the carry protocol.

    Args:
        range_count: Number of contiguous ranges of received groups. Groups
            complete out of order, so it is between 1 and half of all groups.
    """
    spacing = GROUP_COUNT // range_count
    received = tuple(
        (n * spacing, n * spacing + spacing // 2) for n in range(range_count)
    )
    body = msgspec.json.encode(
        CarryBody(
            pull_id="step-1042-8",
            version=1,
            max_groups=GROUPS_PER_PULL,
            wait_s=10.0,
            received=received,
        )
    )
    started_s = time.process_time()
    for _ in range(1000):
        pull = msgspec.json.decode(body, type=CarryBody)
        received_groups = {
            g for first, end in pull.received for g in range(first, end)
        }
        _ = [g for g in range(GROUP_COUNT) if g not in received_groups][
            :GROUPS_PER_PULL
        ]
    processor_s = time.process_time() - started_s
    return {
        "request_bytes": len(body),
        "core_us": processor_s * _US_PER_S / 1000,
    }


def measure_fill_us() -> float:
    """Returns the microseconds of the core per generated sample."""
    started_s = time.process_time()
    _filled_core()
    processor_s = time.process_time() - started_s
    return processor_s * _US_PER_S / (GROUP_COUNT * GROUP_SIZE)


def _find_action(actions: list[object], kind: type) -> object:
    """Returns the first action of a type; raises StopIteration if none."""
    return next(action for action in actions if isinstance(action, kind))


def main() -> None:
    """Prints a line per protocol and run."""
    for number in range(REPEATS):
        print(f"run {number} commit {_format_figures(measure_commit())}")
        for range_count in (1, 16, GROUP_COUNT // 2):
            print(
                f"run {number} carry {range_count}"
                f" {_format_figures(measure_carry(range_count))}"
            )
        print(f"run {number} core a sample {measure_fill_us():.1f} us")


def _format_figures(figures: dict[str, float]) -> str:
    return " ".join(f"{name}={value:.0f}" for name, value in figures.items())


if __name__ == "__main__":
    main()
