"""Measures the duration of a step with and without spare attempts.

One lot of 2,048 samples in groups of 8 runs on a fake clock with 16 engines.
Its concurrency is 16 attempts per engine; an engine accepts any number.
Sample lengths are log-normal and drawn once per sample, so a spare attempt
generates as many tokens as the first one. Run with
`python -m benchmarks.lot_stragglers`.
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
GROUP_COUNT = 256
ENGINE_COUNT = 16
ATTEMPTS_PER_ENGINE = 16
TOKEN_S = 0.02  # Generation time of a token.
MEDIAN_TOKENS = 300
SIGMA = 1.0  # Standard deviation of the logarithm of the length.
MAX_TOKENS = 4000
TIMEOUT_S = 300.0
SEEDS = (1, 2, 3, 4, 5)
# A group that misses at most this many samples gets second, spare attempts for
# them.
SPARE_SAMPLES = (0, 1, 2, 4)
# Slowdown of the first engine; a hung engine never responds in time.
SLOWDOWNS = {"even": 1.0, "slow": 5.0, "hung": 1e9}

_RESPONSE = EngineResponse(
    tokens=(1,), spans=(Span(version=1, start=0, end=1),)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one run.

    Attributes:
        step_s: Time until the last sample is complete.
        cancelled: Number of cancelled attempts, whose work is discarded.
    """

    step_s: float
    cancelled: int


class Run:
    """Runs one lot on simulated engines."""

    def __init__(self, seed: int, spare_samples: int, slowdown: float):
        self.random = random.Random(seed)
        self.slowdown = slowdown
        self.core = LotCore(_make_spec(spare_samples), "h")
        self.loads = [0] * ENGINE_COUNT
        self.engine_of: dict[int, int] = {}
        self.events: list[tuple[float, int, bool]] = []
        self.complete_count = 0
        self.cancelled = 0
        self.lengths = {
            (group, index): self.draw_length()
            for group in range(GROUP_COUNT)
            for index in range(GROUP_SIZE)
        }

    def draw_length(self) -> int:
        """Draws the number of tokens of a sample."""
        token_count = MEDIAN_TOKENS * self.random.lognormvariate(0, SIGMA)
        return min(MAX_TOKENS, max(1, int(token_count)))

    def run(self) -> Outcome:
        """Runs until every sample is complete."""
        now_s = 0.0
        self.feed(LotTick(), now_s)
        self.feed(StateRead(LotState(), 0), now_s)
        while self.complete_count < GROUP_COUNT * GROUP_SIZE:
            wakeup_s = self.core.next_wakeup_s
            if not self.events or wakeup_s < self.events[0][0]:
                now_s = max(now_s, wakeup_s)
                self.feed(LotTick(), now_s)
                continue
            now_s, attempt, has_response = heapq.heappop(self.events)
            if attempt not in self.engine_of:
                continue
            self.loads[self.engine_of.pop(attempt)] -= 1
            if not has_response:
                self.feed(SampleFailed(attempt), now_s)
                continue
            self.complete_count += 1
            self.feed(SampleReceived(attempt, _RESPONSE), now_s)
        return Outcome(now_s, self.cancelled)

    def feed(self, event: object, now_s: float) -> None:
        """Passes an event to the core and executes its actions."""
        for action in self.core.handle(event, now_s):
            if isinstance(action, Generate):
                self.start(action, now_s)
            elif isinstance(action, CancelSample):
                self.loads[self.engine_of.pop(action.attempt)] -= 1
                self.cancelled += 1

    def start(self, action: Generate, now_s: float) -> None:
        """Starts an attempt on the less loaded of two random engines.

        Engines of the sample's other attempts are excluded.
        """
        excluded = {self.engine_of.get(other) for other in action.others}
        free = [n for n in range(ENGINE_COUNT) if n not in excluded]
        engine = min(self.random.sample(free, 2), key=self.loads.__getitem__)
        self.loads[engine] += 1
        self.engine_of[action.attempt] = engine
        slowdown = self.slowdown if engine == 0 else 1.0
        tokens = self.lengths[(action.group, action.index)]
        generation_s = tokens * TOKEN_S * slowdown
        end_s = now_s + min(TIMEOUT_S, generation_s)
        has_response = generation_s <= TIMEOUT_S
        heapq.heappush(self.events, (end_s, action.attempt, has_response))


def _make_spec(spare_samples: int) -> LotSpec:
    return LotSpec(
        lot_id="lot",
        lot_class="c",
        account="a",
        pool="p",
        prompts=("x",) * GROUP_COUNT,
        group_size=GROUP_SIZE,
        max_staleness=9,
        max_tokens=MAX_TOKENS,
        concurrency=ENGINE_COUNT * ATTEMPTS_PER_ENGINE,
        spare_samples=spare_samples,
    )


def main() -> None:
    """Prints a line per slowdown and number of spare samples."""
    for name, slowdown in SLOWDOWNS.items():
        for spare_samples in SPARE_SAMPLES:
            runs = [Run(seed, spare_samples, slowdown).run() for seed in SEEDS]
            steps = sorted(run.step_s for run in runs)
            cancelled = statistics.mean(run.cancelled for run in runs)
            print(
                f"{name} spares={spare_samples}"
                f" step_s={[round(step_s) for step_s in steps]}"
                f" cancelled={cancelled:.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
