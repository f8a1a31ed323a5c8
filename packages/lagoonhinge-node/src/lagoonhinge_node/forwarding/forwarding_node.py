"""Root service of a forwarding node: its components, start and graceful stop."""

from asyncio import gather, get_running_loop, sleep
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
from lagoonhinge_core.forwarding.site_store import NodeEntry, RowDecoder, SiteStore
from lagoonhinge_core.forwarding.stop_schedule import plan_stop
from lagoonhinge_core.forwarding.watch_role import watch_times
from lagoonhinge_http.session import open_session
from lagoonhinge_node.addresses import Address
from lagoonhinge_node.forwarding.attempt_sender import AttemptSender
from lagoonhinge_node.forwarding.caller_interface import CallerInterface
from lagoonhinge_node.forwarding.cell_exchange import CellExchange
from lagoonhinge_node.forwarding.crash_exchange import CrashExchange
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_node.forwarding.load_exchange import LoadExchange
from lagoonhinge_node.forwarding.node_announcer import NodeAnnouncer
from lagoonhinge_node.forwarding.operator_interface import OperatorInterface
from lagoonhinge_node.forwarding.peer_messages import PeerSocket
from lagoonhinge_node.forwarding.quarantine_store import QuarantineStore
from lagoonhinge_node.forwarding.reachability import ReachabilityController
from lagoonhinge_node.forwarding.request_context import RequestLog
from lagoonhinge_node.forwarding.request_runner import RequestRunner
from lagoonhinge_node.forwarding.server_listener import ServerListener
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.settings_controller import (
    LiveSettings,
    ReadSettings,
    SettingsController,
)
from lagoonhinge_node.forwarding.site_controllers import (
    ConfigController,
    EvacuationController,
    NodeController,
    UpstreamController,
)
from lagoonhinge_node.forwarding.store_watch import StoreWatch
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChooser
from lagoonhinge_node.forwarding.upstream_client import (
    UpstreamClient,
    open_upstream_session,
)
from lagoonhinge_node.forwarding.upstream_notices import UpstreamNotices
from lagoonhinge_node.logs import PartLogger

# Two processes of a node hardly ever number prompts alike, and messages stay short.
FIRST_PROMPT_BITS = 31


def boot_time_s() -> float:
    """Return a monotonic time that includes suspension of the VM, in seconds."""
    return clock_gettime(CLOCK_BOOTTIME)


@dataclass(frozen=True)
class ForwardingSettings:
    """Settings of a forwarding node.

    Attributes:
        entry: Entry that the node announces.
        callers: Listening address for callers.
        readiness: Listening address for readiness checks.
        readiness_path: Path of readiness checks.
        metrics: Listening address for metrics and the state dump.
        in_force_s: Time within which a change must be in force, in seconds.
        live: Settings that may change while the node runs.
    """

    entry: NodeEntry
    callers: Address
    readiness: Address
    readiness_path: str
    metrics: Address
    in_force_s: float
    live: LiveSettings


@dataclass(frozen=True)
class Adapters:
    """Adapters between a node and its environment.

    Attributes:
        codec: Translation of headers.
        decoder: Translation of the store's rows.
        open_store: Create the client of the platform's store on a session.
        open_memory: Create the client for memory reservations on engines on a session.
        read_settings: Read the settings again.
    """

    codec: HeaderCodec
    decoder: RowDecoder
    open_store: Callable[[ClientSession], SiteStore]
    open_memory: Callable[[ClientSession], EngineMemory]
    read_settings: ReadSettings


