"""The components that the controllers and the request path of a node share."""

from dataclasses import dataclass
from random import Random

from aiohttp import ClientSession

from lagoonhinge_core.blackboard import Blackboard, SectionWriter
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.sections import NodeSection, Readiness
from lagoonhinge_core.tokens import TokenEstimator
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.session import open_session
from lagoonhinge_node.clock import SystemClock
from lagoonhinge_node.engine_client import HttpEngineClient
from lagoonhinge_node.metrics import Metrics
from lagoonhinge_node.releases import ReleaseQueue
from lagoonhinge_node.settings import NodeSettings


@dataclass(frozen=True)
class SharedComponents:
    """The components; a node has one of each.

    Attributes:
        settings: Checked settings.
        node: Identity of this incarnation.
        clock: The system clocks.
        random: Random number generator, seeded by the identity.
        board: The blackboard.
        node_writer: Writer of the node's own section.
        ledger: Work of this node in flight.
        estimator: Token estimates.
        metrics: Metrics of the node.
        session: Client session for the platform.
        platform: Client of the platform's services.
        engines: Client of the engines.
        releases: Queue of the releases of engines' holdings.
    """

    settings: NodeSettings
    node: NodeId
    clock: SystemClock
    random: Random
    board: Blackboard
    node_writer: SectionWriter[NodeSection]
    ledger: InFlightLedger
    estimator: TokenEstimator
    metrics: Metrics
    session: ClientSession
    platform: HttpPlatform
    engines: HttpEngineClient
    releases: ReleaseQueue


def build_shared(settings: NodeSettings) -> SharedComponents:
    """Return the shared components of a new incarnation of a node."""
    clock = SystemClock()
    started_s = clock.wall_s()
    node = NodeId(settings.vm, int(started_s * 1000))
    board = Blackboard()
    section = NodeSection(
        node, settings.site, settings.zone, Readiness.STARTING, started_s
    )
    session = open_session()
    engines = HttpEngineClient()
    return SharedComponents(
        settings=settings,
        node=node,
        clock=clock,
        random=Random(str(node)),
        board=board,
        node_writer=board.writer(section, "node"),
        ledger=InFlightLedger(),
        estimator=TokenEstimator({}),
        metrics=Metrics(),
        session=session,
        platform=HttpPlatform(session, settings.platform_url),
        engines=engines,
        releases=ReleaseQueue(engines),
    )
