"""Limits that upstreams name for the requests of all nodes together.

An equal part of a small limit is less than one request in any short time, so equal
parts either exceed the limit, if each node may begin with one request, or leave the
upstream idle. Instead, few nodes may send to a limited upstream, its *senders*, and the
others leave it out. All nodes rank the nodes that they hear from in the same way, so
they agree on the senders without a message, and replace one that falls silent. Each
sender has an equal part of the limit.

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
from lagoonhinge_core.forwarding.upstreams import stable_rank

# Requests beyond a limit that an upstream tolerates in any 4 s: 5, and half of what the
# limit allows in that time (the platform's rules).
TOLERATED_REQUESTS = 5.0
TOLERATED_TIME_S = 2.0
# Share of these for bursts; the rest is for nodes that disagree on the senders.
BURST_SHARE = 0.5
# An upstream that takes hardly any requests still gets one in this time, as only its
# answers tell when its limit ends.
TRIAL_INTERVAL_S = 10.0


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


@dataclass(frozen=True)
class _Permits:
    """Requests that this node may send at a time, in seconds."""

    count: float
    counted_s: float


def sender_count(per_s: float, nodes: int) -> int:
    """Return how many nodes may send to an upstream.

    Args:
        per_s: Its limit, in requests a second.
        nodes: Nodes that use it.
    """
    burst = BURST_SHARE * (TOLERATED_REQUESTS + TOLERATED_TIME_S * per_s)
    return max(1, min(nodes, int(burst)))


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
        self.node = node
        self.statements: dict[str, _Statement] = {}
        self.permits: dict[str, _Permits] = {}
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
        return per_s is None or self._count(instance, per_s, nodes, now_s) >= 1.0

    def record_send(self, instance: str, nodes: Collection[str], now_s: float) -> None:
        """Count a request that this node sends to an upstream."""
        per_s = self.limit_per_s(instance)
        if per_s is not None:
            count = self._count(instance, per_s, nodes, now_s)
            self.permits[instance] = _Permits(count - 1.0, now_s)

    def retain_only(self, instances: Collection[str]) -> None:
        """Drop the limits of upstreams that are no longer listed."""
        for instance in [name for name in self.statements if name not in instances]:
            del self.statements[instance]
            self.permits.pop(instance, None)

    def _record(self, instance: str, statement: _Statement) -> None:
        self.statements[instance] = statement
        if statement.per_s is None:
            self.permits.pop(instance, None)

    def _count(
        self, instance: str, per_s: float, nodes: Collection[str], now_s: float
    ) -> float:
        """Return how many requests this node may send now.

        A node begins with none when it learns of the limit or becomes a sender, since
        other nodes may have used the limit until then.
        """
        part_per_s = self._part_per_s(instance, per_s, nodes)
        permits = self.permits.get(instance)
        if permits is None or not part_per_s:
            permits = _Permits(0.0, now_s)
        count = permits.count + part_per_s * (now_s - permits.counted_s)
        most = max(1.0, part_per_s * BURST_SHARE * TOLERATED_TIME_S)
        permits = _Permits(min(count, most), now_s)
        self.permits[instance] = permits
        return permits.count

    def _part_per_s(self, instance: str, per_s: float, nodes: Collection[str]) -> float:
        """Return this node's part of a limit; 0 if it is not one of the senders."""
        if self.node not in nodes:
            return 0.0
        count = sender_count(per_s, len(nodes))
        if count < len(nodes):
            ranked = sorted(nodes, key=lambda name: stable_rank(f"{instance} {name}"))
            if self.node not in ranked[:count]:
                return 0.0
        return max(per_s, 1 / TRIAL_INTERVAL_S) / count
