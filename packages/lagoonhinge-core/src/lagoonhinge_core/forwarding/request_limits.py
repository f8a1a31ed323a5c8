"""Limits that upstreams name for the requests of all nodes together.

Load pattern: an upstream in need gets its usual share of the load, since it looks idle.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from lagoonhinge_core.forwarding.messages import (
    LimitNotice,
    NoLimit,
    RequestLimit,
    UnreadableLimit,
)
from lagoonhinge_core.forwarding.sender_permits import RateTolerance, SenderPermits

# In any 4 s an upstream tolerates 5 requests beyond its limit, and half of what the
# limit allows in that time (the platform's rules).
LIMIT_TOLERANCE = RateTolerance(5.0, 2.0)


@dataclass(frozen=True)
class StatedLimit:
    """What an upstream last said of its limit.

    Attributes:
        instance: The upstream.
        per_s: Requests a second from all nodes together; `None` if it named no limit.
        age_s: Time since then, in seconds.
    """

    instance: str
    per_s: float | None
    age_s: float


@dataclass(frozen=True)
class _Statement:
    """What an upstream last said, when (in seconds), and whether to this node."""

    per_s: float | None
    stated_s: float
    is_own: bool


class RequestLimits:
    """Limits of upstreams, and how many requests this node may send them.

    Args:
        node: Name of the node.

    Attributes:
        statements: What each upstream last said, if it ever named a limit.
        permits: Requests that this node may send to each limited upstream.
        has_unsent: Whether an upstream told this node a change that its peers have not
            been sent.
    """

    def __init__(self, node: str):
        self.statements: dict[str, _Statement] = {}
        self.permits = SenderPermits(node, LIMIT_TOLERANCE)
        self.has_unsent = False

    def record_answer(self, instance: str, notice: LimitNotice, now_s: float) -> bool:
        """Record an answer of an upstream; return whether its limit changed."""
        before = self.limit_per_s(instance)
        match notice:
            case RequestLimit(per_s):
                self._record(instance, _Statement(per_s, now_s, True))
            case NoLimit() if instance in self.statements:
                self._record(instance, _Statement(None, now_s, True))
            case NoLimit() | UnreadableLimit():
                pass
        is_changed = self.limit_per_s(instance) != before
        self.has_unsent |= is_changed
        return is_changed

    def merge(self, limits: Iterable[StatedLimit], now_s: float) -> None:
        """Record what upstreams told other nodes, where it is newer."""
        for limit in limits:
            stated_s = now_s - limit.age_s
            known = self.statements.get(limit.instance)
            if known is None or stated_s > known.stated_s:
                statement = _Statement(limit.per_s, stated_s, False)
                self._record(limit.instance, statement)

    def own_statements(self, now_s: float) -> tuple[StatedLimit, ...]:
        """Return what upstreams told this node, for its peers.

        What peers told it is left out, as its age grows less exact with each node.
        """
        return tuple(
            StatedLimit(instance, statement.per_s, now_s - statement.stated_s)
            for instance, statement in self.statements.items()
            if statement.is_own
        )

    def known_statements(
        self, instances: Iterable[str], now_s: float
    ) -> tuple[StatedLimit, ...]:
        """Return what is known of some upstreams, for nodes that don't use them."""
        return tuple(
            StatedLimit(instance, known.per_s, now_s - known.stated_s)
            for instance in instances
            if (known := self.statements.get(instance)) is not None
        )

    def limit_per_s(self, instance: str) -> float | None:
        """Return the limit of an upstream; `None` if it has none."""
        known = self.statements.get(instance)
        return None if known is None else known.per_s

    def limited(self) -> dict[str, float]:
        """Return the limits in force."""
        return {
            instance: known.per_s
            for instance, known in self.statements.items()
            if known.per_s is not None
        }

    def may_send(self, instance: str, nodes: Collection[str], now_s: float) -> bool:
        """Return whether this node may send an upstream a request now.

        Args:
            instance: The upstream.
            nodes: Live nodes that use it; empty if this node may not.
            now_s: The time, in seconds.
        """
        per_s = self.limit_per_s(instance)
        return per_s is None or self.permits.may_send(instance, per_s, nodes, now_s)

    def record_send(self, instance: str, nodes: Collection[str], now_s: float) -> None:
        """Count a request that this node sends to an upstream."""
        per_s = self.limit_per_s(instance)
        if per_s is not None:
            self.permits.record_send(instance, per_s, nodes, now_s)

    def retain_only(self, instances: Collection[str]) -> None:
        """Drop the limits of upstreams that are no longer listed."""
        for instance in [name for name in self.statements if name not in instances]:
            del self.statements[instance]
            self.permits.drop(instance)

    def _record(self, instance: str, statement: _Statement) -> None:
        self.statements[instance] = statement
        if statement.per_s is None:
            self.permits.drop(instance)
