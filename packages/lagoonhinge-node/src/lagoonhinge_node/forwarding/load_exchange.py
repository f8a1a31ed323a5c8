"""Exchange of load updates between nodes, in small datagrams that may be lost."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from dataclasses import replace
from typing import Any

from mode import Service

from lagoonhinge_core.forwarding.load_tracker import LoadUpdate, update_interval_factor
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_http.wire import BadMessage, decode, encode
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger

SEND_INTERVAL_S = 0.05  # about the duration of one engine pass
IDLE_INTERVAL_S = 0.2  # a third of the silence that indicates a partition
# Share of an interval after which an update is due, since timers fire slightly early
# or late.
TIMER_TOLERANCE = 0.9
MAX_PREFILLS = 100  # in one message, so that it fits into a datagram


class LoadExchange(Service):
    """Sends this node's load updates to its peers and receives theirs.

    Args:
        serving: State shared by all requests.
        own_entry: This node's entry.
    """

    def __init__(self, serving: ServingState, own_entry: NodeEntry):
        super().__init__()
        self.serving = serving
        self.own_entry = own_entry
        self.peers: list[tuple[str, int]] = []
        self.transport: DatagramTransport | None = None
        self.last_sent_s = 0.0
        self.last_sent_work: dict[str, Any] = {}
        self.log_part = PartLogger("peers")

    def set_peers(self, nodes: list[NodeEntry]) -> None:
        """Replace the list of peers."""
        self.peers = [(node.host, node.port) for node in nodes]

    async def on_start(self) -> None:
        """Open the socket."""
        self.transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: _Receiver(self),
            local_addr=(self.own_entry.host, self.own_entry.port),
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    @Service.timer(SEND_INTERVAL_S)
    async def send_update(self) -> None:
        """Send the changes; long prefills at once, other changes at the interval."""
        load, now_s = self.serving.load, self.serving.clock()
        is_urgent = any(prefill.is_long for prefill in load.unsent_prefills)
        has_changes = (
            load.unsent_prefills
            or load.unsent_finished
            or self.serving.crashes.gossiped
        )
        is_unchanged = not has_changes and load.own_work == self.last_sent_work
        interval_s = IDLE_INTERVAL_S if is_unchanged else SEND_INTERVAL_S
        interval_s *= update_interval_factor(len(self.peers))
        if not is_urgent and now_s - self.last_sent_s < interval_s * TIMER_TOLERANCE:
            return
        update = load.take_update()
        self.last_sent_s, self.last_sent_work = now_s, dict(load.own_work)
        message = encode(
            replace(
                update,
                readings=update.readings[-MAX_PREFILLS:],
                read=update.read[-MAX_PREFILLS:],
                crashes=self.serving.crashes.crashes_to_gossip(now_s),
            )
        )
        if self.transport is not None:
            for peer in self.peers:
                self.transport.sendto(message, peer)

    def receive(self, data: bytes) -> None:
        """Apply the update in a datagram."""
        try:
            update = decode(data, LoadUpdate)
        except BadMessage as error:
            self.log_part.warning("Ignored an unreadable update.", reason=str(error))
            return
        now_s = self.serving.clock()
        self.serving.load.merge(update, now_s)
        self.serving.crashes.merge(update.crashes, now_s)


class _Receiver(DatagramProtocol):
    def __init__(self, exchange: LoadExchange):
        self.exchange = exchange

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.exchange.receive(data)

    def error_received(self, exc: Exception) -> None:
        # A peer that is down refuses datagrams; its missing updates reveal it anyway.
        return