class ForwardingNode(Service):
    """Root service of a forwarding node.

    Args:
        settings: Settings of the node.
        adapters: Adapters to its environment.
    """

    def __init__(self, settings: ForwardingSettings, adapters: Adapters):
        super().__init__()
        self.settings = settings
        self.adapters = adapters
        self.log_part = PartLogger("node")
        self.metrics = ForwardingMetrics()
        self.caller_listener: ServerListener | None = None
        # On the port for datagrams of other nodes.
        self.relay_listener: ServerListener | None = None
        self.readiness_listener: ServerListener | None = None
        self.operator_listener: ServerListener | None = None
        self.sessions: list[ClientSession] = []

    def on_init_dependencies(self) -> list[ServiceT]:
        """Create the components; return the services among them."""
        settings, random = self.settings, Random()
        self.serving = ServingState(
            Blackboard(),
            Freshness(settings.live.freshness),
            settings.live.retries,
            random,
            boot_time_s,
            settings.entry.name,
            settings.entry.zone,
            random.getrandbits(FIRST_PROMPT_BITS),
        )
        store = self.adapters.open_store(self._register_session(open_session()))
        socket = PeerSocket(settings.entry)
        exchange = LoadExchange(self.serving, socket)
        crashes = CrashExchange(self.serving, socket)
        decoder = self.adapters.decoder
        upstreams = UpstreamController(self.serving, decoder)
        nodes = NodeController(
            self.serving,
            decoder,
            settings.entry,
            (exchange.set_peers, crashes.set_peers),
        )
        evacuations = EvacuationController(self.serving)
        self.watch = watch = StoreWatch(
            self.serving,
            store,
            settings.entry,
            socket,
            watch_times(settings.in_force_s),
            ConfigController(self.serving, decoder),
            upstreams,
            nodes,
            evacuations,
        )
        cells = CellExchange(self.serving, socket, watch)
        quarantines = QuarantineStore(self.serving, store, watch)
        socket.handlers += [
            exchange.receive,
            crashes.receive,
            watch.receive,
            cells.receive,
        ]
        self.settings_controller = SettingsController(
            self.serving, self.adapters.read_settings, settings.live
        )
        return [
            socket,
            watch,
            NodeAnnouncer(self.serving, store, nodes),
            upstreams,
            evacuations,
            exchange,
            crashes,
            cells,
            quarantines,
            ReachabilityController(self.serving),
            self.settings_controller,
        ]

    async def on_started(self) -> None:
        """Open the listeners."""
        session = self._register_session(open_upstream_session())
        self.metrics.add_gauges(self.serving)
        self.metrics.add_store_gauges(self.watch)
        client = UpstreamClient(
            session, self.adapters.codec, UpstreamNotices(self.serving).record_head
        )
        engine_memory = self.adapters.open_memory(session)
        request_log = RequestLog(self.serving)
        self.runner = RequestRunner(
            self.serving,
            UpstreamChooser(self.serving),
            AttemptSender(
                self.serving, client, engine_memory, self.metrics, request_log
            ),
            self.metrics,
            request_log,
        )
        interface = CallerInterface(
            self.serving, self.adapters.codec, self.runner, self.metrics
        )
        self.caller_listener = ServerListener(interface.server(), self.settings.callers)
        await self.caller_listener.start()
        self.relay_listener = ServerListener(
            interface.relay_server(),
            Address(self.settings.entry.host, self.settings.entry.port),
        )
        await self.relay_listener.start()
        readiness_server = web.Server(self._handle_readiness_check, access_log=None)
        self.readiness_listener = ServerListener(
            readiness_server, self.settings.readiness
        )
        await self.readiness_listener.start()
        operators = OperatorInterface(self.serving, self.metrics, self.watch)
        self.operator_listener = ServerListener(
            operators.server(), self.settings.metrics
        )
        await self.operator_listener.start()
        self.log_part.info(
            "Started.", node=self.settings.entry.name, zone=self.settings.entry.zone
        )

    async def on_stop(self) -> None:
        """Wait until the load balancer stops sending, then drain running requests."""
        now_s = self.serving.clock()
        stop = plan_stop(now_s, self.settings_controller.current.grace_s)
        self.serving.stop = stop
        self.log_part.info("Stopping.", open=self.serving.open_requests)
        if self.caller_listener is not None and self.relay_listener is not None:
            await sleep(stop.close_s - now_s)
            # Idle connections are closed now, the others after their answers.
            now_s = self.serving.clock()
            limit_s = max(0.0, stop.exit_s - now_s)
            end = get_running_loop().call_later(
                max(0.0, stop.end_s - now_s), self.runner.end_all
            )
            await gather(
                self.caller_listener.stop(limit_s), self.relay_listener.stop(limit_s)
            )
            end.cancel()
        self.log_part.info("Stopped.", open=self.serving.open_requests)

    async def on_shutdown(self) -> None:
        """Close the remaining listeners and the sessions."""
        for listener in (self.readiness_listener, self.operator_listener):
            if listener is not None:
                await listener.stop(0.0)
        for session in self.sessions:
            await session.close()

    def _register_session(self, session: ClientSession) -> ClientSession:
        """Register a session to be closed on shutdown."""
        self.sessions.append(session)
        return session

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this node."""
        staleness = self.serving.freshness.staleness(self.serving.clock())
        is_usable = staleness in (Staleness.CURRENT, Staleness.DOUBTFUL)
        return is_usable and self.serving.stop is None

    async def _handle_readiness_check(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        is_readiness_path = request.path == self.settings.readiness_path
        is_ok = is_readiness_path and self.is_ready()
        return web.Response(
            status=HTTPStatus.OK if is_ok else HTTPStatus.SERVICE_UNAVAILABLE
        )
