"""Split of a zone's upstreams into those that take long work and those kept free."""

from dataclasses import dataclass
from math import ceil

from lagoonhinge_core.config import LengthAware

# Long work fills an upstream up to this part before another one is opened to it.
PACKED_UTILISATION = 0.9
SPREAD_UTILISATION = 0.3
WIDEN_AFTER_S = 2.0
NARROW_AFTER_S = 15.0


def widest_split(policy: LengthAware, upstreams: int) -> int:
    """Return how many of a zone's upstreams may take long work at most."""
    kept_free = max(1, ceil(policy.short_only_share * upstreams))
    return max(1, upstreams - kept_free)


def wanted_split(policy: LengthAware, upstreams: int, long_load: float) -> int:
    """Return how many upstreams the present demand gives to long work.

    Args:
        policy: The service's placement.
        upstreams: Upstreams of the service in the zone.
        long_load: Offered long work, in upstreams that it would keep fully busy.
    """
    spread = SPREAD_UTILISATION - PACKED_UTILISATION
    utilisation = PACKED_UTILISATION + policy.long_preference * spread
    needed = max(1, ceil(long_load / utilisation))
    return min(needed, widest_split(policy, upstreams))


@dataclass(frozen=True)
class SplitState:
    """The split in force and since when another one has been wanted.

    Attributes:
        size: Upstreams that take long work, in order of their names.
        wanted: The size that demand last asked for.
        since_s: When it first asked for a change in that direction.
    """

    size: int
    wanted: int
    since_s: float


def follow_demand(state: SplitState, wanted: int, now_s: float) -> SplitState:
    """Return the split after demand asked for `wanted`; changes only with hysteresis.

    The split widens soon, because long work waits for it, and narrows late, because
    an upstream that is given back is soon wanted again when demand swings.
    """
    if wanted == state.size:
        return SplitState(state.size, wanted, now_s)
    same_direction = (wanted > state.size) == (state.wanted > state.size)
    if state.wanted == state.size or not same_direction:
        return SplitState(state.size, wanted, now_s)
    hold_s = WIDEN_AFTER_S if wanted > state.size else NARROW_AFTER_S
    if now_s - state.since_s < hold_s:
        return SplitState(state.size, wanted, state.since_s)
    return SplitState(wanted, wanted, now_s)
