"""Choice of the upstream for one attempt, varied by the configured policy."""

from typing import assert_never

from lagoonhinge_core.config import (
    LeastInFlight,
    LengthAware,
    PlacementConfig,
    RoundRobin,
)
from lagoonhinge_core.length_aware import (
    SHORT_PRIORITY,
    Candidate,
    PlacementRequest,
    choose_for_long,
    choose_for_short,
    is_long,
)
from lagoonhinge_core.length_aware import (
    engine_priority as length_aware_priority,
)
from lagoonhinge_core.length_split import (
    SplitState,
    follow_demand,
    wanted_split,
    widest_split,
)

__all__ = ["Candidate", "PlacementRequest", "Placer", "engine_priority"]


def engine_priority(
    policy: PlacementConfig, prompt_tokens: int, waited_s: float
) -> int:
    """Return the engine priority of an attempt; smaller runs earlier.

    Args:
        policy: The service's placement; the baselines know no lengths.
        prompt_tokens: Estimated prompt length, in tokens.
        waited_s: Time spent in the node's queue, in seconds.
    """
    match policy:
        case RoundRobin() | LeastInFlight():
            return SHORT_PRIORITY
        case LengthAware():
            return length_aware_priority(policy, prompt_tokens, waited_s)
        case _:
            assert_never(policy)


class Placer:
    """Chooses upstreams; keeps the turn of `round_robin` and each service's split."""

    def __init__(self) -> None:
        self.turn = 0
        self.splits: dict[str, SplitState] = {}

    def choose(
        self,
        policy: PlacementConfig,
        candidates: tuple[Candidate, ...],
        request: PlacementRequest,
    ) -> Candidate | None:
        """Return the upstream for the request, or `None` if there is none.

        Args:
            policy: The service's placement.
            candidates: Upstreams of the service that may receive new work, in an
                order that all nodes share.
            request: The request.
        """
        usable = candidates
        if request.excluded:
            usable = tuple(c for c in candidates if c.name not in request.excluded)
        if not usable:
            return None
        if request.reserved is not None:
            for candidate in usable:
                if candidate.name == request.reserved:
                    return candidate
        match policy:
            case RoundRobin():
                self.turn += 1
                return usable[self.turn % len(usable)]
            case LeastInFlight():
                return min(usable, key=lambda c: (c.work.requests, c.name))
            case LengthAware():
                split = self.split(policy, request.service, len(usable))
                if is_long(policy, request.prompt_tokens):
                    return choose_for_long(policy, usable, split, request)
                return choose_for_short(policy, usable, split, request)
            case _:
                assert_never(policy)

    def split(self, policy: LengthAware, service: str, upstreams: int) -> int:
        """Return how many of the zone's upstreams take long work now."""
        widest = widest_split(policy, upstreams)
        state = self.splits.get(service)
        return widest if state is None else min(state.size, widest)

    def follow(
        self,
        policy: LengthAware,
        service: str,
        upstreams: int,
        long_load: float,
        now_s: float,
    ) -> None:
        """Let a service's split follow the offered long work.

        Args:
            policy: The service's placement.
            service: Name of the service.
            upstreams: Upstreams of the service in the zone.
            long_load: Offered long work, in upstreams that it would keep fully busy.
            now_s: The time, in seconds.
        """
        wanted = wanted_split(policy, upstreams, long_load)
        state = self.splits.get(service)
        if state is None:
            size = widest_split(policy, upstreams)
            state = SplitState(size, size, now_s)
        self.splits[service] = follow_demand(state, wanted, now_s)
