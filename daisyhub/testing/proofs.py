"""Runs Hypothesis state machines as proofs, the same way every time.

CI runs a fixed count, derandomized. `make prove EXAMPLES=n SEED=s` sets
`DAISYHUB_EXAMPLES` and `DAISYHUB_SEED` and runs longer with that seed.
"""

import os

import hypothesis
from hypothesis import HealthCheck, Phase
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

__all__ = ["CI_EXAMPLES", "find_failure", "run_proof"]

CI_EXAMPLES = 60
_STEPS = 60
_BROKEN_EXAMPLES = 500
_BROKEN_SEEDS = 12


def run_proof(
    machine: type[RuleBasedStateMachine],
    *,
    examples: int = CI_EXAMPLES,
    steps: int = _STEPS,
) -> None:
    """Runs a state machine; raises what its oracle finds.

    Args:
        machine: The state machine.
        examples: Examples in CI; `DAISYHUB_EXAMPLES` overrides it.
        steps: Most steps of an example.
    """
    asked = os.environ.get("DAISYHUB_EXAMPLES")
    seed = os.environ.get("DAISYHUB_SEED")
    if seed is not None:
        machine = hypothesis.seed(int(seed))(machine)
    settings = _settings(
        int(asked or examples), steps, derandomize=seed is None, shrink=True
    )
    run_state_machine_as_test(machine, settings=settings)


def find_failure(
    machine: type[RuleBasedStateMachine],
    *,
    examples: int = _BROKEN_EXAMPLES,
    steps: int = _STEPS,
) -> BaseException | None:
    """Runs a machine around a broken subclass; returns what it found.

    Hypothesis draws on constants of whatever modules are loaded, so one seed
    may find nothing after an unrelated change: several are tried.
    """
    settings = _settings(examples, steps, derandomize=False, shrink=False)
    for seed in range(_BROKEN_SEEDS):
        try:
            run_state_machine_as_test(
                hypothesis.seed(seed)(machine), settings=settings
            )
        except Exception as exc:
            return exc
    return None


def _settings(examples, steps, *, derandomize, shrink) -> hypothesis.settings:
    phases = [Phase.explicit, Phase.generate]
    if shrink:
        phases.append(Phase.shrink)
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=derandomize,
        database=None,
        deadline=None,
        phases=phases,
        report_multiple_bugs=False,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
