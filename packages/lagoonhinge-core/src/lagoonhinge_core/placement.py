"""Choice of the upstream for an attempt by the configured policy."""

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
    Split,
    max_split,
    next_split,
    target_split,
)

__all__ = ["Candidate", "PlacementRequest", "Placer", "engine_priority"]


def engine_priority(
    policy: PlacementConfig, prompt_tokens: int, waited_s: float
) -> int:
    """Return the engine priority of an attempt; smaller runs earlier.

    Args:
        policy: Placement policy of the service; only `length_aware` uses lengths.
        prompt_tokens: Estimated prompt length, in tokens.
        waited_s: Time in the node's queue, in seconds.
    """
    match policy:
        case RoundRobin() | LeastInFlight():
            return SHORT_PRIORITY
        case LengthAware():
            return length_aware_priority(policy, prompt_tokens, waited_s)
        case _:
            assert_never(policy)


class Placer:
    """Chooses upstreams; holds the `round_robin` index and each service's split."""

    def __init__(self) -> None:
        self.round_robin_index = 0
        self.splits: dict[str, Split] = {}

    def choose(
        self,
        policy: PlacementConfig,
        candidates: tuple[Candidate, ...],
        request: PlacementRequest,
    ) -> Candidate | None:
        """Return the upstream for the request, or `None` if none is usable.

        Args:
            policy: Placement policy of the service.
            candidates: Upstreams of the service that may receive new work, in the same
                order on all nodes.
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
                self.round_robin_index += 1
                return usable[self.round_robin_index % len(usable)]
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
        """Return how many of the zone's upstreams currently take long work."""
        limit = max_split(policy, upstreams)
        split = self.splits.get(service)
        return limit if split is None else min(split.size, limit)

    def update_split(
        self,
        policy: LengthAware,
        service: str,
        upstreams: int,
        long_load: float,
        now_s: float,
    ) -> None:
        """Update the split of a service from the offered long work.

        Args:
            policy: Placement policy of the service.
            service: Name of the service.
            upstreams: Upstreams of the service in the zone.
            long_load: Offered long work, in fully utilised upstreams.
            now_s: The time, in seconds.
        """
        target = target_split(policy, upstreams, long_load)
        split = self.splits.get(service)
        if split is None:
            size = max_split(policy, upstreams)
            split = Split(size, size, now_s)
        self.splits[service] = next_split(split, target, now_s)
