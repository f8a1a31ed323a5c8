"""Site-wide limits of client accounts, divided between nodes that gossip their demand.

Each node has a weight for each account, between `MIN_WEIGHT` and `MAX_WEIGHT`, that
grows with the demand it publishes. Its share of the limit is its weight divided by the
sum of its weight and the last received weights of its peers. For itself a node uses the
lowest weight that any peer may still have for it, so the shares add up to at most the
limit even if gossip is delayed, reordered or lost. A silent peer keeps its last
received weight and an unseen peer has the maximum weight, so that losing contact never
raises a share.
"""

from collections import deque
from dataclasses import dataclass, field

from lagoonhinge_core.config import AccountConfig
from lagoonhinge_core.identity import NodeId

NONE_RECEIVED = -1
MAX_WEIGHT = 8.0
MIN_WEIGHT = 1.0
MAX_PUBLICATIONS = 16


@dataclass(frozen=True)
class DemandUpdate:
    """Demand that a node publishes.

    Attributes:
        number: Number of the update; increases with each change of the demand.
        tokens_per_s: Offered load by client account; absent accounts have none.
        received: Newest number received from each peer incarnation; `NONE_RECEIVED`
            if the node has no demand of it.
    """

    number: int
    tokens_per_s: dict[str, float] = field(default_factory=dict)
    received: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Publication:
    """Published demand, or the lowest demand of several merged publications."""

    number: int
    tokens_per_s: dict[str, float]


@dataclass
class PeerDemand:
    """Demand and acknowledgement of a peer's newest incarnation.

    Attributes:
        node: The incarnation.
        acknowledged: Newest own number that the peer has received; `None` if not known.
        update: Its newest update that lists this incarnation of the node, if any.
    """

    node: NodeId
    acknowledged: int | None
    update: DemandUpdate | None = None


class DemandShares:
    """This node's share of every limit.

    Args:
        node: This incarnation of the node.
    """

    def __init__(self, node: NodeId):
        self.node = node
        self.published: deque[Publication] = deque([Publication(0, {})])
        self.peers: dict[str, PeerDemand] = {}
        self.unseen_peers = 0

    def publish(self, tokens_per_s: dict[str, float]) -> DemandUpdate:
        """Set the own demand and return the update to send to the peers."""
        if tokens_per_s != self.published[-1].tokens_per_s:
            number = self.published[-1].number + 1
            self.published.append(Publication(number, dict(tokens_per_s)))
            self._drop_acknowledged()
        newest = self.published[-1]
        received = {
            str(peer.node): NONE_RECEIVED if peer.update is None else peer.update.number
            for peer in self.peers.values()
        }
        return DemandUpdate(newest.number, newest.tokens_per_s, received)

    def observe(self, node: NodeId, update: DemandUpdate) -> None:
        """Apply a peer's update; older updates and older incarnations are ignored."""
        peer = self.peers.get(node.vm)
        if peer is None:
            # It may still use the demand of this node's previous incarnation.
            peer = self.peers[node.vm] = PeerDemand(node, None)
        elif peer.node < node:
            # The new incarnation receives only updates sent from now on.
            peer = self.peers[node.vm] = PeerDemand(node, self.published[-1].number)
        if peer.node != node or str(self.node) not in update.received:
            # Sent before the peer received an update of this incarnation, so it may be
            # older than the demand from which the peer computes its share.
            return
        received_number = update.received[str(self.node)]
        if received_number != NONE_RECEIVED:
            previous = NONE_RECEIVED if peer.acknowledged is None else peer.acknowledged
            peer.acknowledged = max(previous, received_number)
        if peer.update is None or peer.update.number < update.number:
            peer.update = update
        self._drop_acknowledged()

    def set_unseen_peers(self, unseen_peers: int) -> None:
        """Set the number of peers from which no update has arrived."""
        self.unseen_peers = unseen_peers

    def remove(self, vm: str) -> None:
        """Remove a peer that has left; silence alone is no reason to remove it."""
        self.peers.pop(vm, None)

    def share(self, account: str, limit_tokens_per_s: float) -> float:
        """Return this node's share of an account's limit, between 0 and 1."""
        own = self._own_weight(account, limit_tokens_per_s)
        others = self.unseen_peers * MAX_WEIGHT
        for peer in self.peers.values():
            if peer.update is None:
                others += MAX_WEIGHT
                continue
            demand = peer.update.tokens_per_s.get(account, 0.0)
            others += _weight(demand, limit_tokens_per_s)
        return own / (own + others)

    def _own_weight(self, account: str, limit_tokens_per_s: float) -> float:
        any_unacknowledged = any(
            peer.acknowledged is None for peer in self.peers.values()
        )
        if self.unseen_peers or any_unacknowledged:
            return MIN_WEIGHT
        lowest = min(entry.tokens_per_s.get(account, 0.0) for entry in self.published)
        return _weight(lowest, limit_tokens_per_s)

    def _drop_acknowledged(self) -> None:
        newest = self.published[-1].number
        oldest_received = min(
            (peer.acknowledged or 0 for peer in self.peers.values()), default=newest
        )
        while len(self.published) > 1 and self.published[1].number <= oldest_received:
            self.published.popleft()
        while len(self.published) > MAX_PUBLICATIONS:
            older = self.published.popleft()
            newer = self.published.popleft()
            self.published.appendleft(_merge(older, newer))


def _merge(older: Publication, newer: Publication) -> Publication:
    common = older.tokens_per_s.keys() & newer.tokens_per_s.keys()
    lowest = {
        name: min(older.tokens_per_s[name], newer.tokens_per_s[name]) for name in common
    }
    # Kept until every peer has received a newer one than both.
    return Publication(newer.number, lowest)


def _weight(demand_tokens_per_s: float, limit_tokens_per_s: float) -> float:
    fraction = min(1.0, max(0.0, demand_tokens_per_s) / limit_tokens_per_s)
    return MIN_WEIGHT + (MAX_WEIGHT - MIN_WEIGHT) * fraction


@dataclass
class TokenBucket:
    """Tokens left to an account on this node; negative after a large request."""

    level_tokens: float
    updated_s: float


class AccountLimits:
    """Enforces this node's share of each account's limit."""

    def __init__(self, shares: DemandShares):
        self.shares = shares
        self.buckets: dict[str, TokenBucket] = {}

    def charge(
        self, account: str, config: AccountConfig, tokens: int, now_s: float
    ) -> float | None:
        """Charge a request to its account.

        A request larger than the bucket is accepted when the bucket is full and
        leaves its level negative, so that the rate holds over time and no request
        is refused for ever.

        Returns:
            `None` if the request is charged, else the time to wait, in seconds.
        """
        rate = config.tokens_per_s * self.shares.share(account, config.tokens_per_s)
        capacity = rate * config.burst_s
        bucket = self.buckets.get(account)
        if bucket is None:
            bucket = self.buckets[account] = TokenBucket(capacity, now_s)
        refilled = bucket.level_tokens + rate * (now_s - bucket.updated_s)
        bucket.level_tokens = min(capacity, refilled)
        bucket.updated_s = now_s
        needed = min(float(tokens), capacity)
        if bucket.level_tokens < needed:
            return (needed - bucket.level_tokens) / rate
        bucket.level_tokens -= tokens
        return None

    def refund(self, account: str, tokens: int) -> None:
        """Refund a request that was not run."""
        bucket = self.buckets.get(account)
        if bucket is not None:
            bucket.level_tokens += tokens

    def remove(self, accounts: set[str]) -> None:
        """Remove the buckets of accounts that no longer exist."""
        for name in accounts & self.buckets.keys():
            del self.buckets[name]
