"""Placement of a prompt in a fleet of cells.

A prompt is placed on the engines of the node's own cell. A short one is also compared
on a few engines of other cells, at a cost, and goes there when its own cell is full. A
long one goes to another cell if it would miss its target in its own.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import Generic

from lagoonhinge_core.forwarding.engine_sampling import (
    EngineT,
    position_engines,
    sample_remote_engines,
    sample_size,
)
from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.load_tracker import CellSummary
from lagoonhinge_core.forwarding.prompt_placement import (
    DEFAULT_WEIGHTS,
    DeadlineUnreachable,
    EngineCandidate,
    Placement,
    PlacementWeights,
    Prompt,
    is_short,
    place_prompt,
)

# Fewest engines from which a sample is drawn: all nodes know the same ones without a
# long prefill, and would fill these up.
MIN_POOL_ENGINES = 8


@dataclass(frozen=True)
class EnginePool(Generic[EngineT]):
    """Engines of a service, by cell; described as candidates only when compared.

    Attributes:
        own: Engines of the own cell, in an order that all nodes share.
        others: Summary and engines of each other cell whose load is known.
        peers: Number of other nodes in the own cell.
        prefill_s: Return the time until an engine of the own cell has finished its
            assigned prefills, in seconds.
        describe_own: Return an engine of the own cell, at its position in the order.
        describe_remote: Return an engine of another cell.
    """

    own: Sequence[EngineT]
    others: Sequence[tuple[CellSummary, Sequence[EngineT]]]
    peers: int
    prefill_s: Callable[[EngineT], float]
    describe_own: Callable[[EngineT, float], EngineCandidate]
    describe_remote: Callable[[EngineT, CellSummary], EngineCandidate]

    def own_candidates(
        self, short: bool, random: Random
    ) -> tuple[EngineCandidate, ...]:
        """Return the engines of the own cell to compare.

        Long prefills are told to all nodes at once, so a short prompt is compared on
        engines without one, or on those with the shortest. A sample of all engines may
        have only engines that long prompts occupy for seconds.
        """
        compared = position_engines(self.own)
        size = sample_size(len(compared), self.peers)
        if short and size < len(compared):
            waits_s = [self.prefill_s(engine) for engine in self.own]
            free = sum(s <= DEFAULT_WEIGHTS.short_prefill_s for s in waits_s)
            ranked = sorted(range(len(waits_s)), key=waits_s.__getitem__)
            drawn_from = ranked[: max(free, size, MIN_POOL_ENGINES)]
            compared = [compared[index] for index in random.sample(drawn_from, size)]
        return tuple(
            self.describe_own(engine, position) for position, engine in compared
        )

    def short_candidates(self, random: Random) -> tuple[EngineCandidate, ...]:
        """Return the engines to compare for a short prompt."""
        own = self.own_candidates(True, random)
        remote = [
            (engine, summary)
            for summary, engines in self._shuffled(random)
            for engine in engines
        ]
        sampled = sample_remote_engines(remote, random)
        return own + tuple(self.describe_remote(*engine) for engine in sampled)

    def long_candidates(self, random: Random) -> Iterator[tuple[EngineCandidate, ...]]:
        """Return the engines of each cell for a long prompt, the own cell first."""
        yield self.own_candidates(False, random)
        for summary, engines in self._shuffled(random):
            yield tuple(self.describe_remote(engine, summary) for engine in engines)

    def _shuffled(self, random: Random) -> list[tuple[CellSummary, Sequence[EngineT]]]:
        """Return the other cells so that nodes do not all turn to the same one."""
        return random.sample(self.others, len(self.others))


def place_in_cells(
    profile: EngineProfile,
    pool: EnginePool[EngineT],
    prompt: Prompt,
    random: Random,
    weights: PlacementWeights = DEFAULT_WEIGHTS,
) -> Placement | DeadlineUnreachable | None:
    """Return where a prompt goes, or `None` if no engine has room for it.

    Args:
        profile: Speed and memory of the engines.
        pool: The engines.
        prompt: The prompt.
        random: Random number generator of the samples.
        weights: Limits and costs.
    """
    if is_short(profile, prompt, weights):
        return place_prompt(profile, pool.short_candidates(random), prompt, weights)
    return place_long_prompt(profile, pool.long_candidates(random), prompt, weights)


def place_long_prompt(
    profile: EngineProfile,
    cells: Iterable[tuple[EngineCandidate, ...]],
    prompt: Prompt,
    weights: PlacementWeights = DEFAULT_WEIGHTS,
) -> Placement | DeadlineUnreachable | None:
    """Return where a prompt goes that one engine can't prefill in a short time.

    Another cell takes it only if the own one can't prefill it within its target.

    Args:
        profile: Speed and memory of the engines.
        cells: Engines of each cell, the own cell first; the others are drawn only if
            they are needed.
        prompt: The prompt.
        weights: Limits and costs.
    """
    best: Placement | DeadlineUnreachable | None = None
    best_s = float("inf")
    limit_s = weights.safe_target_share * prompt.target_s
    for engines in cells:
        result = place_prompt(profile, engines, prompt, weights)
        ready_s = float("inf")
        if isinstance(result, Placement):
            ready_s = _ready_s(profile, engines, result, weights)
        if best is None or ready_s < best_s - weights.remote_cost_s:
            best, best_s = result, ready_s
        if best_s <= limit_s:
            break
    return best


def _ready_s(
    profile: EngineProfile,
    engines: tuple[EngineCandidate, ...],
    placement: Placement,
    weights: PlacementWeights,
) -> float:
    """Return when a prompt is prefilled, with the cost of missing slots, in seconds."""
    answering = next(e for e in engines if e.instance == placement.instance)
    missing_slots = max(0, answering.load.requests + 1 - profile.slots)
    queued_s = weights.queued_cost_s * missing_slots
    return placement.waiting_s + placement.prefill_s + queued_s
