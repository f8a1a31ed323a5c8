"""Predicted work on each upstream, from the sends of this node and of its peers.

Load reports are late and cost a call, so every node predicts from what was sent: when
an upstream will have read the prompts given to it, and how many requests it serves. A
stream's first event tells that its prompt has been read, wherever its parts were.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from lagoonhinge_core.forwarding.crashes import Crash

PEER_SILENCE_S = 3.0  # a peer that is silent for longer no longer counts
# An engine that is behind the prediction still has at least this share of it to do.
OVERDUE_SHARE = 0.15
# Times its predicted duration after which a reading counts as over, whatever was heard.
EXPIRY_FACTOR = 3.0
EXPIRY_S = 1.0
# Peers up to which news are told at full rate; with more, they are told more seldom, so
# that a node sends no more messages.
FULL_RATE_PEERS = 8


def news_slowdown(peers: int) -> float:
    """Return how many times more seldom than at full rate news are told."""
    return max(1.0, peers / FULL_RATE_PEERS)


@dataclass(frozen=True)
class Reading:
    """Prompt processing that a node gave to an upstream.

    Attributes:
        number: Number of the prompt at the node that sent it.
        instance: The upstream.
        read_s: Time that it takes there, in seconds.
        is_long: Whether it delays short answers beside it noticeably.
        pass_s: Time of it that the upstream can't be stopped in, in seconds.
        given_up: Whether it was given up, and only a last pass is left of it.
    """

    number: int
    instance: str
    read_s: float
    is_long: bool
    pass_s: float = 0.0
    given_up: bool = False


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
        read: Numbers of the prompts that have been read or given up since.
        open_work: Its open requests by upstream.
        crashes: Requests that were in crashes of upstreams that it found lately.
    """

    node: str
    readings: tuple[Reading, ...]
    read: tuple[int, ...]
    open_work: dict[str, OpenWork]
    crashes: tuple[Crash, ...] = ()


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
        requests: Open requests of all nodes.
        tokens: Memory of these, in tokens.
    """

    reading_s: float = 0.0
    requests: int = 0
    tokens: int = 0


NO_WORK = OpenWork()
ReadingKey = tuple[str, int]


@dataclass
class UpstreamReadings:
    """Readings of one upstream that are not known to be over, in order of arrival.

    Attributes:
        pending: Predicted time of each and when it was given, by node and number.
    """

    pending: dict[ReadingKey, tuple[Reading, float]] = field(default_factory=dict)

    def reading_s(self, now_s: float) -> float:
        """Return the time until all are over, in seconds; drops expired ones."""
        end_s, whole_s = float("-inf"), 0.0
        expired: list[ReadingKey] = []
        for key, (reading, given_s) in self.pending.items():
            end_s = max(end_s, given_s) + reading.read_s
            if reading.given_up and now_s >= end_s:
                expired.append(key)
                continue
            if now_s - end_s > EXPIRY_S + (EXPIRY_FACTOR - 1) * reading.read_s:
                expired.append(key)
                continue
            whole_s += reading.read_s
        for key in expired:
            del self.pending[key]
        if not self.pending:
            return 0.0
        return max(end_s - now_s, OVERDUE_SHARE * whole_s)


class LoadBook:
    """Keeps the predictions of one node.

    Args:
        node: Name of the node.
    """

    def __init__(self, node: str = ""):
        self.node = node
        self.readings: dict[str, UpstreamReadings] = {}
        self.own: dict[str, OpenWork] = {}
        self.peers: dict[str, PeerWork] = {}
        self.untold: list[Reading] = []
        self.untold_read: list[int] = []
        self.prompts = 0

    def start(self, instance: str, tokens: int) -> None:
        """Count a request from its send to an upstream."""
        self._add(instance, 1, tokens)

    def finish(self, instance: str, tokens: int) -> None:
        """Stop counting a request."""
        self._add(instance, -1, -tokens)

    def hold(self, instance: str, tokens: int) -> None:
        """Count memory set aside on an upstream; negative when it is freed."""
        self._add(instance, 0, tokens)

    def next_number(self) -> int:
        """Return the number of the next prompt."""
        self.prompts += 1
        return self.prompts

    def give_reading(self, reading: Reading, now_s: float) -> None:
        """Count prompt processing that this node gives to an upstream."""
        self._take_reading(self.node, reading, now_s)
        self.untold.append(reading)

    def end_reading(self, number: int, instances: Iterable[str]) -> None:
        """Count a prompt of this node as read, or given up, on its upstreams."""
        self._end_reading((self.node, number), instances)
        self.untold_read.append(number)

    def stop_reading(self, number: int, instances: Iterable[str], now_s: float) -> None:
        """Count a prompt that was not read to its end as given up.

        Its upstreams go on with it for the rest of a pass.
        """
        key = (self.node, number)
        for instance in instances:
            readings = self.readings.get(instance)
            if readings is None or key not in readings.pending:
                continue
            reading, _ = readings.pending[key]
            if not reading.given_up:
                rest_s = min(reading.read_s, reading.pass_s)
                self.give_reading(replace(reading, read_s=rest_s, given_up=True), now_s)

    def hear(self, news: LoadNews, now_s: float) -> None:
        """Take a peer's news."""
        for reading in news.readings:
            self._take_reading(news.node, reading, now_s)
        for number in news.read:
            self._end_reading((news.node, number), tuple(self.readings))
        self.peers[news.node] = PeerWork(now_s, news.open_work)

    def news(self) -> LoadNews:
        """Return what peers have not been told yet."""
        readings, self.untold = tuple(self.untold), []
        read, self.untold_read = tuple(self.untold_read), []
        return LoadNews(self.node, readings, read, dict(self.own))

    def load(self, instance: str, now_s: float) -> Load:
        """Return the predicted load of an upstream."""
        work = self.own.get(instance, NO_WORK)
        requests, tokens = work.requests, work.tokens
        for peer in self.peers.values():
            if now_s - peer.heard_s <= PEER_SILENCE_S:
                theirs = peer.open_work.get(instance, NO_WORK)
                requests += theirs.requests
                tokens += theirs.tokens
        readings = self.readings.get(instance)
        if readings is None:
            return Load(requests=requests, tokens=tokens)
        reading_s = readings.reading_s(now_s)
        return Load(reading_s, requests, tokens)

    def nodes_heard(self, now_s: float) -> int:
        """Return how many nodes share the upstreams, this one included."""
        heard = (p.heard_s for p in self.peers.values())
        return 1 + sum(now_s - at_s <= PEER_SILENCE_S for at_s in heard)

    def forget_all_but(self, instances: Collection[str]) -> None:
        """Drop the predictions of upstreams that are no longer listed."""
        for instance in [name for name in self.readings if name not in instances]:
            del self.readings[instance]

    def _take_reading(self, node: str, reading: Reading, now_s: float) -> None:
        readings = self.readings.setdefault(reading.instance, UpstreamReadings())
        readings.pending[(node, reading.number)] = (reading, now_s)

    def _end_reading(self, key: ReadingKey, instances: Iterable[str]) -> None:
        for instance in instances:
            readings = self.readings.get(instance)
            if readings is not None:
                readings.pending.pop(key, None)

    def _add(self, instance: str, requests: int, tokens: int) -> None:
        old = self.own.get(instance, NO_WORK)
        new = OpenWork(old.requests + requests, old.tokens + tokens)
        if new.requests or new.tokens:
            self.own[instance] = new
        else:
            self.own.pop(instance, None)
