"""Placements to compare: two baselines, and the product's under any weights."""

from dataclasses import dataclass, field
from itertools import count
from typing import TypeAlias, assert_never

from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.prompt_placement import (
    DEFAULT_WEIGHTS,
    DeadlineUnreachable,
    EngineCandidate,
    Placement,
    PlacementWeights,
    Prompt,
    place_prompt,
)


@dataclass(frozen=True)
class RoundRobin:
    """Engines take turns; each reads its prompts alone."""

    turns: "count[int]" = field(default_factory=count)


@dataclass(frozen=True)
class LeastInFlight:
    """The engine with the fewest open requests reads a prompt alone."""


@dataclass(frozen=True)
class Weighed:
    """The product's placement under some weights.

    Attributes:
        weights: Limits and costs.
    """

    weights: PlacementWeights = DEFAULT_WEIGHTS


Policy: TypeAlias = RoundRobin | LeastInFlight | Weighed

POLICIES: dict[str, Policy] = {
    "round_robin": RoundRobin(),
    "least_in_flight": LeastInFlight(),
    "spread": Weighed(PlacementWeights(packing_cost_s=0.0, saturation_cost_s=0.0)),
    "product": Weighed(),
}


def place_by(
    policy: Policy,
    profile: EngineProfile,
    engines: tuple[EngineCandidate, ...],
    prompt: Prompt,
) -> Placement | DeadlineUnreachable | None:
    """Return where a prompt goes under a policy."""
    match policy:
        case Weighed(weights):
            return place_prompt(profile, engines, prompt, weights)
        case RoundRobin(turns):
            engine = engines[next(turns) % len(engines)]
        case LeastInFlight():
            engine = min(engines, key=lambda e: (e.load.requests, e.load.tokens))
        case _:
            assert_never(policy)
    part_s = profile.prefill_s(prompt.tokens)
    waiting_s = engine.load.prefill_s
    return Placement(engine.instance, (), waiting_s, part_s, part_s, False)
