"""Hedged requests: a second attempt beside one that takes longer than usual.

The first attempt that has a part of the answer forwards it, and the other is cancelled.
Only requests that may run again are hedged, before any part of their answer, and only
as many as the operator allows.

Nodes tell the other nodes of their cell the delays that they observe, since in a large
fleet a node alone serves too few requests of a kind to know what is usual.

Load pattern: a few upstreams are slow for a while, or a short prompt was placed behind
work that its node did not know of, while other upstreams have room.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import ceil

# Answers by which a delay counts as longer than usual; with fewer, nothing is hedged.
MIN_OBSERVATIONS = 20
MAX_OBSERVATIONS = 200  # of each group; older ones say little of the present load
MAX_UNSENT = 20  # of each group and update; a sample is enough
# Of the time that all but the allowed share of answers keep to: answers in that time
# should not be hedged for a small difference.
LATE_FACTOR = 1.1
TAIL_FACTOR = 3.0  # of the median time
MIN_DUE_S = 0.02  # a few round trips between availability zones and a short pass
# Most hedges that a node may save up while none are due.
MAX_SAVED_HEDGES = 2.0
# Share of an upstream's slots, with the hedge, beyond which hedges would take the room
# of first attempts.
MAX_SLOT_SHARE = 0.75


@dataclass(frozen=True)
class HedgeBound:
    """How many requests may be hedged.

    Attributes:
        share: Largest share of the requests.
        per_s: Hedges a second of all nodes together.
    """

    share: float
    per_s: float


@dataclass(frozen=True)
class HedgeGroup:
    """Requests whose delays are compared.

    Attributes:
        service: Their service.
        kind: Kind of their route.
        length: Length class of their prompts.
    """

    service: str
    kind: str
    length: str


@dataclass(frozen=True)
class GroupDelays:
    """Delays that a node observed since its last update.

    Attributes:
        group: Group of the requests.
        delays_ms: Times beyond the predictions, in milliseconds.
    """

    group: HedgeGroup
    delays_ms: tuple[int, ...]


class HedgeDecision(Enum):
    """Whether a request is hedged, or why not."""

    SEND = "sent"
    NOT_REPEATABLE = "not_repeatable"
    LONG = "long"
    UNDER_PRESSURE = "pressure"
    NO_ALTERNATIVE = "no_alternative"
    SLOWER = "slower"
    NO_RETRY_BUDGET = "retry_budget"
    NO_BUDGET = "hedge_budget"


@dataclass(frozen=True)
class Alternative:
    """The upstream that a hedge would go to.

    Attributes:
        ready_s: Predicted time until the first part of its answer, in seconds.
        requests: Open requests there.
        slots: Requests that it serves concurrently.
    """

    ready_s: float
    requests: int
    slots: int

    def has_room(self) -> bool:
        """Return whether it has room that first attempts are not short of."""
        return self.requests + 1 <= MAX_SLOT_SHARE * self.slots


@dataclass(frozen=True)
class HedgeSituation:
    """A request that takes longer than usual.

    Attributes:
        may_run_again: Whether one more upstream may run it.
        is_long: Whether its prefill delays other answers noticeably.
        is_restricted: Whether upstreams of its service are limited, paused, cold or
            evacuated, so that the others carry more.
        within_retry_budget: Whether the retry budget allows one more attempt.
        within_hedge_budget: Whether the bound of hedges allows one more.
        predicted_s: Predicted time of its first attempt, in seconds.
        alternative: Where a hedge would go; `None` if there is no other upstream.
    """

    may_run_again: bool
    is_long: bool
    is_restricted: bool
    within_retry_budget: bool
    within_hedge_budget: bool
    predicted_s: float
    alternative: Alternative | None


def decide_hedge(situation: HedgeSituation) -> HedgeDecision:
    """Return whether to hedge a request that takes longer than usual."""
    alternative = situation.alternative
    if not situation.may_run_again:
        return HedgeDecision.NOT_REPEATABLE
    if situation.is_long:
        # A second prefill would cost other callers more than it saves this one.
        return HedgeDecision.LONG
    if situation.is_restricted:
        return HedgeDecision.UNDER_PRESSURE
    if alternative is None:
        return HedgeDecision.NO_ALTERNATIVE
    if not alternative.has_room():
        return HedgeDecision.UNDER_PRESSURE
    if alternative.ready_s > situation.predicted_s:
        return HedgeDecision.SLOWER
    if not situation.within_retry_budget:
        return HedgeDecision.NO_RETRY_BUDGET
    if not situation.within_hedge_budget:
        return HedgeDecision.NO_BUDGET
    return HedgeDecision.SEND


@dataclass
class HedgeBudget:
    """Hedges that this node may send.

    Each request adds the share, and time adds this node's equal part of the rate of all
    nodes; a hedge needs one of both. So the hedges of all nodes stay within the share
    of the requests, and within the rate, even if nodes can't reach each other.

    Attributes:
        bound: The bound of all nodes.
        by_share: Hedges saved up from the share.
        by_rate: Hedges saved up from the rate.
        counted_s: Time up to which the rate was counted, in seconds.
    """

    bound: HedgeBound
    by_share: float = 0.0
    by_rate: float = 0.0
    counted_s: float | None = None

    def count_request(self) -> None:
        """Count a request."""
        self.by_share = min(MAX_SAVED_HEDGES, self.by_share + self.bound.share)

    def allows_hedge(self, now_s: float, nodes: int) -> bool:
        """Return whether one more hedge is within this node's part.

        Args:
            now_s: The time, in seconds.
            nodes: Nodes that share the rate.
        """
        passed_s = 0.0 if self.counted_s is None else now_s - self.counted_s
        self.counted_s = now_s
        part_per_s = self.bound.per_s / max(1, nodes)
        self.by_rate = min(MAX_SAVED_HEDGES, self.by_rate + part_per_s * passed_s)
        return self.by_share >= 1.0 and self.by_rate >= 1.0

    def count_hedge(self) -> None:
        """Count a hedge that is sent."""
        self.by_share -= 1.0
        self.by_rate -= 1.0


@dataclass
class HedgeTracker:
    """Observed delays of first attempts, and the hedges that are left.

    Attributes:
        budget: The budget; `None` if no requests are hedged.
        delays: Recent times beyond the prediction, in seconds, by group.
        unsent: Those that this node observed and peers have not been sent.
    """

    budget: HedgeBudget | None = None
    delays: dict[HedgeGroup, deque[float]] = field(default_factory=dict)
    unsent: dict[HedgeGroup, deque[float]] = field(default_factory=dict)

    def set_bound(self, bound: HedgeBound | None) -> None:
        """Change the bound."""
        if bound is None or not bound.share or not bound.per_s:
            self.budget = None
            self.delays.clear()
            self.unsent.clear()
        elif self.budget is None:
            self.budget = HedgeBudget(bound)
        else:
            self.budget.bound = bound

    def record_delay(self, group: HedgeGroup, delay_s: float) -> None:
        """Record how much later than predicted an answer began, in seconds."""
        if self.budget is not None:
            self._recent(group).append(delay_s)
            self.unsent.setdefault(group, deque(maxlen=MAX_UNSENT)).append(delay_s)

    def merge(self, delays: Iterable[GroupDelays]) -> None:
        """Record what a peer observed."""
        if self.budget is not None:
            for entry in delays:
                recent = self._recent(entry.group)
                recent.extend(delay_ms / 1000 for delay_ms in entry.delays_ms)

    def take_unsent(self) -> tuple[GroupDelays, ...]:
        """Return what this node observed since the last call, for its peers."""
        unsent, self.unsent = self.unsent, {}
        return tuple(
            GroupDelays(group, tuple(round(delay_s * 1000) for delay_s in delays))
            for group, delays in unsent.items()
        )

    def _recent(self, group: HedgeGroup) -> deque[float]:
        return self.delays.setdefault(group, deque(maxlen=MAX_OBSERVATIONS))

    def due_in_s(self, group: HedgeGroup, predicted_s: float) -> float | None:
        """Return after which time without an answer a request is hedged.

        It is the time that all but the allowed share of answers keep to, but no more
        than some times the median, since more answers than that may be slow.

        Args:
            group: The request's group.
            predicted_s: Predicted time of its answer, in seconds.

        Returns:
            The time, in seconds; `None` if nothing is hedged, or too few answers are
            known.
        """
        delays = self.delays.get(group)
        if self.budget is None or delays is None or len(delays) < MIN_OBSERVATIONS:
            return None
        ranked_s = sorted(delays)
        rank = ceil((1.0 - self.budget.bound.share) * len(ranked_s))
        tail_s = predicted_s + ranked_s[max(1, rank) - 1]
        median_s = predicted_s + ranked_s[len(ranked_s) // 2]
        return max(MIN_DUE_S, min(LATE_FACTOR * tail_s, TAIL_FACTOR * median_s))
