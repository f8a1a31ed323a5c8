"""The node: builds its parts, starts them, and stops them gracefully."""

from asyncio import gather, sleep
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from socket import socket
from ssl import PROTOCOL_TLS_SERVER, SSLContext, create_default_context
from typing import Any

from aiohttp import web
from mode import Service
from mode.types import ServiceT

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.membership import Membership
from lagoonhinge_core.sections import (
    ConfigSection,
    MembersSection,
    NodeSection,
    Readiness,
)
from lagoonhinge_core.stopping import longest_request_s
from lagoonhinge_core.tokens import TokenEstimator
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.session import open_session
from lagoonhinge_node.admission import Admission
from lagoonhinge_node.admission_controller import AdmissionController, peer_addresses
from lagoonhinge_node.cache_controller import CacheController
from lagoonhinge_node.caller_api import CallerApi
from lagoonhinge_node.caller_requests import RequestReader
from lagoonhinge_node.claim_store import ClaimStore
from lagoonhinge_node.claimed_calls import ClaimedCalls
from lagoonhinge_node.clock import SystemClock
from lagoonhinge_node.config_controller import ConfigController
from lagoonhinge_node.engine_client import HttpEngineClient
from lagoonhinge_node.keyed_completions import KeyedCompletions
from lagoonhinge_node.listener import MAX_STOP_S, Listener
from lagoonhinge_node.logs import PartLogger
from lagoonhinge_node.membership_controller import MembershipController
from lagoonhinge_node.metrics import Metrics
from lagoonhinge_node.model_path import ModelPath
from lagoonhinge_node.operator_api import OperatorApi
from lagoonhinge_node.orders_controller import OrdersController
from lagoonhinge_node.peer_api import PeerApi
from lagoonhinge_node.peer_client import HttpPeerClient
from lagoonhinge_node.peer_wire import DIGEST_PATH
from lagoonhinge_node.plain_client import HttpPlainClient
from lagoonhinge_node.plain_path import PlainPath
from lagoonhinge_node.poison_controller import PoisonController
from lagoonhinge_node.reaper_controller import ReaperController
from lagoonhinge_node.releases import Releaser
from lagoonhinge_node.settings import NodeSettings
from lagoonhinge_node.upstream_controller import UpstreamController

MAX_BODY_BYTES = 64 << 20
CONTROL_STOP_S = 2.0
FLUSH_LIMIT_S = 10.0
FLUSH_CHECK_S = 0.05


@dataclass(frozen=True)
class NodeSockets:
    """Listening sockets, bound before the node starts."""

    callers: socket
    control: socket


