"""Split of a zone's upstreams into those open to long prompts and short-only ones."""

from dataclasses import dataclass
from math import ceil

from lagoonhinge_core.config import LengthAware

# Long work fills an upstream up to this utilisation before another one is opened to it,
# with no and with full preference for long prompts.
MAX_LONG_UTILISATION = 0.9
MIN_LONG_UTILISATION = 0.3
GROW_DELAY_S = 2.0
SHRINK_DELAY_S = 15.0


def max_split(policy: LengthAware, upstreams: int) -> int:
    """Return the maximum number of a zone's upstreams that take long work."""
    short_only = max(1, ceil(policy.short_only_share * upstreams))
    return max(1, upstreams - short_only)


def target_split(policy: LengthAware, upstreams: int, long_load: float) -> int:
    """Return how many upstreams the current demand needs for long work.

    Args:
        policy: Placement policy of the service.
        upstreams: Upstreams of the service in the zone.
        long_load: Offered long work, in fully utilised upstreams.
    """
    utilisation_range = MIN_LONG_UTILISATION - MAX_LONG_UTILISATION
    utilisation = MAX_LONG_UTILISATION + policy.long_preference * utilisation_range
    needed = max(1, ceil(long_load / utilisation))
    return min(needed, max_split(policy, upstreams))


@dataclass(frozen=True)
class Split:
    """Current split of the upstreams and the change that is pending, if any.

    Attributes:
        size: Number of upstreams that take long work, from the first by name.
        target: Size that the latest demand needs.
        since_s: Start of the pending change, in seconds.
    """

    size: int
    target: int
    since_s: float


def next_split(split: Split, target: int, now_s: float) -> Split:
    """Return the split for a target size, with hysteresis.

    The split grows soon, because long work is waiting, and shrinks late, because
    oscillating demand would soon need the upstream again.
    """
    if target == split.size:
        return Split(split.size, target, now_s)
    same_direction = (target > split.size) == (split.target > split.size)
    if split.target == split.size or not same_direction:
        return Split(split.size, target, now_s)
    delay_s = GROW_DELAY_S if target > split.size else SHRINK_DELAY_S
    if now_s - split.since_s < delay_s:
        return Split(split.size, target, split.since_s)
    return Split(target, target, now_s)
