"""Predicted load of each upstream, from the requests sent by this node and its peers.

Load reports are late and cost a call, so each node predicts the load from the requests
sent: when an upstream will have finished its prefills, and how many requests it serves.
The first event of a stream shows that its prefill is complete on all its upstreams.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from lagoonhinge_core.forwarding.hedging import GroupDelays
from lagoonhinge_core.forwarding.request_limits import StatedLimit
from lagoonhinge_core.forwarding.upstreams import UpstreamRun

IDLE_INTERVAL_S = 0.2  # between updates of a node whose load does not change
SUMMARY_INTERVAL_S = 0.3  # between summaries of a cell; a few engine passes
SUMMARY_TIMEOUT_S = 2.0  # six summaries in a row were lost or late
# The load of a peer that is silent for longer is ignored; also after some missed
# updates, if these are rarer.
PEER_TIMEOUT_S = 3.0
PEER_TIMEOUT_UPDATES = 4.0
# Least remaining share of the predicted work of an engine that is overdue.
OVERDUE_SHARE = 0.15
# A prefill expires after this multiple of its predicted duration plus EXPIRY_S, even
# without notice of its end.
EXPIRY_FACTOR = 3.0
EXPIRY_S = 1.0
# With more peers than this, updates are sent less often, so that the message rate of a
# node does not grow.
FULL_RATE_PEERS = 8


def peer_timeout_s(peers: int) -> float:
    """Return the silence after which the load of a peer is ignored, in seconds."""
    interval_s = IDLE_INTERVAL_S * update_interval_factor(peers)
    return max(PEER_TIMEOUT_S, PEER_TIMEOUT_UPDATES * interval_s)


def update_interval_factor(peers: int) -> float:
    """Return the factor by which the interval between updates is extended."""
    return max(1.0, peers / FULL_RATE_PEERS)


@dataclass(frozen=True)
class Prefill:
    """A prefill, or a part of one, that a node assigned to an upstream.

    Attributes:
        number: Number of the prompt at the node that sent it.
        instance: The upstream.
        read_s: Predicted duration there, in seconds.
        is_long: Whether it delays concurrent short requests noticeably.
        pass_s: Duration of one engine pass, which can't be interrupted, in seconds.
        given_up: Whether it was cancelled, so that only its last pass remains.
    """

    number: int
    instance: str
    read_s: float
    is_long: bool
    pass_s: float = 0.0
    given_up: bool = False


@dataclass(frozen=True)
class OpenWork:
    """Open requests of a node on an upstream.

    Attributes:
        requests: Number of requests.
        tokens: KV cache that they use, in tokens.
    """

    requests: int = 0
    tokens: int = 0


@dataclass(frozen=True)
class LoadUpdate:
    """Load update that a node sends to its peers.

    Attributes:
        node: Name of the node.
        readings: Prefills assigned since the last update.
        read: Numbers of the prompts whose prefill finished or was cancelled since.
        open_work: Its open requests by upstream.
        reachable: Upstreams that its probes reached again.
        limits: Limits that upstreams named to it, or withdrew.
        leaving: Upstreams that told it that they leave.
        cut_off: Services of which it reaches no upstream.
        delays: Delays of answers, if requests are hedged.
    """

    node: str
    readings: tuple[Prefill, ...]
    read: tuple[int, ...]
    open_work: dict[str, OpenWork]
    reachable: tuple[str, ...] = ()
    limits: tuple[StatedLimit, ...] = ()
    leaving: tuple[UpstreamRun, ...] = ()
    cut_off: frozenset[str] = frozenset()
    delays: tuple[GroupDelays, ...] = ()


@dataclass(frozen=True)
class PeerLoad:
    """Last update of a peer.

    Attributes:
        received_s: When it was received, in seconds.
        open_work: Open requests of the peer by upstream.
        cut_off: Services of which the peer reaches no upstream.
    """

    received_s: float
    open_work: dict[str, OpenWork]
    cut_off: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CellSummary:
    """Load of the upstreams of another cell.

    Attributes:
        zone: Zone of these upstreams.
        age_s: Age of the summary when it was sent, in seconds.
        upstreams: Load by upstream, without those that have none: the time until its
            assigned prefills are finished, in milliseconds, its open requests, and the
            KV cache that they use, in thousands of tokens.
        limits: Limits that these upstreams named or withdrew.
    """

    zone: str
    age_s: float
    upstreams: dict[str, tuple[int, int, int]]
    limits: tuple[StatedLimit, ...] = ()


@dataclass(frozen=True)
class Load:
    """Predicted load of one upstream.

    Attributes:
        prefill_s: Time until its assigned prefills are finished, in seconds.
        requests: Open requests of all nodes.
        tokens: KV cache that they use, in tokens.
    """

    prefill_s: float = 0.0
    requests: int = 0
    tokens: int = 0


NO_WORK = OpenWork()
PrefillKey = tuple[str, int]


@dataclass
class PrefillQueue:
    """Unfinished prefills of one upstream, in order of assignment.

    Attributes:
        pending: Each prefill and when it was assigned, by node and prompt number.
    """

    pending: dict[PrefillKey, tuple[Prefill, float]] = field(default_factory=dict)

    def prefill_s(self, now_s: float) -> float:
        """Return the time until all are finished, in seconds; drops expired ones."""
        end_s, total_s = float("-inf"), 0.0
        expired: list[PrefillKey] = []
        for key, (prefill, assigned_s) in self.pending.items():
            end_s = max(end_s, assigned_s) + prefill.read_s
            if prefill.given_up and now_s >= end_s:
                expired.append(key)
                continue
            if now_s - end_s > EXPIRY_S + (EXPIRY_FACTOR - 1) * prefill.read_s:
                expired.append(key)
                continue
            total_s += prefill.read_s
        for key in expired:
            del self.pending[key]
        if not self.pending:
            return 0.0
        return max(end_s - now_s, OVERDUE_SHARE * total_s)


class LoadTracker:
    """Tracks the predicted load of all upstreams at one node.

    Args:
        node: Name of the node.
        first_prompt: Number of its first prompt. Peers and engines may still know
            prompts of an earlier process of the node.

    Attributes:
        peers: Last update of each peer that is not silent.
        peer_work: Sum of the peers' open requests by upstream.
        peer_timeout_s: Silence after which the load of a peer is ignored, in seconds.
    """

    def __init__(self, node: str = "", first_prompt: int = 1):
        self.node = node
        self.peer_work: dict[str, OpenWork] = {}
        self.peer_timeout_s = PEER_TIMEOUT_S
        self.next_expiry_s = float("-inf")
        self.queues: dict[str, PrefillQueue] = {}
        self.own_work: dict[str, OpenWork] = {}
        self.peers: dict[str, PeerLoad] = {}
        self.unsent_prefills: list[Prefill] = []
        self.unsent_finished: list[int] = []
        self.next_prompt = first_prompt
        # Summary of each other zone, and the time at which it held.
        self.summaries: dict[str, tuple[CellSummary, float]] = {}

    def start_request(self, instance: str, tokens: int) -> None:
        """Count a request that is dispatched to an upstream."""
        self._add_open_work(instance, 1, tokens)

    def finish_request(self, instance: str, tokens: int) -> None:
        """Stop counting a request."""
        self._add_open_work(instance, -1, -tokens)

    def add_reserved(self, instance: str, tokens: int) -> None:
        """Count KV cache reserved on an upstream; negative when it is released."""
        self._add_open_work(instance, 0, tokens)

    def next_prompt_number(self) -> int:
        """Return the number of the next prompt."""
        number = self.next_prompt
        self.next_prompt += 1
        return number

    def add_prefill(self, prefill: Prefill, now_s: float) -> None:
        """Count a prefill that this node assigns to an upstream."""
        self._add_prefill(self.node, prefill, now_s)
        self.unsent_prefills.append(prefill)

    def finish_prefill(self, number: int, instances: Iterable[str]) -> None:
        """Remove a finished or cancelled prefill of this node from its upstreams."""
        self._finish_prefill((self.node, number), instances)
        self.unsent_finished.append(number)

    def cancel_prefill(
        self, number: int, instances: Iterable[str], now_s: float
    ) -> None:
        """Cancel a prefill that is not finished.

        Its upstreams still finish the current engine pass.
        """
        key = (self.node, number)
        for instance in instances:
            queue = self.queues.get(instance)
            if queue is None or key not in queue.pending:
                continue
            prefill, _ = queue.pending[key]
            if not prefill.given_up:
                rest_s = min(prefill.read_s, prefill.pass_s)
                self.add_prefill(replace(prefill, read_s=rest_s, given_up=True), now_s)

    def merge(self, update: LoadUpdate, now_s: float) -> None:
        """Apply a peer's update."""
        for prefill in update.readings:
            self._add_prefill(update.node, prefill, now_s)
        for number in update.read:
            self._finish_prefill((update.node, number), tuple(self.queues))
        self._count_peer(update.node, -1)
        self.peers[update.node] = PeerLoad(now_s, update.open_work, update.cut_off)
        self._count_peer(update.node, 1)

    def merge_summary(self, summary: CellSummary, now_s: float) -> None:
        """Replace the summary of another zone by a newer one."""
        taken_s = now_s - summary.age_s
        old = self.summaries.get(summary.zone)
        if old is None or taken_s > old[1]:
            self.summaries[summary.zone] = (summary, taken_s)

    def current_summary(self, zone: str, now_s: float) -> CellSummary | None:
        """Return the summary of another zone with its age, unless it is too old."""
        if zone not in self.summaries:
            return None
        summary, taken_s = self.summaries[zone]
        age_s = now_s - taken_s
        return replace(summary, age_s=age_s) if age_s <= SUMMARY_TIMEOUT_S else None

    def summarize(
        self, zone: str, instances: Iterable[str], now_s: float
    ) -> CellSummary:
        """Return the summary of upstreams of this node's own cell."""
        loads = {instance: self.load(instance, now_s) for instance in instances}
        return CellSummary(
            zone,
            0.0,
            {
                instance: (
                    round(load.prefill_s * 1000),
                    load.requests,
                    load.tokens // 1000,
                )
                for instance, load in loads.items()
                if load.requests or load.prefill_s or load.tokens
            },
        )

    def remote_load(self, instance: str, summary: CellSummary, now_s: float) -> Load:
        """Return the predicted load of an upstream of another cell."""
        prefill_ms, requests, kilotokens = summary.upstreams.get(instance, (0, 0, 0))
        known = self.load(instance, now_s)
        return Load(
            max(known.prefill_s, prefill_ms / 1000 - summary.age_s),
            max(known.requests, requests),
            max(known.tokens, kilotokens * 1000),
        )

    def take_update(self) -> LoadUpdate:
        """Return the changes since the last call, as an update for the peers."""
        prefills, self.unsent_prefills = tuple(self.unsent_prefills), []
        finished, self.unsent_finished = tuple(self.unsent_finished), []
        return LoadUpdate(self.node, prefills, finished, dict(self.own_work))

    def load(self, instance: str, now_s: float) -> Load:
        """Return the predicted load of an upstream."""
        self._expire_peers(now_s)
        own = self.own_work.get(instance, NO_WORK)
        others = self.peer_work.get(instance, NO_WORK)
        requests = own.requests + others.requests
        tokens = own.tokens + others.tokens
        return Load(self.prefill_s(instance, now_s), requests, tokens)

    def prefill_s(self, instance: str, now_s: float) -> float:
        """Return the time until an upstream's prefills are finished, in seconds."""
        queue = self.queues.get(instance)
        return 0.0 if queue is None else queue.prefill_s(now_s)

    def count_nodes(self, now_s: float) -> int:
        """Return the number of live nodes, including this one."""
        return 1 + len(self.live_peers(now_s))

    def live_peers(self, now_s: float) -> Collection[str]:
        """Return the peers that are not silent."""
        self._expire_peers(now_s)
        return self.peers.keys()

    def retain_only(self, instances: Collection[str]) -> None:
        """Drop the predictions of upstreams that are no longer listed."""
        for instance in [name for name in self.queues if name not in instances]:
            del self.queues[instance]

    def _expire_peers(self, now_s: float) -> None:
        """Drop the load of silent peers."""
        if now_s < self.next_expiry_s:
            return
        for name, peer in tuple(self.peers.items()):
            if now_s - peer.received_s > self.peer_timeout_s:
                self._count_peer(name, -1)
                del self.peers[name]
        first_s = min((p.received_s for p in self.peers.values()), default=now_s)
        self.next_expiry_s = first_s + self.peer_timeout_s

    def _count_peer(self, name: str, sign: int) -> None:
        """Add the last update of a peer to the sums, or subtract it."""
        peer = self.peers.get(name)
        if peer is None:
            return
        for instance, work in peer.open_work.items():
            old = self.peer_work.get(instance, NO_WORK)
            requests = old.requests + sign * work.requests
            tokens = old.tokens + sign * work.tokens
            if requests or tokens:
                self.peer_work[instance] = OpenWork(requests, tokens)
            else:
                self.peer_work.pop(instance, None)

    def _add_prefill(self, node: str, prefill: Prefill, now_s: float) -> None:
        queue = self.queues.setdefault(prefill.instance, PrefillQueue())
        queue.pending[(node, prefill.number)] = (prefill, now_s)

    def _finish_prefill(self, key: PrefillKey, instances: Iterable[str]) -> None:
        for instance in instances:
            queue = self.queues.get(instance)
            if queue is not None:
                queue.pending.pop(key, None)

    def _add_open_work(self, instance: str, requests: int, tokens: int) -> None:
        old = self.own_work.get(instance, NO_WORK)
        new = OpenWork(old.requests + requests, old.tokens + tokens)
        if new.requests or new.tokens:
            self.own_work[instance] = new
        else:
            self.own_work.pop(instance, None)
