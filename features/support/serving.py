"""State of a node whose requests are tested without its processes."""

from collections.abc import Callable
from random import Random

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.forwarding.freshness import Freshness, FreshnessLimits
from lagoonhinge_core.forwarding.retry_window import RetryBound
from lagoonhinge_node.forwarding.serving_state import ServingState

AMPLE_RETRIES = RetryBound(10.0, 0.2, 100.0)


def build_serving_state(
    clock: Callable[[], float],
    node: str = "n0",
    zone: str = "north",
    retries: RetryBound = AMPLE_RETRIES,
    seed: float = 1,
) -> ServingState:
    """Return the state of a node that has no configuration.

    Args:
        clock: Returns the time, in seconds.
        node: Name of the node.
        zone: Its availability zone.
        retries: Limit of its retry budgets.
        seed: Seed of its random numbers.
    """
    return ServingState(
        Blackboard(),
        Freshness(FreshnessLimits(2.6, 4.5)),
        retries,
        Random(seed),
        clock,
        node,
        zone,
    )
