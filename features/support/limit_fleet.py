"""Nodes of one cell that share the limit of an upstream, in steps of virtual time."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from lagoonhinge_core.forwarding.messages import RequestLimit
from lagoonhinge_core.forwarding.request_limits import RequestLimits, StatedLimit

STEP_S = 0.02
UPDATE_INTERVAL_S = 0.2
MESSAGE_DELAY_S = 0.02
PEER_TIMEOUT_S = 3.0
RESTART_S = 1.0
TOLD_S = 0.5  # after which a node's requests count against the limit
WINDOW_S = 4.0
UPSTREAM = "u1"


@dataclass
class LimitNode:
    """One node.

    Attributes:
        limits: The product's own decisions.
        heard_s: When each peer was last heard from, in seconds.
        told_s: When an answer first named the limit, in seconds; `None` before.
        down_until_s: Until when the node is down, in seconds.
    """

    limits: RequestLimits
    heard_s: dict[str, float] = field(default_factory=dict)
    told_s: float | None = None
    down_until_s: float = 0.0


@dataclass
class LimitFleet:
    """The cell, with an upstream that answers at once.

    Attributes:
        per_s: The limit of the upstream.
        demand_per_s: Requests a second of each node.
        loss: Share of lost messages.
        random: Random numbers.
        counted_s: Times of the requests from nodes that had been told the limit.
        sent: Number of all requests.
    """

    nodes: int
    per_s: float
    demand_per_s: float
    loss: float
    random: Random
    counted_s: list[float] = field(default_factory=list)
    sent: int = 0
    now_s: float = 0.0

    def __post_init__(self) -> None:
        self.by_name = {name: self._new_node(name) for name in self._names()}
        # When each message arrives, sender, receiver and content, in order.
        self.messages: deque[tuple[float, str, str, tuple[StatedLimit, ...]]] = deque()

    def _names(self) -> list[str]:
        return [f"n{number:02}" for number in range(self.nodes)]

    def _new_node(self, name: str) -> LimitNode:
        return LimitNode(RequestLimits(name))

    def restart(self, name: str) -> None:
        """Kill a node; it starts again without any knowledge."""
        node = self.by_name[name] = self._new_node(name)
        node.down_until_s = self.now_s + RESTART_S

    def last_sender(self) -> str:
        """Return the node that may send soonest."""
        return max(
            self.by_name,
            key=lambda name: (
                self.by_name[name].limits.permits.counts[UPSTREAM].count
                if UPSTREAM in self.by_name[name].limits.permits.counts
                else -1.0
            ),
        )

    def run(self, duration_s: float) -> None:
        """Pass time."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._deliver()
            for name, node in self.by_name.items():
                if self.now_s >= node.down_until_s:
                    self._run_node(name, node)

    def _run_node(self, name: str, node: LimitNode) -> None:
        if self.random.random() < STEP_S / UPDATE_INTERVAL_S:
            statements = node.limits.own_statements(self.now_s)
            due_s = self.now_s + MESSAGE_DELAY_S
            self.messages += [
                (due_s, name, other, statements)
                for other in self.by_name
                if other != name and self.random.random() >= self.loss
            ]
        if self.random.random() >= self.demand_per_s * STEP_S:
            return
        live = {n for n, at in node.heard_s.items() if self.now_s - at < PEER_TIMEOUT_S}
        live.add(name)
        if not node.limits.may_send(UPSTREAM, live, self.now_s):
            return
        node.limits.record_send(UPSTREAM, live, self.now_s)
        self.sent += 1
        if node.told_s is not None and self.now_s - node.told_s >= TOLD_S:
            self.counted_s.append(self.now_s)
        node.limits.record_answer(UPSTREAM, RequestLimit(self.per_s), self.now_s)
        if node.told_s is None:
            node.told_s = self.now_s

    def _deliver(self) -> None:
        while self.messages and self.messages[0][0] <= self.now_s:
            _, sender, receiver, statements = self.messages.popleft()
            node = self.by_name[receiver]
            if self.now_s >= node.down_until_s:
                node.heard_s[sender] = self.now_s
                node.limits.merge(statements, self.now_s)

    def most_in_window(self) -> int:
        """Return the most requests that counted in any window."""
        return max(
            (
                sum(end_s - WINDOW_S < at_s <= end_s for at_s in self.counted_s)
                for end_s in self.counted_s
            ),
            default=0,
        )
