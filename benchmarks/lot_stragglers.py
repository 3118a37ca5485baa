"""Step completion with and without spare attempts, on a fake clock.

One lot of 2,048 samples in groups of 8 on 16 engines of 16 places. Lengths
are log-normal and belong to the sample, so a spare attempt is as long as the
first one. Run with `python -m benchmarks.lot_stragglers`.
"""

import dataclasses
import heapq
import random
import statistics

from daisyhub.rollouts import (
    CancelSample,
    EngineResponse,
    Generate,
    LotCore,
    LotSpec,
    LotState,
    LotTick,
    SampleFailed,
    SampleReceived,
    Span,
    StateRead,
)

GROUP_SIZE = 8
GROUPS = 256
ENGINES = 16
PLACES = 16
TOKEN_S = 0.02
MEDIAN_TOKENS = 300
SIGMA = 1.0
MOST_TOKENS = 4000
TIMEOUT_S = 300.0
SEEDS = (1, 2, 3, 4, 5)
SPARES = (0, 1, 2, 4)
# How many times slower the first engine is; it may also never answer.
SLOWNESS = {"even": 1.0, "slow": 5.0, "hung": 1e9}

_ANSWER = EngineResponse(tokens=(1,), spans=(Span(version=1, start=0, end=1),))


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Of one run: seconds to the last sample, and work thrown away."""

    step_s: float
    cancelled: int


class Run:
    """One lot on simulated engines."""

    def __init__(self, seed: int, spare_samples: int, slowness: float):
        self.random = random.Random(seed)
        self.slowness = slowness
        self.core = LotCore(_spec(spare_samples), "h")
        self.loads = [0] * ENGINES
        self.engine_of: dict[int, int] = {}
        self.events: list[tuple[float, int, bool]] = []
        self.done = 0
        self.cancelled = 0
        self.lengths = {
            (group, index): self.length()
            for group in range(GROUPS)
            for index in range(GROUP_SIZE)
        }

    def length(self) -> int:
        """Draws the tokens of a sample."""
        drawn = MEDIAN_TOKENS * self.random.lognormvariate(0, SIGMA)
        return min(MOST_TOKENS, max(1, int(drawn)))

    def run(self) -> Outcome:
        """Runs until every sample is there."""
        now_s = 0.0
        self.feed(LotTick(), now_s)
        self.feed(StateRead(LotState(), 0), now_s)
        while self.done < GROUPS * GROUP_SIZE:
            wakeup_s = self.core.next_wakeup_s
            if not self.events or wakeup_s < self.events[0][0]:
                now_s = max(now_s, wakeup_s)
                self.feed(LotTick(), now_s)
                continue
            now_s, attempt, is_ready = heapq.heappop(self.events)
            if attempt not in self.engine_of:
                continue
            self.loads[self.engine_of.pop(attempt)] -= 1
            if not is_ready:
                self.feed(SampleFailed(attempt), now_s)
                continue
            self.done += 1
            self.feed(SampleReceived(attempt, _ANSWER), now_s)
        return Outcome(now_s, self.cancelled)

    def feed(self, event: object, now_s: float) -> None:
        """Feeds the core and carries its actions out."""
        for action in self.core.handle(event, now_s):
            if isinstance(action, Generate):
                self.start(action, now_s)
            elif isinstance(action, CancelSample):
                self.loads[self.engine_of.pop(action.attempt)] -= 1
                self.cancelled += 1

    def start(self, action: Generate, now_s: float) -> None:
        """Puts an attempt on the less loaded of two engines."""
        used = {self.engine_of.get(other) for other in action.others}
        free = [n for n in range(ENGINES) if n not in used]
        engine = min(self.random.sample(free, 2), key=self.loads.__getitem__)
        self.loads[engine] += 1
        self.engine_of[action.attempt] = engine
        slowness = self.slowness if engine == 0 else 1.0
        tokens = self.lengths[(action.group, action.index)]
        took_s = tokens * TOKEN_S * slowness
        end_s = now_s + min(TIMEOUT_S, took_s)
        is_ready = took_s <= TIMEOUT_S
        heapq.heappush(self.events, (end_s, action.attempt, is_ready))


def _spec(spare_samples: int) -> LotSpec:
    return LotSpec(
        lot_id="lot",
        lot_class="c",
        account="a",
        pool="p",
        prompts=("x",) * GROUPS,
        group_size=GROUP_SIZE,
        max_staleness=9,
        max_tokens=MOST_TOKENS,
        concurrency=ENGINES * PLACES,
        spare_samples=spare_samples,
    )


def main() -> None:
    """Prints a line for each kind of engine fault and number of spares."""
    for name, slowness in SLOWNESS.items():
        for spares in SPARES:
            runs = [Run(seed, spares, slowness).run() for seed in SEEDS]
            steps = sorted(run.step_s for run in runs)
            cancelled = statistics.mean(run.cancelled for run in runs)
            print(
                f"{name} spares={spares}"
                f" step_s={[round(step_s) for step_s in steps]}"
                f" cancelled={cancelled:.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
