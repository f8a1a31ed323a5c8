"""Placement policies to compare: two baselines, and the product's with any weights."""

from dataclasses import dataclass, field
from itertools import count
from typing import TypeAlias, assert_never

from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.prompt_placement import (
    DEFAULT_WEIGHTS,
    EngineCandidate,
    Placement,
    PlacementWeights,
    Prompt,
)


@dataclass(frozen=True)
class RoundRobin:
    """Use the engines in turn; each prefills its prompts alone."""

    turns: "count[int]" = field(default_factory=count)


@dataclass(frozen=True)
class LeastInFlight:
    """Use the engine with the fewest open requests; it prefills the prompt alone."""


@dataclass(frozen=True)
class PredictedCost:
    """Use the product's placement, by predicted cost.

    Attributes:
        weights: Limits and costs of the placement.
    """

    weights: PlacementWeights = DEFAULT_WEIGHTS


Policy: TypeAlias = RoundRobin | LeastInFlight | PredictedCost

POLICIES: dict[str, Policy] = {
    "round_robin": RoundRobin(),
    "least_in_flight": LeastInFlight(),
    "spread": PredictedCost(
        PlacementWeights(packing_cost_s=0.0, saturation_cost_s=0.0)
    ),
    "product": PredictedCost(),
}


def place_by_baseline(
    policy: RoundRobin | LeastInFlight,
    profile: EngineProfile,
    candidates: tuple[EngineCandidate, ...],
    prompt: Prompt,
) -> Placement:
    """Return where a prompt goes by a baseline."""
    match policy:
        case RoundRobin(turns):
            engine = candidates[next(turns) % len(candidates)]
        case LeastInFlight():
            engine = min(candidates, key=lambda e: (e.load.requests, e.load.tokens))
        case _:
            assert_never(policy)
    prefill_s = profile.prefill_s(prompt.tokens)
    waiting_s = engine.load.prefill_s
    return Placement(engine.instance, (), waiting_s, prefill_s, prefill_s, False)
