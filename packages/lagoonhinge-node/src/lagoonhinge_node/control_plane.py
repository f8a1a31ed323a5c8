"""The controllers of a node and the callbacks between them."""

from mode.types import ServiceT

from lagoonhinge_core.membership import Membership
from lagoonhinge_core.sections import ConfigSection, MembersSection
from lagoonhinge_node.config_controller import ConfigController
from lagoonhinge_node.membership_controller import MembershipController
from lagoonhinge_node.orders_controller import OrdersController
from lagoonhinge_node.peer_api import PeerApi
from lagoonhinge_node.peer_client import HttpPeerClient
from lagoonhinge_node.peer_wire import DIGEST_PATH
from lagoonhinge_node.poison_controller import PoisonController
from lagoonhinge_node.reaper_controller import ReaperController
from lagoonhinge_node.shared_components import SharedComponents
from lagoonhinge_node.tls import peer_tls
from lagoonhinge_node.upstream_controller import UpstreamController


class ControlPlane:
    """Builds the controllers and connects their callbacks."""

    def __init__(self, shared: SharedComponents):
        self.shared = shared
        settings, board, clock = shared.settings, shared.board, shared.clock
        self.peers = HttpPeerClient(
            settings.peer_secret, peer_tls(settings), self._count_outgoing
        )
        self.config = ConfigController(
            board,
            shared.platform,
            shared.platform,
            self.peers,
            clock,
            shared.random,
            settings.site,
            settings.config_poll_s,
        )
        self.membership = MembershipController(
            board,
            Membership(
                shared.node,
                settings.zone,
                str(settings.control_listen),
                settings.gossip_interval_s,
                tuple(str(peer) for peer in settings.peers),
            ),
            self.peers,
            shared.platform,
            clock,
            shared.random,
            shared.ledger,
        )
        self.upstreams = UpstreamController(board, shared.engines, clock)
        self.reaper = ReaperController(
            board, shared.engines, clock, shared.ledger, shared.releases
        )
        self.orders = OrdersController(
            board,
            shared.engines,
            shared.platform,
            shared.platform,
            clock,
            shared.random,
        )
        self.poison = PoisonController(board, clock)
        self._connect_callbacks()
        self._set_gauges()

    def services(self) -> list[ServiceT]:
        """Return the controllers in the order of their start."""
        return [
            self.config,
            self.membership,
            self.upstreams,
            self.orders,
            self.reaper,
            self.poison,
        ]

    def peer_api(self) -> PeerApi:
        """Return the handlers of the peer API."""
        return PeerApi(
            self.shared.settings.peer_secret,
            self.membership.handle_digest,
            lambda: self.config.current,
            lambda: self.config.blobs,
            self.membership.contacts,
            self._count_bytes,
        )

    def _connect_callbacks(self) -> None:
        self.membership.on_digest.append(self.config.handle_digest)
        self.membership.on_digest.append(self.upstreams.handle_digest)
        self.membership.on_vm_list.append(self.upstreams.refresh)
        self.upstreams.on_own_marks.append(self.membership.schedule_push)
        self.membership.own_leaving = self.upstreams.marks.own_marks

    def _set_gauges(self) -> None:
        read, metrics = self.shared.board.read, self.shared.metrics
        metrics.config_version.set_function(lambda: read(ConfigSection).version)
        metrics.config_refused.set_function(
            lambda: bool(read(ConfigSection).last_error)
        )
        metrics.members_alive.set_function(
            lambda: sum(m.alive for m in read(MembersSection).members.values())
        )

    def _count_bytes(self, path: str, count: int) -> None:
        self.shared.metrics.control_bytes.labels(path).inc(count)

    def _count_outgoing(self, path: str, count: int) -> None:
        self._count_bytes(path, count)
        if path == DIGEST_PATH:
            self.membership.budget.spend(count)
