"""Choice of the upstream for one attempt, varied by the configured policy."""

from dataclasses import dataclass
from typing import assert_never

from lagoonhinge_core.config import (
    LeastInFlight,
    LengthAware,
    PlacementConfig,
    RoundRobin,
)
from lagoonhinge_core.in_flight import UpstreamWork


@dataclass(frozen=True)
class Candidate:
    """An upstream that may take an attempt.

    Attributes:
        name: Upstream name.
        zone: Availability zone.
        work: This node's and its peers' work on it.
        free_kv_tokens: Estimated free memory, in tokens.
        kv_tokens: Memory in all, in tokens.
        cached_tokens: Part of the prompt that its cache is believed to hold.
    """

    name: str
    zone: str
    work: UpstreamWork
    free_kv_tokens: int
    kv_tokens: int
    cached_tokens: int = 0


@dataclass(frozen=True)
class PlacementRequest:
    """What placement needs to know of a request.

    Attributes:
        prompt_tokens: Estimated prompt length, in tokens.
        output_tokens: Longest answer, in tokens.
        excluded: Upstreams already tried.
    """

    prompt_tokens: int
    output_tokens: int
    excluded: frozenset[str] = frozenset()


class Placer:
    """Chooses upstreams for one service; keeps only the turn of `round_robin`."""

    def __init__(self) -> None:
        self.turn = 0

    def choose(
        self,
        policy: PlacementConfig,
        candidates: tuple[Candidate, ...],
        request: PlacementRequest,
    ) -> Candidate | None:
        """Return the upstream for the request, or `None` if there is none.

        Args:
            policy: The service's placement.
            candidates: Upstreams of the service that may receive new work.
            request: The request.
        """
        usable = tuple(c for c in candidates if c.name not in request.excluded)
        if not usable:
            return None
        match policy:
            case RoundRobin():
                self.turn += 1
                return usable[self.turn % len(usable)]
            case LeastInFlight():
                return min(usable, key=lambda c: (c.work.requests, c.name))
            case LengthAware():
                return min(usable, key=lambda c: (c.work.tokens, c.name))
            case _:
                assert_never(policy)
