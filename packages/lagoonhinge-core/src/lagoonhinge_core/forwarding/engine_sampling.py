"""Random sample of the engines that a node compares for a prompt.

Nodes that place prompts by the same stale data all choose the same engine. With few
peers, their load updates are fresh, and all engines are compared. With more peers,
updates are sent less often and more nodes place prompts between two of them, so fewer
engines are compared for a short prompt; these are drawn at random.
"""

from collections.abc import Sequence
from random import Random
from typing import TypeVar

from lagoonhinge_core.forwarding.load_tracker import update_interval_factor

MIN_SAMPLE_SIZE = 3  # engines; the best of three random ones is rarely saturated

# Engines of other cells that are compared for a short prompt.
REMOTE_SAMPLE_SIZE = 3

EngineT = TypeVar("EngineT")


def sample_size(engines: int, peers: int) -> int:
    """Return how many engines a node compares for a short prompt.

    Args:
        engines: Engines of the service.
        peers: Other nodes that use them.
    """
    wanted = round(engines / update_interval_factor(peers) ** 2)
    return min(engines, max(MIN_SAMPLE_SIZE, wanted))


def position_engines(engines: Sequence[EngineT]) -> list[tuple[float, EngineT]]:
    """Return engines with their positions in an order that all nodes share.

    Args:
        engines: Engines in that order.

    Returns:
        Pairs of a position, from 0 for the first engine to 1 for the last, and an
        engine.
    """
    last_index = max(1, len(engines) - 1)
    return [(index / last_index, engine) for index, engine in enumerate(engines)]


def sample_remote_engines(
    engines: Sequence[EngineT], random: Random
) -> Sequence[EngineT]:
    """Return the engines of other cells to compare for a short prompt.

    Args:
        engines: Engines of other cells.
        random: Random number generator of the sample.
    """
    return random.sample(engines, min(REMOTE_SAMPLE_SIZE, len(engines)))
