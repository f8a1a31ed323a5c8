"""The node that forwards requests: its parts, their start, and a graceful stop."""

from asyncio import sleep
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from time import CLOCK_BOOTTIME, clock_gettime

from aiohttp import ClientSession, web
from mode import Service
from mode.types import ServiceT

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.forwarding.freshness import Freshness, Staleness
from lagoonhinge_core.forwarding.messages import EngineMemory, HeaderCodec
from lagoonhinge_core.forwarding.site_store import NodeEntry, SiteStore
from lagoonhinge_http.session import open_session
from lagoonhinge_node.addresses import Address
from lagoonhinge_node.forwarding.callers import CallerInterface
from lagoonhinge_node.forwarding.choosing import Chooser
from lagoonhinge_node.forwarding.followers import (
    ConfigFollower,
    NodeFollower,
    UpstreamFollower,
)
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_node.forwarding.load_exchange import LoadExchange
from lagoonhinge_node.forwarding.operators import OperatorInterface
from lagoonhinge_node.forwarding.reachability import ReachabilityController
from lagoonhinge_node.forwarding.request_job import RequestLog
from lagoonhinge_node.forwarding.request_run import RequestRunner
from lagoonhinge_node.forwarding.sending import Sender
from lagoonhinge_node.forwarding.server_listener import ServerListener
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.settings_controller import (
    LiveSettings,
    ReadSettings,
    SettingsController,
)
from lagoonhinge_node.forwarding.upstream_client import (
    UpstreamClient,
    open_upstream_session,
)
from lagoonhinge_node.logs import PartLogger

# Time in which the balancer notices that the node is not ready, in seconds: two checks
# a second apart, and one for their answers.
BALANCER_LAG_S = 3.0
STOP_MARGIN_S = 1.2  # before the process is killed, for its own end


def suspend_aware_s() -> float:
    """Return a time that never goes back and counts suspensions, in seconds."""
    return clock_gettime(CLOCK_BOOTTIME)


@dataclass(frozen=True)
class EntrySettings:
    """Settings of a forwarding node.

    Attributes:
        entry: What the node announces of itself.
        callers: Listening address for callers.
        readiness: Listening address for readiness checks.
        readiness_path: Path of these checks.
        metrics: Listening address for metrics and the state dump.
        live: What may change while the node runs.
    """

    entry: NodeEntry
    callers: Address
    readiness: Address
    readiness_path: str
    metrics: Address
    live: LiveSettings


@dataclass(frozen=True)
class Adapters:
    """What connects a node with the world around it.

    Attributes:
        codec: Translation of headers.
        open_store: Builds the client of the platform's store on a session.
        open_memory: Builds the client for orders to engines on a session.
        read_settings: Reads the settings again.
    """

    codec: HeaderCodec
    open_store: Callable[[ClientSession], SiteStore]
    open_memory: Callable[[ClientSession], EngineMemory]
    read_settings: ReadSettings


class EntryNode(Service):
    """Root service of a forwarding node.

    Args:
        settings: Its settings.
        adapters: Its connections with the world.
    """

    def __init__(self, settings: EntrySettings, adapters: Adapters):
        super().__init__()
        self.settings = settings
        self.adapters = adapters
        self.log_part = PartLogger("node")
        self.metrics = ForwardingMetrics()
        self.callers: ServerListener | None = None
        self.checks: ServerListener | None = None
        self.operators: ServerListener | None = None
        self.sessions: list[ClientSession] = []

    def on_init_dependencies(self) -> list[ServiceT]:
        """Build the parts; returns the services among them."""
        settings = self.settings
        self.serving = ServingState(
            Blackboard(),
            Freshness(settings.live.freshness),
            settings.live.retries,
            Random(),
            suspend_aware_s,
            settings.entry.name,
            settings.entry.zone,
        )
        store = self.adapters.open_store(self._keep(open_session()))
        exchange = LoadExchange(self.serving, settings.entry)
        self.live = SettingsController(
            self.serving, self.adapters.read_settings, settings.live
        )
        return [
            ConfigFollower(self.serving, store),
            UpstreamFollower(self.serving, store),
            exchange,
            NodeFollower(self.serving, store, settings.entry, exchange.follow_nodes),
            ReachabilityController(self.serving),
            self.live,
        ]

    async def on_started(self) -> None:
        """Open the listeners."""
        session = self._keep(open_upstream_session())
        self.metrics.watch(self.serving)
        client = UpstreamClient(session, self.adapters.codec)
        memory = self.adapters.open_memory(session)
        log = RequestLog(self.serving)
        runner = RequestRunner(
            self.serving,
            Chooser(self.serving),
            Sender(self.serving, client, memory, self.metrics, log),
            self.metrics,
            log,
        )
        interface = CallerInterface(
            self.serving, self.adapters.codec, runner, self.metrics
        )
        self.callers = ServerListener(interface.server(), self.settings.callers)
        await self.callers.start()
        checks = web.Server(self._answer_check, access_log=None)
        self.checks = ServerListener(checks, self.settings.readiness)
        await self.checks.start()
        operators = OperatorInterface(self.serving, self.metrics)
        self.operators = ServerListener(operators.server(), self.settings.metrics)
        await self.operators.start()
        self.log_part.info(
            "Started.", node=self.settings.entry.name, zone=self.settings.entry.zone
        )

    async def on_stop(self) -> None:
        """Let the balancer look away, then finish every running request."""
        until_s = self.serving.clock() + self.live.known.grace_s - STOP_MARGIN_S
        self.serving.is_stopping = True
        self.log_part.info("Stopping.", open=self.serving.open_requests)
        if self.callers is not None:
            await sleep(min(BALANCER_LAG_S, self.live.known.grace_s / 2))
            # Idle connections end now, the others with their answers.
            await self.callers.stop(max(0.0, until_s - self.serving.clock()))
        self.log_part.info("Stopped.", open=self.serving.open_requests)

    async def on_shutdown(self) -> None:
        """Close what is open."""
        for listener in (self.checks, self.operators):
            if listener is not None:
                await listener.stop(0.0)
        for session in self.sessions:
            await session.close()

    def _keep(self, session: ClientSession) -> ClientSession:
        """Remember a session, which is closed at the end."""
        self.sessions.append(session)
        return session

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        standing = self.serving.freshness.staleness(self.serving.clock())
        is_known = standing in (Staleness.CURRENT, Staleness.DOUBTFUL)
        return is_known and not self.serving.is_stopping

    async def _answer_check(self, request: web.BaseRequest) -> web.StreamResponse:
        is_check = request.path == self.settings.readiness_path
        is_good = is_check and self.is_ready()
        return web.Response(
            status=HTTPStatus.OK if is_good else HTTPStatus.SERVICE_UNAVAILABLE
        )
