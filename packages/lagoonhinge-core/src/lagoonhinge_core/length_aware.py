"""Scores of upstreams by predicted time to first token, for `length_aware`."""

from dataclasses import dataclass, field

from lagoonhinge_core.config import LengthAware
from lagoonhinge_core.in_flight import UpstreamWork

HAND_OVER_S = 0.03  # work left on an engine when the next prompt is sent to it
SHORT_WINDOW_S = 0.1  # bound where an engine is slower than its nominal rate
LONG_WINDOW_S = 0.25
SHORT_PRIORITY = 0
LONG_PRIORITY = 10
SLOWEST_AGEING_S = 6.0
FASTEST_AGEING_S = 2.0
# Cost of joining an upstream that processes a long prompt, in own prompt times.
LEAST_SHARING_COST = 0.25
OPEN_TO_LONG_COST = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may take an attempt.

    Attributes:
        name: Upstream name.
        zone: Availability zone.
        work: This node's and its peers' work on it.
        free_kv_tokens: Estimated free memory, in tokens.
        kv_tokens: Memory in all, in tokens.
        prefill_tokens_per_s: Nominal prompt processing rate, in tokens per second.
    """

    name: str
    zone: str
    work: UpstreamWork
    free_kv_tokens: int
    kv_tokens: int
    prefill_tokens_per_s: float = 20_000.0


@dataclass(frozen=True)
class PlacementRequest:
    """What placement needs to know of a request.

    Attributes:
        prompt_tokens: Estimated prompt length, in tokens.
        output_tokens: Longest answer, in tokens.
        excluded: Upstreams already tried.
        service: Name of the service.
        reserved: Upstream that admission set aside for the request, if any.
        needs_room: Whether only an upstream with room to start it now will do.
        cached: Part of the prompt believed cached, in tokens by upstream name.
        done: Part of the work ahead believed done, in tokens by upstream name.
    """

    prompt_tokens: int
    output_tokens: int
    excluded: frozenset[str] = frozenset()
    service: str = ""
    reserved: str | None = None
    needs_room: bool = False
    cached: dict[str, int] = field(default_factory=dict)
    done: dict[str, float] = field(default_factory=dict)


def is_long(policy: LengthAware, prompt_tokens: int) -> bool:
    """Return whether a prompt is of the long class."""
    return prompt_tokens >= policy.long_from_tokens


def engine_priority(policy: LengthAware, prompt_tokens: int, waited_s: float) -> int:
    """Return the engine priority of an attempt; smaller runs earlier.

    Short work goes before long. A long prompt that has waited gains on short ones
    until it equals them, so that it isn't starved; it gains faster where long
    prompts are preferred.

    Args:
        policy: The service's placement.
        prompt_tokens: Estimated prompt length, in tokens.
        waited_s: Time spent in the node's queue, in seconds.
    """
    if not is_long(policy, prompt_tokens):
        return SHORT_PRIORITY
    step_s = SLOWEST_AGEING_S + policy.long_preference * (
        FASTEST_AGEING_S - SLOWEST_AGEING_S
    )
    gained = int(max(0.0, waited_s) / step_s)
    return max(SHORT_PRIORITY, LONG_PRIORITY - gained)


def choose_for_long(
    policy: LengthAware,
    usable: tuple[Candidate, ...],
    split: int,
    request: PlacementRequest,
) -> Candidate | None:
    """Return the upstream that starts a long prompt first, among the first `split`."""
    best: Candidate | None = None
    best_cost = float("inf")
    for candidate in usable[:split]:
        work = candidate.work
        rate = candidate.prefill_tokens_per_s
        if request.needs_room and not _long_fits(candidate, request):
            continue
        cost = (work.prefill_tokens - _credit(policy, candidate, request)) / rate
        if candidate.free_kv_tokens < request.prompt_tokens:
            cost += request.prompt_tokens / rate
        if cost < best_cost:
            best, best_cost = candidate, cost
    return best


def choose_for_short(
    policy: LengthAware,
    usable: tuple[Candidate, ...],
    split: int,
    request: PlacementRequest,
) -> Candidate | None:
    """Return the upstream with the least predicted time to a short prompt's answer.

    The engine runs short prompts before long ones, so long prompts ahead of it cost
    only what sharing the batch and the long prompt's own delay are worth.
    """
    best: Candidate | None = None
    best_cost = float("inf")
    own = request.prompt_tokens
    total = own + request.output_tokens
    sharing = (LEAST_SHARING_COST + policy.long_preference) * own
    open_to_long = split if split < len(usable) else 0
    needs_room = request.needs_room
    has_cached = bool(request.cached)
    done = request.done
    for index, candidate in enumerate(usable):
        work = candidate.work
        rate = candidate.prefill_tokens_per_s
        ahead = work.prefill_tokens - work.long_prefill_tokens
        left: float = ahead
        if ahead and done:
            left -= done.get(candidate.name, 0.0)
        fits = candidate.free_kv_tokens >= total
        if needs_room:
            if left > HAND_OVER_S * rate or ahead > SHORT_WINDOW_S * rate:
                continue
            if not fits:
                continue
        # Decoding streams slow each other a little; this also breaks ties.
        cost = left + own + work.requests
        if has_cached:
            cost -= _credit(policy, candidate, request)
        if work.long_requests:
            cost += sharing
        elif index < open_to_long:
            cost += OPEN_TO_LONG_COST * own
        if not fits:
            cost += work.prefill_tokens + candidate.kv_tokens
        cost /= rate
        if cost < best_cost:
            best, best_cost = candidate, cost
    return best


def _long_fits(candidate: Candidate, request: PlacementRequest) -> bool:
    total = request.prompt_tokens + request.output_tokens
    window = LONG_WINDOW_S * candidate.prefill_tokens_per_s
    return (
        candidate.free_kv_tokens >= total
        and candidate.work.long_prefill_tokens <= window
    )


def _credit(
    policy: LengthAware, candidate: Candidate, request: PlacementRequest
) -> float:
    if not request.cached:
        return 0.0
    cached = min(request.cached.get(candidate.name, 0), request.prompt_tokens)
    return policy.prefix_affinity * cached
