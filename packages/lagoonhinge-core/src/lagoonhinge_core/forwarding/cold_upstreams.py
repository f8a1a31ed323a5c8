"""Upstreams that are cold: for some seconds after a start they take few requests.

A cold upstream that gets many more requests than it takes crashes. All nodes together
keep to its rate by permits of few senders (see `sender_permits`).

Load pattern: a zone comes back after an evacuation or an outage, and all nodes turn to
its upstreams at once, since these look idle.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.sender_permits import RateTolerance, SenderPermits
from lagoonhinge_core.forwarding.upstreams import Upstream, UpstreamRun


@dataclass(frozen=True)
class ColdBound:
    """Requests that a cold upstream may get in any second.

    Attributes:
        factor: Multiple of the rate that the upstream takes.
        extra: Requests beyond that.
    """

    factor: float
    extra: float

    def tolerance(self) -> RateTolerance:
        """Return what a cold upstream tolerates beyond its rate."""
        return RateTolerance(self.extra, max(0.0, self.factor - 1.0))


@dataclass
class ColdUpstreams:
    """Cold upstreams, and how many requests this node may send them.

    Attributes:
        permits: This node's permits; `None` if no bound is set, so that cold upstreams
            are treated like others.
        until_s: Until when each run of an upstream is cold, in seconds.
    """

    permits: SenderPermits | None = None
    until_s: dict[UpstreamRun, float] = field(default_factory=dict)

    def record(self, upstream: Upstream, left_s: float, now_s: float) -> bool:
        """Record that an upstream is cold for some more time, in seconds.

        An older statement, which ends later only by its delay, never shortens it.

        Returns:
            Whether it was not known to be cold.
        """
        run, end_s = upstream.run(), now_s + left_s
        is_new = self.until_s.get(run, now_s) <= now_s
        self.until_s[run] = max(end_s, self.until_s.get(run, end_s))
        return is_new

    def remaining_s(self, upstream: Upstream, now_s: float) -> float:
        """Return how long an upstream is still cold, in seconds."""
        if not self.until_s:
            return 0.0
        return max(0.0, self.until_s.get(upstream.run(), now_s) - now_s)

    def may_send(
        self, instance: str, per_s: float, nodes: Collection[str], now_s: float
    ) -> bool:
        """Return whether this node may send a cold upstream a request now.

        Args:
            instance: The upstream.
            per_s: Requests a second that it takes while it is cold.
            nodes: Live nodes that use it; empty if this node may not.
            now_s: The time, in seconds.
        """
        if self.permits is None:
            return True
        return self.permits.may_send(instance, per_s, nodes, now_s)

    def record_send(
        self, instance: str, per_s: float, nodes: Collection[str], now_s: float
    ) -> None:
        """Count a request that this node sends to a cold upstream."""
        if self.permits is not None:
            self.permits.record_send(instance, per_s, nodes, now_s)

    def drop_ended(self, now_s: float) -> None:
        """Drop the upstreams that are no longer cold."""
        for run in [run for run, end_s in self.until_s.items() if end_s <= now_s]:
            del self.until_s[run]
            if self.permits is not None:
                self.permits.drop(run.instance)
