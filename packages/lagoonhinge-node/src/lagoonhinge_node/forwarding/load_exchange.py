"""Exchange of load between nodes, by small datagrams that may be lost."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from dataclasses import replace
from typing import Any

from mode import Service

from lagoonhinge_core.forwarding.load_tracker import LoadUpdate, update_interval_factor
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_http.wire import BadMessage, decode, encode
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger

TELL_INTERVAL_S = 0.05  # about the duration of an engine's pass
QUIET_INTERVAL_S = 0.2  # a third of the silence that tells of a partition
TIMER_SLACK = 0.9  # timers fire a little early or late
MAX_READINGS = 100  # of one message, which so stays within a datagram


class LoadExchange(Service):
    """Tells the other nodes of this node's sends, and hears of theirs.

    Args:
        state: What all requests share.
        own: This node's entry.
    """

    def __init__(self, state: ServingState, own: NodeEntry):
        super().__init__()
        self.serving = state
        self.own = own
        self.peers: list[tuple[str, int]] = []
        self.transport: DatagramTransport | None = None
        self.told_s = 0.0
        self.told_open: dict[str, Any] = {}
        self.log_part = PartLogger("peers")

    def follow_nodes(self, nodes: list[NodeEntry]) -> None:
        """Take the list of the other nodes."""
        self.peers = [(node.host, node.port) for node in nodes]

    async def on_start(self) -> None:
        """Open the socket."""
        self.transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: _Receiver(self), local_addr=(self.own.host, self.own.port)
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    @Service.timer(TELL_INTERVAL_S)
    async def tell(self) -> None:
        """Send what has changed; long prompts at once, the rest within the rate."""
        load, now_s = self.serving.load, self.serving.clock()
        is_urgent = any(reading.is_long for reading in load.unsent_prefills)
        has_news = (
            load.unsent_prefills
            or load.unsent_finished
            or self.serving.crashes.gossiped
        )
        is_quiet = not has_news and load.own_work == self.told_open
        pause_s = QUIET_INTERVAL_S if is_quiet else TELL_INTERVAL_S
        pause_s *= update_interval_factor(len(self.peers))
        if not is_urgent and now_s - self.told_s < pause_s * TIMER_SLACK:
            return
        news = load.take_update()
        self.told_s, self.told_open = now_s, dict(load.own_work)
        message = encode(
            replace(
                news,
                readings=news.readings[-MAX_READINGS:],
                read=news.read[-MAX_READINGS:],
                crashes=self.serving.crashes.crashes_to_gossip(now_s),
            )
        )
        if self.transport is not None:
            for peer in self.peers:
                self.transport.sendto(message, peer)

    def hear(self, data: bytes) -> None:
        """Take a datagram."""
        try:
            news = decode(data, LoadUpdate)
        except BadMessage as error:
            self.log_part.warning("Unreadable news.", reason=str(error))
            return
        now_s = self.serving.clock()
        self.serving.load.merge(news, now_s)
        self.serving.crashes.merge(news.crashes, now_s)


class _Receiver(DatagramProtocol):
    def __init__(self, exchange: LoadExchange):
        self.exchange = exchange

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.exchange.hear(data)

    def error_received(self, exc: Exception) -> None:
        # A peer that is down refuses datagrams; its silence says the same.
        return
