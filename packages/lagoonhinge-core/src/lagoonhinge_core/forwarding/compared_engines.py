"""Which engines a node compares for a prompt, and their places in the shared order.

Nodes that decide on the same old news all choose the same engine. With few peers news
are fresh and all engines are compared. The more seldom news are told, and the more
nodes decide meanwhile, the fewer engines a short prompt is placed among; these are
drawn at random.
"""

from collections.abc import Sequence
from random import Random
from typing import TypeVar

from lagoonhinge_core.forwarding.load_book import update_interval_factor

LEAST_SAMPLE = 3  # engines; of so many drawn at random, one is rarely crowded

EngineT = TypeVar("EngineT")


def sample_size(engines: int, peers: int) -> int:
    """Return among how many engines a node places a short prompt.

    Args:
        engines: Engines of the service.
        peers: Other nodes that use them.
    """
    wanted = round(engines / update_interval_factor(peers) ** 2)
    return min(engines, max(LEAST_SAMPLE, wanted))


def compared_engines(
    engines: Sequence[EngineT], is_short: bool, peers: int, random: Random
) -> list[tuple[float, EngineT]]:
    """Return the engines to compare for a prompt, each with its place.

    Args:
        engines: Engines that may take it, in an order that all nodes share.
        is_short: Whether answers beside the prompt do not feel its reading.
        peers: Other nodes that use the engines.
        random: Draws them.

    Returns:
        Places, from 0 for the first engine to 1 for the last, and engines.
    """
    last = max(1, len(engines) - 1)
    placed = [(number / last, engine) for number, engine in enumerate(engines)]
    size = sample_size(len(placed), peers)
    if not is_short or size == len(placed):
        return placed
    return random.sample(placed, size)
