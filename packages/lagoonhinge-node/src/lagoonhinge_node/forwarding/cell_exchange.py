"""Exchange of load summaries between the cells of a large fleet.

The node that watches the store for its zone also sends the zone's summary to some nodes
of each other zone. A node that gets one passes it on to the node that watches the store
for its own zone, which adds it to its updates.
"""

from dataclasses import replace

from mode import Service

from lagoonhinge_core.forwarding.load_tracker import SUMMARY_INTERVAL_S
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_node.forwarding.board_sections import NodeListSection
from lagoonhinge_node.forwarding.peer_messages import (
    PeerMessage,
    PeerSocket,
    encode_message,
)
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.store_watch import StoreWatch
from lagoonhinge_node.forwarding.task_guards import guarded_timer

RECEIVERS_PER_ZONE = 2  # one of them may be down, or its datagram may be lost


class CellExchange(Service):
    """Sends and passes on load summaries.

    Args:
        serving: State shared by all requests.
        socket: Sends messages to other nodes.
        watch: Tells which node watches the store for the zone.
    """

    def __init__(self, serving: ServingState, socket: PeerSocket, watch: StoreWatch):
        super().__init__()
        self.serving = serving
        self.socket = socket
        self.watch = watch

    @Service.timer(SUMMARY_INTERVAL_S)
    @guarded_timer
    async def send_summary(self) -> None:
        """Send the summary of this node's zone, if this node watches the store."""
        serving = self.serving
        if not self.watch.role.is_watching:
            return
        zones: dict[str, list[NodeEntry]] = {}
        for node in serving.board.read(NodeListSection).nodes.values():
            if node.zone not in serving.cell:
                zones.setdefault(node.zone, []).append(node)
        if not zones:
            return
        listed = serving.directory.by_instance.values()
        instances = [entry.instance for entry in listed if entry.zone == serving.zone]
        now_s = serving.clock()
        summary = replace(
            serving.load.summarize(serving.zone, instances, now_s),
            limits=serving.request_limits.known_statements(instances, now_s),
        )
        data = encode_message(PeerMessage(cell=summary))
        for nodes in zones.values():
            count = min(RECEIVERS_PER_ZONE, len(nodes))
            receivers = serving.random.sample(nodes, count)
            self.socket.send(data, [node.peer_address() for node in receivers])

    def receive(self, message: PeerMessage) -> None:
        """Record a summary, and pass it on to the node that adds it to its updates."""
        summary = message.cell
        if summary is None or summary.zone in self.serving.cell:
            return
        self.serving.merge_summary(summary)
        watcher = self.watch.watcher
        if not self.watch.role.is_watching and watcher is not None:
            self.socket.send(encode_message(message), [watcher.peer_address()])
