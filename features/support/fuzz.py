"""Running of hypothesis state machines, derandomised or with a given seed."""

from collections.abc import Callable
from os import environ

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

EXAMPLES_VARIABLE = "LAGOONHINGE_FUZZ_EXAMPLES"
SEED_VARIABLE = "LAGOONHINGE_FUZZ_SEED"


def run_machine(
    machine: type[RuleBasedStateMachine], examples: int, steps: int = 50
) -> None:
    """Run a state machine; `tools.fuzz` sets more examples and a seed.

    Args:
        machine: The state machine's class.
        examples: Examples of a default run, which is derandomised.
        steps: Rules in each example.
    """
    run_settings = _run_settings(examples, steps)
    given_seed = environ.get(SEED_VARIABLE)
    if given_seed is not None:
        machine = seed(int(given_seed))(machine)
    run_state_machine_as_test(machine, settings=run_settings)
    print(f"{machine.__name__}: {run_settings.max_examples} examples of {steps} steps")


def run_examples(check: Callable[[], None], examples: int) -> None:
    """Run a check decorated with `hypothesis.given`, as `run_machine` does.

    Args:
        check: The check.
        examples: Examples of a default run, which is derandomised.
    """
    run_settings = _run_settings(examples)
    given_seed = environ.get(SEED_VARIABLE)
    if given_seed is not None:
        check = seed(int(given_seed))(check)
    run_settings(check)()
    print(f"{check.__name__}: {run_settings.max_examples} examples")


def _run_settings(examples: int, steps: int = 50) -> settings:
    return settings(
        max_examples=int(environ.get(EXAMPLES_VARIABLE, examples)),
        stateful_step_count=steps,
        derandomize=environ.get(SEED_VARIABLE) is None,
        database=None,
        deadline=None,
        # Only this health check depends on the load of the machine.
        suppress_health_check=[HealthCheck.too_slow],
    )
