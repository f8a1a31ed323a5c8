"""Placements to compare: two baselines, and the product's under any weights."""

from dataclasses import dataclass, field
from itertools import count

from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.prompt_placement import (
    DEFAULT_WEIGHTS,
    EngineChoice,
    Placement,
    PlacementWeights,
    Prompt,
    TooLate,
    place_prompt,
)


@dataclass
class RoundRobin:
    """Engines take turns; each reads its prompts alone."""

    turns: "count[int]" = field(default_factory=count)

    def __call__(
        self,
        profile: EngineProfile,
        engines: tuple[EngineChoice, ...],
        prompt: Prompt,
    ) -> Placement | None:
        """Return where a prompt goes."""
        engine = engines[next(self.turns) % len(engines)]
        part_s = profile.read_s(prompt.tokens)
        return Placement(engine.instance, (), part_s, part_s, False)


@dataclass(frozen=True)
class LeastInFlight:
    """The engine with the fewest open requests reads a prompt alone."""

    def __call__(
        self,
        profile: EngineProfile,
        engines: tuple[EngineChoice, ...],
        prompt: Prompt,
    ) -> Placement | None:
        """Return where a prompt goes."""
        engine = min(engines, key=lambda e: (e.load.requests, e.load.tokens))
        part_s = profile.read_s(prompt.tokens)
        return Placement(engine.instance, (), part_s, part_s, False)


@dataclass(frozen=True)
class Weighed:
    """The product's placement under some weights.

    Attributes:
        weights: Limits and costs.
    """

    weights: PlacementWeights = DEFAULT_WEIGHTS

    def __call__(
        self,
        profile: EngineProfile,
        engines: tuple[EngineChoice, ...],
        prompt: Prompt,
    ) -> Placement | TooLate | None:
        """Return where a prompt goes."""
        return place_prompt(profile, engines, prompt, self.weights)


POLICIES = {
    "round_robin": RoundRobin(),
    "least_in_flight": LeastInFlight(),
    "spread": Weighed(PlacementWeights(pack_s=0.0, crowd_s=0.0)),
    "product": Weighed(),
}
