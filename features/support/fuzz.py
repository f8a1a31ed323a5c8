"""Running of hypothesis state machines, derandomised or with a given seed."""

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
    given_seed = environ.get(SEED_VARIABLE)
    example_count = int(environ.get(EXAMPLES_VARIABLE, examples))
    run_settings = settings(
        max_examples=example_count,
        stateful_step_count=steps,
        derandomize=given_seed is None,
        database=None,
        deadline=None,
        # Only this health check depends on the load of the machine.
        suppress_health_check=[HealthCheck.too_slow],
    )
    if given_seed is not None:
        machine = seed(int(given_seed))(machine)
    run_state_machine_as_test(machine, settings=run_settings)
    print(f"{machine.__name__}: {example_count} examples of {steps} steps")
