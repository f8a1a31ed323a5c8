"""Exchange of load updates between nodes."""

from dataclasses import replace
from typing import Any

from mode import Service

from lagoonhinge_core.forwarding.load_tracker import (
    IDLE_INTERVAL_S,
    PEER_TIMEOUT_UPDATES,
    update_interval_factor,
)
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_node.forwarding.peer_messages import (
    PeerMessage,
    PeerSocket,
    encode_message,
)
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.task_guards import guarded_timer
from lagoonhinge_node.logs import PartLogger

SEND_INTERVAL_S = 0.05  # about the duration of one engine pass
# Factor of the idle interval in a cell of one zone; two updates before the timeout.
IDLE_ZONE_FACTOR = PEER_TIMEOUT_UPDATES / 2
# Share of an interval after which an update is due, since timers fire slightly early
# or late.
TIMER_TOLERANCE = 0.9
MAX_PREFILLS = 100  # in one message, so that it fits into a datagram
MAX_NOTICES = 100  # of upstreams, of each kind; likewise


class LoadExchange(Service):
    """Sends this node's load updates to its peers and receives theirs.

    Args:
        serving: State shared by all requests.
        socket: Sends messages to other nodes.
    """

    def __init__(self, serving: ServingState, socket: PeerSocket):
        super().__init__()
        self.serving = serving
        self.socket = socket
        self.nodes: list[NodeEntry] = []
        self.last_sent_s = 0.0
        self.last_sent_work: dict[str, Any] = {}
        self.last_sent_cut_off = frozenset[str]()
        self.log_part = PartLogger("upstreams")

    def set_peers(self, nodes: list[NodeEntry]) -> None:
        """Replace the list of other nodes."""
        self.nodes = nodes

    def _idle_interval_s(self) -> float:
        """Return the interval between updates without changes, for few peers.

        In a cell of several zones, missed updates show that one is partitioned. In
        other cells, updates need only be more frequent than the timeout of peers.
        """
        return IDLE_INTERVAL_S * (1 if len(self.serving.cell) > 1 else IDLE_ZONE_FACTOR)

    def _receivers(self) -> list[tuple[str, int]]:
        """Return the addresses of the nodes that need this node's updates.

        These are the nodes of its cell and of cells whose upstreams it uses.
        """
        upstreams = self.serving.directory.by_instance
        used = {
            upstreams[instance].zone
            for instance in self.serving.load.own_work
            if instance in upstreams
        }
        zones = self.serving.cell | used
        return [node.peer_address() for node in self.nodes if node.zone in zones]

    @Service.timer(SEND_INTERVAL_S)
    @guarded_timer
    async def send_update(self) -> None:
        """Send the changes; long prefills at once, other changes at the interval."""
        load, now_s = self.serving.load, self.serving.clock()
        is_urgent = any(prefill.is_long for prefill in load.unsent_prefills)
        has_changes = (
            load.unsent_prefills
            or load.unsent_finished
            or self.serving.unsent_reachable
            or self.serving.request_limits.has_unsent
            or self.serving.leaving_notices.has_unsent
            or self.serving.reach.cut_off != self.last_sent_cut_off
        )
        is_unchanged = not has_changes and load.own_work == self.last_sent_work
        interval_s = self._idle_interval_s() if is_unchanged else SEND_INTERVAL_S
        interval_s *= update_interval_factor(self.serving.cell_peers)
        if not is_urgent and now_s - self.last_sent_s < interval_s * TIMER_TOLERANCE:
            return
        receivers = self._receivers()
        update = load.take_update()
        self.last_sent_s, self.last_sent_work = now_s, dict(load.own_work)
        self.last_sent_cut_off = self.serving.reach.cut_off
        reachable, self.serving.unsent_reachable = self.serving.unsent_reachable, []
        update = replace(
            update,
            readings=update.readings[-MAX_PREFILLS:],
            read=update.read[-MAX_PREFILLS:],
            reachable=tuple(reachable),
            limits=self.serving.request_limits.own_statements(now_s)[-MAX_NOTICES:],
            leaving=tuple(self.serving.leaving_notices.own)[-MAX_NOTICES:],
            cut_off=self.serving.reach.cut_off,
            delays=self.serving.hedges.take_unsent(),
        )
        self.serving.request_limits.has_unsent = False
        self.serving.leaving_notices.has_unsent = False
        self.socket.send(encode_message(PeerMessage(load=update)), receivers)

    def receive(self, message: PeerMessage) -> None:
        """Apply the load update in a message, if it has one."""
        if message.load is None:
            return
        now_s = self.serving.clock()
        self.serving.load.merge(message.load, now_s)
        self.serving.request_limits.merge(message.load.limits, now_s)
        self.serving.hedges.merge(message.load.delays)
        for run in self.serving.leaving_notices.merge(message.load.leaving):
            self.log_part.info(
                "A peer was told that an upstream leaves.",
                upstream=run.instance,
                peer=message.load.node,
            )
        for instance in message.load.reachable:
            self.serving.health.record_connect(instance)
