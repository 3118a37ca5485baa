"""Runs Hypothesis state machines reproducibly.

A proof, here and in the names `test_proof_*.py`, is a stateful property-based
test that checks an implementation against a model. CI runs a fixed number of
examples, derandomized. `make prove EXAMPLES=n SEED=s` sets
`DAISYHUB_EXAMPLES` and `DAISYHUB_SEED` for more examples with that seed.
"""

import os

import hypothesis
from hypothesis import HealthCheck, Phase
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

__all__ = ["CI_EXAMPLES", "find_failure", "run_proof"]

CI_EXAMPLES = 60
_MAX_STEPS = 60
_FAULT_SEARCH_EXAMPLES = 500
_FAULT_SEARCH_SEEDS = 12


def run_proof(
    machine: type[RuleBasedStateMachine],
    *,
    examples: int = CI_EXAMPLES,
    steps: int = _MAX_STEPS,
) -> None:
    """Runs a state machine; raises the first failure of its checks.

    Args:
        machine: The state machine.
        examples: Number of examples; `DAISYHUB_EXAMPLES` overrides it.
        steps: Maximum number of steps of an example.
    """
    example_count = os.environ.get("DAISYHUB_EXAMPLES")
    seed = os.environ.get("DAISYHUB_SEED")
    if seed is not None:
        machine = hypothesis.seed(int(seed))(machine)
    settings = _settings(
        int(example_count or examples),
        steps,
        derandomize=seed is None,
        shrink=True,
    )
    run_state_machine_as_test(machine, settings=settings)


def find_failure(
    machine: type[RuleBasedStateMachine],
    *,
    examples: int = _FAULT_SEARCH_EXAMPLES,
    steps: int = _MAX_STEPS,
) -> BaseException | None:
    """Runs a state machine on a deliberately broken implementation.

    Hypothesis also draws constants from the source of loaded modules, so that
    after an unrelated change a seed may no longer find the fault: several
    seeds are tried.

    Returns:
        The failure that was found, or None.
    """
    settings = _settings(examples, steps, derandomize=False, shrink=False)
    for seed in range(_FAULT_SEARCH_SEEDS):
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
