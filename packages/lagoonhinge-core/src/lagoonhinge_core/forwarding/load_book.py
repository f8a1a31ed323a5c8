"""Predicted work on each upstream, from the sends of this node and of its peers.

Load reports are late and cost a call, so every node predicts from what was sent: when
an upstream will have read the prompts given to it, and how many requests it serves.
"""

from collections.abc import Iterable
from dataclasses import dataclass

PEER_SILENCE_S = 3.0  # a peer that is silent for longer no longer counts


@dataclass(frozen=True)
class ReadingNews:
    """Prompt processing that a node gave to an upstream.

    Attributes:
        instance: The upstream.
        read_s: Time that it takes there, in seconds.
        is_long: Whether it delays short answers beside it noticeably.
    """

    instance: str
    read_s: float
    is_long: bool


@dataclass(frozen=True)
class OpenWork:
    """Requests that a node has open on an upstream.

    Attributes:
        requests: Their number.
        tokens: Memory they take, in tokens.
    """

    requests: int = 0
    tokens: int = 0


@dataclass(frozen=True)
class LoadNews:
    """What a node tells its peers.

    Attributes:
        node: Name of the node.
        readings: Prompt processing given out since the last news.
        open_work: Its open requests by upstream.
    """

    node: str
    readings: tuple[ReadingNews, ...]
    open_work: dict[str, OpenWork]


@dataclass(frozen=True)
class PeerWork:
    """The open work of a peer, with the time of its news."""

    heard_s: float
    open_work: dict[str, OpenWork]


@dataclass(frozen=True)
class Load:
    """Predicted load of one upstream.

    Attributes:
        reading_s: Time until the prompts given to it are read, in seconds.
        long_s: Time until the last long one of these is read, in seconds.
        since_long_s: Time since it was last given a long one, in seconds.
        requests: Open requests of all nodes.
        tokens: Memory of these, in tokens.
    """

    reading_s: float
    long_s: float
    since_long_s: float
    requests: int
    tokens: int


NO_WORK = OpenWork()


class LoadBook:
    """Keeps the predictions of one node."""

    def __init__(self) -> None:
        self.read_until_s: dict[str, float] = {}
        self.long_until_s: dict[str, float] = {}
        self.own: dict[str, OpenWork] = {}
        self.peers: dict[str, PeerWork] = {}
        self.untold: list[ReadingNews] = []

    def start(self, instance: str, tokens: int) -> None:
        """Count a request from its send to an upstream."""
        self._add(instance, 1, tokens)

    def finish(self, instance: str, tokens: int) -> None:
        """Stop counting a request."""
        self._add(instance, -1, -tokens)

    def give_reading(self, news: ReadingNews, now_s: float) -> None:
        """Count prompt processing that this node gives to an upstream."""
        self._take_reading(news, now_s)
        self.untold.append(news)

    def all_read(self, instance: str, now_s: float) -> None:
        """Correct a prediction: the upstream has begun to answer its last prompt."""
        if self.own.get(instance, NO_WORK).requests <= 1:
            until_s = self.read_until_s.get(instance, 0.0)
            self.read_until_s[instance] = min(until_s, now_s)

    def hear(self, news: LoadNews, now_s: float) -> None:
        """Take a peer's news."""
        for reading in news.readings:
            self._take_reading(reading, now_s)
        self.peers[news.node] = PeerWork(now_s, news.open_work)

    def news(self, node: str) -> LoadNews:
        """Return what peers have not been told yet."""
        readings, self.untold = tuple(self.untold), []
        return LoadNews(node, readings, dict(self.own))

    def load(self, instance: str, now_s: float) -> Load:
        """Return the predicted load of an upstream."""
        work = self.own.get(instance, NO_WORK)
        requests, tokens = work.requests, work.tokens
        for peer in self.peers.values():
            if now_s - peer.heard_s <= PEER_SILENCE_S:
                theirs = peer.open_work.get(instance, NO_WORK)
                requests += theirs.requests
                tokens += theirs.tokens
        long_until_s = self.long_until_s.get(instance, float("-inf"))
        return Load(
            reading_s=max(0.0, self.read_until_s.get(instance, 0.0) - now_s),
            long_s=max(0.0, long_until_s - now_s),
            since_long_s=max(0.0, now_s - long_until_s),
            requests=requests,
            tokens=tokens,
        )

    def nodes_heard(self, now_s: float) -> int:
        """Return how many nodes share the upstreams, this one included."""
        heard = (p.heard_s for p in self.peers.values())
        return 1 + sum(now_s - at_s <= PEER_SILENCE_S for at_s in heard)

    def forget_all_but(self, instances: Iterable[str]) -> None:
        """Drop the predictions of upstreams that are no longer listed."""
        listed = frozenset(instances)
        for times in (self.read_until_s, self.long_until_s):
            for instance in [name for name in times if name not in listed]:
                del times[instance]

    def _take_reading(self, news: ReadingNews, now_s: float) -> None:
        begin_s = max(now_s, self.read_until_s.get(news.instance, 0.0))
        self.read_until_s[news.instance] = begin_s + news.read_s
        if news.is_long:
            self.long_until_s[news.instance] = begin_s + news.read_s

    def _add(self, instance: str, requests: int, tokens: int) -> None:
        old = self.own.get(instance, NO_WORK)
        new = OpenWork(old.requests + requests, old.tokens + tokens)
        if new.requests:
            self.own[instance] = new
        else:
            self.own.pop(instance, None)
