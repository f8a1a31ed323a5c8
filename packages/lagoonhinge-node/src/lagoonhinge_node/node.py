"""The node: builds its parts, starts them, and stops them gracefully."""

from asyncio import sleep
from dataclasses import replace
from random import Random
from ssl import PROTOCOL_TLS_SERVER, SSLContext
from typing import Any

from aiohttp import web
from mode import Service
from mode.types import ServiceT

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.sections import ConfigSection, NodeSection, Readiness
from lagoonhinge_core.tokens import TokenEstimator
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.session import open_session
from lagoonhinge_node.admission import Admission
from lagoonhinge_node.caller_api import CallerApi
from lagoonhinge_node.caller_requests import RequestReader
from lagoonhinge_node.claim_store import ClaimStore
from lagoonhinge_node.claimed_calls import ClaimedCalls
from lagoonhinge_node.clock import SystemClock
from lagoonhinge_node.config_controller import ConfigController
from lagoonhinge_node.engine_client import HttpEngineClient
from lagoonhinge_node.listener import Listener
from lagoonhinge_node.logs import PartLogger
from lagoonhinge_node.metrics import Metrics
from lagoonhinge_node.model_path import ModelPath
from lagoonhinge_node.operator_api import OperatorApi
from lagoonhinge_node.orders_controller import OrdersController
from lagoonhinge_node.plain_client import HttpPlainClient
from lagoonhinge_node.plain_path import PlainPath
from lagoonhinge_node.releases import Releaser
from lagoonhinge_node.settings import NodeSettings
from lagoonhinge_node.upstream_controller import UpstreamController

LONGEST_REQUEST_S = 3600.0
MAX_BODY_BYTES = 64 << 20


class Node(Service):
    """Root service of the process."""

    # mode gives up on a stop after 60 s by default; long prompts run longer.
    shutdown_timeout = LONGEST_REQUEST_S

    def __init__(self, settings: NodeSettings):
        super().__init__()
        self.settings = settings
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
        self.session = open_session()
        self.engines = HttpEngineClient()
        platform = HttpPlatform(self.session, settings.platform_url)
        self.releaser = Releaser(self.engines)
        self.config = ConfigController(
            self.board,
            platform,
            platform,
            clock,
            self.random,
            settings.site,
            settings.config_poll_s,
        )
        self.config.on_adopted.append(self._follow_config)
        self.upstreams = UpstreamController(self.board, self.engines, clock)
        self.orders = OrdersController(
            self.board, self.engines, platform, platform, clock, self.random
        )
        self.admission = Admission(self.board)
        models = ModelPath(
            self.board,
            self.engines,
            clock,
            self.admission,
            self.ledger,
            self.releaser,
            self.estimator,
        )
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
        callers = CallerApi(self.board, reader, models, plain, self.metrics)
        operators = OperatorApi(
            self.board, self.metrics, settings.operator_token, self._live_state
        )
        control = web.Application()
        control.add_routes(operators.routes())
        tls = _tls_context(settings)
        self.caller_listener = Listener(
            callers.app(MAX_BODY_BYTES), settings.listen, tls
        )
        self.control_listener = Listener(control, settings.control_listen, tls)
        return [
            self.releaser,
            self.config,
            self.upstreams,
            self.orders,
            self.claimed,
        ]

    async def on_started(self) -> None:
        """Open the listeners once every controller runs."""
        await self.control_listener.start(1.0)
        await self.caller_listener.start(LONGEST_REQUEST_S)
        self._post_readiness(Readiness.READY)
        self.log_part.info(f"Serving callers on {self.settings.listen}.")

    async def on_stop(self) -> None:
        """Let the balancer look away, then finish every running request."""
        self._post_readiness(Readiness.STOPPING)
        self.log_part.info("Stopping; running requests are finished first.")
        await sleep(self.settings.balancer_lag_s)
        await self.caller_listener.stop()
        self.log_part.info("No request is running.")

    async def on_shutdown(self) -> None:
        """Close what the parts shared."""
        await self.control_listener.stop()
        await self.engines.close()
        await self.plain_client.close()
        await self.session.close()

    def _follow_config(self, section: ConfigSection) -> None:
        models = section.config.models
        self.estimator.reconfigure(
            {name: model.bytes_per_token for name, model in models.items()}
        )

    def _post_readiness(self, readiness: Readiness) -> None:
        section = self.board.read(NodeSection)
        self.node_writer.post(replace(section, readiness=readiness))

    def _live_state(self) -> dict[str, Any]:
        return {
            "InFlightWork": self.ledger.snapshot(),
            "AdmittedRequests": len(self.admission.admitted),
            "PendingReleases": sorted(r.name for r in self.releaser.pending),
        }


def _tls_context(settings: NodeSettings) -> SSLContext | None:
    if settings.tls_cert is None or settings.tls_key is None:
        return None
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.tls_cert, settings.tls_key)
    return context
