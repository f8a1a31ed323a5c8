"""Scores of upstreams by predicted time to first token, for `length_aware`."""

from dataclasses import dataclass, field

from lagoonhinge_core.config import LengthAware
from lagoonhinge_core.in_flight import UpstreamWork

DISPATCH_AHEAD_S = 0.03  # work left on an engine at the next dispatch to it
MAX_SHORT_BACKLOG_S = 0.1  # bounds the queue of an engine slower than nominal
MAX_LONG_BACKLOG_S = 0.25
SHORT_PRIORITY = 0
LONG_PRIORITY = 10
MAX_AGEING_STEP_S = 6.0  # wait per step of priority without long preference
MIN_AGEING_STEP_S = 2.0  # with full long preference
# Costs of an upstream with a long prompt, or open to one, relative to the own prompt.
MIN_SHARING_COST = 0.25
LONG_ELIGIBLE_COST = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream to which an attempt may be dispatched.

    Attributes:
        name: Upstream name.
        zone: Availability zone.
        work: Work of this node and its peers on it.
        free_kv_tokens: Estimated free KV cache, in tokens.
        kv_tokens: KV cache capacity, in tokens.
        prefill_tokens_per_s: Nominal prefill rate, in tokens per second.
    """

    name: str
    zone: str
    work: UpstreamWork
    free_kv_tokens: int
    kv_tokens: int
    prefill_tokens_per_s: float = 20_000.0


@dataclass(frozen=True)
class PlacementRequest:
    """Properties of a request that placement depends on.

    Attributes:
        prompt_tokens: Estimated prompt length, in tokens.
        output_tokens: Maximum length of the answer, in tokens.
        excluded: Upstreams already tried.
        service: Name of the service.
        reserved: Upstream reserved for the request by admission, if any.
        needs_capacity: Whether the upstream must have capacity to start it now.
        cached_tokens: Estimated cached part of the prompt, by upstream name.
        prefilled_tokens: Estimated processed part of the short prompts in prefill, by
            upstream name.
    """

    prompt_tokens: int
    output_tokens: int
    excluded: frozenset[str] = frozenset()
    service: str = ""
    reserved: str | None = None
    needs_capacity: bool = False
    cached_tokens: dict[str, int] = field(default_factory=dict)
    prefilled_tokens: dict[str, float] = field(default_factory=dict)


def is_long(policy: LengthAware, prompt_tokens: int) -> bool:
    """Return whether a prompt is of the long class."""
    return prompt_tokens >= policy.long_from_tokens


def engine_priority(policy: LengthAware, prompt_tokens: int, waited_s: float) -> int:
    """Return the engine priority of an attempt; smaller runs earlier.

    Short prompts run before long ones. The priority of a long prompt rises with its
    wait until it equals that of a short one, which prevents starvation; it rises
    faster with a higher long preference.

    Args:
        policy: Placement policy of the service.
        prompt_tokens: Estimated prompt length, in tokens.
        waited_s: Time in the node's queue, in seconds.
    """
    if not is_long(policy, prompt_tokens):
        return SHORT_PRIORITY
    step_s = MAX_AGEING_STEP_S + policy.long_preference * (
        MIN_AGEING_STEP_S - MAX_AGEING_STEP_S
    )
    steps = int(max(0.0, waited_s) / step_s)
    return max(SHORT_PRIORITY, LONG_PRIORITY - steps)


def choose_for_long(
    policy: LengthAware,
    usable: tuple[Candidate, ...],
    split: int,
    request: PlacementRequest,
) -> Candidate | None:
    """Return the one of the first `split` upstreams that starts a long prompt first."""
    best: Candidate | None = None
    best_cost = float("inf")
    for candidate in usable[:split]:
        work = candidate.work
        rate = candidate.prefill_tokens_per_s
        if request.needs_capacity and not _long_fits(candidate, request):
            continue
        cost = (work.prefill_tokens - _cache_credit(policy, candidate, request)) / rate
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
    """Return the upstream with the lowest predicted time to first token.

    Engines run short prompts before long ones, so a long prompt on the engine costs
    only the shared batch and the delay of the long prompt.
    """
    best: Candidate | None = None
    best_cost = float("inf")
    prompt_tokens = request.prompt_tokens
    total = prompt_tokens + request.output_tokens
    sharing_cost = (MIN_SHARING_COST + policy.long_preference) * prompt_tokens
    long_eligible = split if split < len(usable) else 0
    needs_capacity = request.needs_capacity
    has_cached = bool(request.cached_tokens)
    prefilled_tokens = request.prefilled_tokens
    for index, candidate in enumerate(usable):
        work = candidate.work
        rate = candidate.prefill_tokens_per_s
        ahead = work.prefill_tokens - work.long_prefill_tokens
        remaining: float = ahead
        if ahead and prefilled_tokens:
            remaining -= prefilled_tokens.get(candidate.name, 0.0)
        fits = candidate.free_kv_tokens >= total
        if needs_capacity:
            if (
                remaining > DISPATCH_AHEAD_S * rate
                or ahead > MAX_SHORT_BACKLOG_S * rate
            ):
                continue
            if not fits:
                continue
        # Each decoding request slows the engine slightly; this also breaks ties.
        cost = remaining + prompt_tokens + work.requests
        if has_cached:
            cost -= _cache_credit(policy, candidate, request)
        if work.long_requests:
            cost += sharing_cost
        elif index < long_eligible:
            cost += LONG_ELIGIBLE_COST * prompt_tokens
        if not fits:
            cost += work.prefill_tokens + candidate.kv_tokens
        cost /= rate
        if cost < best_cost:
            best, best_cost = candidate, cost
    return best


def _long_fits(candidate: Candidate, request: PlacementRequest) -> bool:
    total = request.prompt_tokens + request.output_tokens
    max_backlog = MAX_LONG_BACKLOG_S * candidate.prefill_tokens_per_s
    return (
        candidate.free_kv_tokens >= total
        and candidate.work.long_prefill_tokens <= max_backlog
    )


def _cache_credit(
    policy: LengthAware, candidate: Candidate, request: PlacementRequest
) -> float:
    if not request.cached_tokens:
        return 0.0
    cached_tokens = min(
        request.cached_tokens.get(candidate.name, 0), request.prompt_tokens
    )
    return policy.prefix_affinity * cached_tokens