class Node(Service):
    """Root service of the process."""

    # mode gives up on a stop after 60 s by default; long prompts run longer.
    shutdown_timeout = MAX_STOP_S

    def __init__(self, settings: NodeSettings, sockets: NodeSockets):
        super().__init__()
        self.settings = settings
        self.sockets = sockets
        self.longest_request_s = 0.0
        self.pending_work: list[Callable[[], int]] = []
        self.log_part = PartLogger("node")

    def on_init_dependencies(self) -> list[ServiceT]:
        """Build the parts; returns the services among them."""
        settings = self.settings
        clock = SystemClock()
        incarnation = int(clock.wall_s() * 1000)
        node = NodeId(settings.vm, incarnation)
        self.board = Blackboard()
        self.node_writer = self.board.writer(
            NodeSection(
                node, settings.site, settings.zone, Readiness.STARTING, clock.wall_s()
            ),
            "node",
        )
        self.random = Random(str(node))
        self.ledger = InFlightLedger()
        self.estimator = TokenEstimator({})
        self.metrics = Metrics()
        self._watch_board()
        self.session = open_session()
        self.engines = HttpEngineClient()
        platform = HttpPlatform(self.session, settings.platform_url)
        self.releaser = Releaser(self.engines)
        self.peers = HttpPeerClient(
            settings.peer_secret, _peer_tls_context(settings), self._count_begun
        )
        self.config = ConfigController(
            self.board,
            platform,
            platform,
            self.peers,
            clock,
            self.random,
            settings.site,
            settings.config_poll_s,
        )
        self.config.on_adopted.append(self._follow_config)
        self.membership = MembershipController(
            self.board,
            Membership(
                node,
                settings.zone,
                str(settings.control_listen),
                settings.gossip_interval_s,
                tuple(str(peer) for peer in settings.peers),
            ),
            self.peers,
            platform,
            clock,
            self.random,
            self.ledger,
        )
        self.upstreams = UpstreamController(self.board, self.engines, clock)
        self.membership.on_heard.append(self.config.follow_digest)
        self.membership.on_heard.append(self.upstreams.follow_digest)
        self.membership.on_listed.append(self.upstreams.refresh)
        self.upstreams.on_own_marks.append(self.membership.tell_soon)
        self.membership.own_leaving = self.upstreams.marks.own
        self.reaper = ReaperController(
            self.board, self.engines, clock, self.ledger, self.releaser
        )
        self.orders = OrdersController(
            self.board, self.engines, platform, platform, clock, self.random
        )
        self.admission = Admission(self.board, self.ledger, clock)
        self.demand = AdmissionController(
            self.board,
            self.admission,
            clock,
            peer_addresses(
                tuple(str(peer) for peer in settings.peers),
                str(settings.control_listen),
            ),
        )
        self.cache = CacheController(self.board, self.engines, self.admission.prefixes)
        self.poison = PoisonController(self.board, clock)
        models = ModelPath(
            self.board,
            self.engines,
            clock,
            self.admission,
            self.ledger,
            self.releaser,
            self.estimator,
            self.poison,
        )
        models.on_admitted.append(self.metrics.queue.observe)
        models.on_attempt.append(self.metrics.observe_attempt)
        self.plain_client = HttpPlainClient(self.session)
        self.claimed = ClaimedCalls(
            ClaimStore(platform, platform, clock), clock, self.metrics
        )
        plain = PlainPath(
            self.board,
            self.plain_client,
            clock,
            self.ledger,
            self.claimed,
            models.budget,
        )
        reader = RequestReader(self.board, clock, self.estimator)
        callers = CallerApi(
            self.board,
            reader,
            KeyedCompletions(models, self.claimed),
            plain,
            self.metrics,
        )
        operators = OperatorApi(
            self.board, self.metrics, settings.operator_token, self._live_state
        )
        peers = PeerApi(
            settings.peer_secret,
            self.membership.take_digest,
            lambda: self.config.known,
            lambda: self.config.blobs,
            self.membership.contacts,
            self._count_bytes,
        )
        control = web.Application(client_max_size=MAX_BODY_BYTES)
        control.add_routes(operators.routes())
        control.add_routes(peers.routes())
        tls = _tls_context(settings)
        self.caller_listener = Listener(
            callers.app(MAX_BODY_BYTES), self.sockets.callers, tls
        )
        self.control_listener = Listener(control, self.sockets.control, tls)
        self.pending_work.append(lambda: len(self.releaser.pending))
        return [
            self.releaser,
            self.config,
            self.membership,
            self.upstreams,
            self.orders,
            self.claimed,
            self.reaper,
            self.demand,
            self.cache,
            self.poison,
        ]

    async def on_started(self) -> None:
        """Open the listeners once every controller runs."""
        await self.control_listener.start()
        await self.caller_listener.start()
        self._post_readiness(Readiness.READY)
        self.log_part.info(f"Serving callers on {self.settings.listen}.")

    async def on_stop(self) -> None:
        """Let the balancer look away, then finish every running request."""
        self._post_readiness(Readiness.STOPPING)
        self.log_part.info("Stopping; running requests are finished first.")
        self.caller_listener.drain()
        await gather(self.membership.tell_all(), sleep(self.settings.balancer_lag_s))
        if await self.caller_listener.stop(self.longest_request_s):
            self.log_part.info("No request is running.")
        else:
            limit_s = self.longest_request_s
            self.log_part.error(f"Requests ran longer than their bound, {limit_s} s.")
        await self._flush()

    async def on_shutdown(self) -> None:
        """Close what the parts shared."""
        await self.control_listener.stop(CONTROL_STOP_S)
        await self.engines.close()
        await self.peers.close()
        await self.plain_client.close()
        await self.session.close()

    async def _flush(self) -> None:
        # Releases and other writes that outlive their request are still repeated.
        until_s = self.loop.time() + FLUSH_LIMIT_S
        while any(count() for count in self.pending_work):
            if self.loop.time() > until_s:
                self.log_part.warning("Some releases were left to expire.")
                return
            await sleep(FLUSH_CHECK_S)

    def _follow_config(self, section: ConfigSection) -> None:
        # Requests taken under an older configuration may run longer.
        longest_s = longest_request_s(section.config)
        self.longest_request_s = max(self.longest_request_s, longest_s)
        models = section.config.models
        self.estimator.reconfigure(
            {name: model.bytes_per_token for name, model in models.items()}
        )

    def _watch_board(self) -> None:
        read, metrics = self.board.read, self.metrics
        metrics.config_version.set_function(lambda: read(ConfigSection).version)
        metrics.config_refused.set_function(
            lambda: bool(read(ConfigSection).last_error)
        )
        metrics.members_alive.set_function(
            lambda: sum(m.alive for m in read(MembersSection).members.values())
        )

    def _count_bytes(self, path: str, count: int) -> None:
        self.metrics.control_bytes.labels(path).inc(count)

    def _count_begun(self, path: str, count: int) -> None:
        self._count_bytes(path, count)
        if path == DIGEST_PATH:
            self.membership.budget.spend(count)

    def _post_readiness(self, readiness: Readiness) -> None:
        section = self.board.read(NodeSection)
        self.node_writer.post(replace(section, readiness=readiness))

    def _live_state(self) -> dict[str, Any]:
        return {
            "InFlightWork": self.ledger.snapshot(),
            "AdmittedRequests": len(self.admission.admitted),
            "QueuedRequests": len(self.admission.waiting),
            "ClaimTasks": len(self.claimed.tasks),
            "PendingReleases": sorted(r.name for r in self.releaser.pending),
        }


def _tls_context(settings: NodeSettings) -> SSLContext | None:
    if settings.tls_cert is None or settings.tls_key is None:
        return None
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.tls_cert, settings.tls_key)
    return context


def _peer_tls_context(settings: NodeSettings) -> SSLContext | None:
    if settings.tls_cert is None:
        return None
    return create_default_context(cafile=settings.tls_ca)
