"""Limits of client accounts over a whole site, shared by nodes that gossip demand.

Each node claims a weight for each account, between `MIN_WEIGHT` and `MAX_WEIGHT`, that
grows with the demand it publishes. Its share of the limit is its claim over the sum of
its claim and the weights it knows of its peers. A node claims the least weight among
those that some peer may still hold for it, so the shares add up to at most the limit
however late, reordered or lost the gossip is. A peer that went silent keeps its last
known weight, one never heard has the greatest: losing contact never raises a share.
"""

from collections import deque
from dataclasses import dataclass, field

from lagoonhinge_core.config import AccountConfig
from lagoonhinge_core.identity import NodeId

NOTHING_HELD = -1
MAX_WEIGHT = 8.0
MIN_WEIGHT = 1.0
PUBLICATIONS_KEPT = 16


@dataclass(frozen=True)
class DemandNews:
    """What a node publishes of its demand.

    Attributes:
        number: Raised with each change of the demand.
        tokens_per_s: Offered load by client account; absent accounts have none.
        heard: Newest number held of each other run; `NOTHING_HELD` if only the run
            itself is known.
    """

    number: int
    tokens_per_s: dict[str, float] = field(default_factory=dict)
    heard: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Publication:
    """Demand published under a number; demand of several once merged, the least."""

    number: int
    tokens_per_s: dict[str, float]


@dataclass
class PeerDemand:
    """What is known of a peer's newest run.

    Attributes:
        node: The run.
        acknowledged: Newest own number that it is known to hold, if any.
        news: Its newest demand, once it knew this run of ours.
    """

    node: NodeId
    acknowledged: int | None
    news: DemandNews | None = None


class DemandShares:
    """This node's share of every limit.

    Args:
        node: This run of the node.
    """

    def __init__(self, node: NodeId):
        self.node = node
        self.published: deque[Publication] = deque([Publication(0, {})])
        self.peers: dict[str, PeerDemand] = {}
        self.never_heard = 0

    def publish(self, tokens_per_s: dict[str, float]) -> DemandNews:
        """Set the own demand and return what to tell the peers."""
        if tokens_per_s != self.published[-1].tokens_per_s:
            number = self.published[-1].number + 1
            self.published.append(Publication(number, dict(tokens_per_s)))
            self._drop_old()
        newest = self.published[-1]
        heard = {
            str(peer.node): NOTHING_HELD if peer.news is None else peer.news.number
            for peer in self.peers.values()
        }
        return DemandNews(newest.number, newest.tokens_per_s, heard)

    def observe(self, node: NodeId, news: DemandNews) -> None:
        """Take in what a peer published; old news and old runs change nothing."""
        peer = self.peers.get(node.vm)
        if peer is None:
            # It may still hold the demand of this node's run before.
            peer = self.peers[node.vm] = PeerDemand(node, None)
        elif peer.node < node:
            # Whatever the new run will hold of ours is sent after now.
            peer = self.peers[node.vm] = PeerDemand(node, self.published[-1].number)
        if peer.node != node or str(self.node) not in news.heard:
            # News from before the peer knew this run may be older than what the
            # peer counts on.
            return
        held = news.heard[str(self.node)]
        if held != NOTHING_HELD:
            known = NOTHING_HELD if peer.acknowledged is None else peer.acknowledged
            peer.acknowledged = max(known, held)
        if peer.news is None or peer.news.number < news.number:
            peer.news = news
        self._drop_old()

    def expect(self, never_heard: int) -> None:
        """Set how many peers exist that were never heard from."""
        self.never_heard = never_heard

    def forget(self, vm: str) -> None:
        """Drop a peer that is surely gone; silence alone doesn't make it so."""
        self.peers.pop(vm, None)

    def share(self, account: str, limit_tokens_per_s: float) -> float:
        """Return this node's part of an account's limit, between 0 and 1."""
        own = self._own_claim(account, limit_tokens_per_s)
        others = self.never_heard * MAX_WEIGHT
        for peer in self.peers.values():
            if peer.news is None:
                others += MAX_WEIGHT
                continue
            demand = peer.news.tokens_per_s.get(account, 0.0)
            others += _weight(demand, limit_tokens_per_s)
        return own / (own + others)

    def _own_claim(self, account: str, limit_tokens_per_s: float) -> float:
        unsure = any(peer.acknowledged is None for peer in self.peers.values())
        if self.never_heard or unsure:
            return MIN_WEIGHT
        least = min(entry.tokens_per_s.get(account, 0.0) for entry in self.published)
        return _weight(least, limit_tokens_per_s)

    def _drop_old(self) -> None:
        newest = self.published[-1].number
        oldest_held = min(
            (peer.acknowledged or 0 for peer in self.peers.values()), default=newest
        )
        while len(self.published) > 1 and self.published[1].number <= oldest_held:
            self.published.popleft()
        while len(self.published) > PUBLICATIONS_KEPT:
            first = self.published.popleft()
            second = self.published.popleft()
            self.published.appendleft(_least(first, second))


def _least(first: Publication, second: Publication) -> Publication:
    both = first.tokens_per_s.keys() & second.tokens_per_s.keys()
    least = {
        name: min(first.tokens_per_s[name], second.tokens_per_s[name]) for name in both
    }
    # Kept until every peer holds something newer than both.
    return Publication(second.number, least)


def _weight(demand_tokens_per_s: float, limit_tokens_per_s: float) -> float:
    part = min(1.0, max(0.0, demand_tokens_per_s) / limit_tokens_per_s)
    return MIN_WEIGHT + (MAX_WEIGHT - MIN_WEIGHT) * part


@dataclass
class TokenBucket:
    """Tokens that an account may still use here; negative after a large request."""

    level_tokens: float
    updated_s: float


class AccountLimits:
    """Holds each account to this node's share of its limit."""

    def __init__(self, shares: DemandShares):
        self.shares = shares
        self.buckets: dict[str, TokenBucket] = {}

    def take(
        self, account: str, config: AccountConfig, tokens: int, now_s: float
    ) -> float | None:
        """Charge a request; returns `None`, or how long to wait, in seconds.

        A request greater than the whole bucket passes when the bucket is full and
        leaves it in debt, so that the rate holds over time and nothing is refused
        for ever.
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

    def give_back(self, account: str, tokens: int) -> None:
        """Return the charge of a request that was not run."""
        bucket = self.buckets.get(account)
        if bucket is not None:
            bucket.level_tokens += tokens

    def forget(self, accounts: set[str]) -> None:
        """Drop the buckets of accounts that no longer exist."""
        for name in accounts & self.buckets.keys():
            del self.buckets[name]
