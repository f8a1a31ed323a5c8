"""Permits to send to an upstream that takes few requests from all nodes together.

An equal part of a small rate is less than one request in any short time, so equal
parts either exceed the rate, if each node may begin with one request, or leave the
upstream idle. Instead, few nodes may send to such an upstream, its *senders*, and the
others leave it out. All nodes rank the nodes that they hear from in the same way, so
they agree on the senders without a message, and replace one that falls silent. Each
sender has an equal part of the rate.
"""

from collections.abc import Collection
from dataclasses import dataclass

from lagoonhinge_core.forwarding.upstreams import stable_rank

# Share of the tolerance for bursts; the rest is for nodes that disagree on the senders.
BURST_SHARE = 0.5
# An upstream that takes hardly any requests still gets one in this time, as only its
# answers tell when that ends.
TRIAL_INTERVAL_S = 10.0


@dataclass(frozen=True)
class RateTolerance:
    """Requests beyond a rate that an upstream tolerates in a window.

    Attributes:
        requests: Number of requests.
        time_s: Time whose requests by the rate it tolerates besides, in seconds.
    """

    requests: float
    time_s: float


@dataclass(frozen=True)
class Permits:
    """Requests that this node may send at a time, in seconds."""

    count: float
    counted_s: float


class SenderPermits:
    """Requests that this node may send to upstreams that take few.

    Args:
        node: Name of the node.
        tolerance: What upstreams tolerate beyond their rates.

    Attributes:
        counts: Permits by upstream.
    """

    def __init__(self, node: str, tolerance: RateTolerance):
        self.node = node
        self.tolerance = tolerance
        self.counts: dict[str, Permits] = {}

    def sender_count(self, per_s: float, nodes: int) -> int:
        """Return how many nodes may send to an upstream.

        Args:
            per_s: Its rate, in requests a second.
            nodes: Nodes that use it.
        """
        tolerance = self.tolerance
        burst = BURST_SHARE * (tolerance.requests + tolerance.time_s * per_s)
        return max(1, min(nodes, int(burst)))

    def may_send(
        self, instance: str, per_s: float, nodes: Collection[str], now_s: float
    ) -> bool:
        """Return whether this node may send an upstream a request now.

        Args:
            instance: The upstream.
            per_s: Its rate, in requests a second.
            nodes: Live nodes that use it; empty if this node may not.
            now_s: The time, in seconds.
        """
        return self._count(instance, per_s, nodes, now_s) >= 1.0

    def record_send(
        self, instance: str, per_s: float, nodes: Collection[str], now_s: float
    ) -> None:
        """Count a request that this node sends to an upstream."""
        count = self._count(instance, per_s, nodes, now_s)
        self.counts[instance] = Permits(count - 1.0, now_s)

    def drop(self, instance: str) -> None:
        """Drop the permits for an upstream that takes any request again."""
        self.counts.pop(instance, None)

    def _count(
        self, instance: str, per_s: float, nodes: Collection[str], now_s: float
    ) -> float:
        """Return how many requests this node may send now.

        A node begins with none when it learns of the rate or becomes a sender, since
        other nodes may have used it until then.
        """
        part_per_s = self._part_per_s(instance, per_s, nodes)
        permits = self.counts.get(instance)
        if permits is None or not part_per_s:
            permits = Permits(0.0, now_s)
        count = permits.count + part_per_s * (now_s - permits.counted_s)
        most = max(1.0, part_per_s * BURST_SHARE * self.tolerance.time_s)
        permits = Permits(min(count, most), now_s)
        self.counts[instance] = permits
        return permits.count

    def _part_per_s(self, instance: str, per_s: float, nodes: Collection[str]) -> float:
        """Return this node's part of a rate; 0 if it is not one of the senders."""
        if self.node not in nodes:
            return 0.0
        count = self.sender_count(per_s, len(nodes))
        if count < len(nodes):
            ranked = sorted(nodes, key=lambda name: stable_rank(f"{instance} {name}"))
            if self.node not in ranked[:count]:
                return 0.0
        return max(per_s, 1 / TRIAL_INTERVAL_S) / count
