"""Nodes with the product's own request path, before upstreams that leave or pause."""

from asyncio import Task, create_task, sleep
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from msgspec import json
from returns.result import Failure, Result, Success

from features.support.serving import build_serving_state
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.forwarding.attempts import AttemptFailure, Declined, NotDelivered
from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.messages import (
    AnswerHead,
    AttemptOptions,
    CallerRequest,
    PromptSize,
)
from lagoonhinge_core.forwarding.pauses import MAX_PAUSE_S
from lagoonhinge_core.forwarding.routes import (
    Idempotent,
    Route,
    RouteTable,
    WeightedService,
)
from lagoonhinge_core.forwarding.site_config import (
    CallerLimits,
    ServiceProfile,
    SiteConfig,
)
from lagoonhinge_core.forwarding.site_store import NodeEntry, TableRow
from lagoonhinge_core.forwarding.upstreams import Upstream, UpstreamRun
from lagoonhinge_node.forwarding.attempt_sender import AttemptSender
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_node.forwarding.load_exchange import LoadExchange
from lagoonhinge_node.forwarding.peer_messages import decode_message
from lagoonhinge_node.forwarding.request_context import RequestContext, RequestLog
from lagoonhinge_node.forwarding.request_runner import RequestRunner
from lagoonhinge_node.forwarding.site_controllers import UpstreamController
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChooser
from lagoonhinge_node.forwarding.upstream_notices import UpstreamNotices

ZONE = "north"
DESK, MODELS = "desk", "models"
ENGINE = EngineProfile(8, 30_000, 0.00131, 154_000.0, 0.000162, 2048, 34)
LONG_PROMPT = PromptSize(50_000, 100)  # more than the memory of one engine
TIME_LIMIT_S = 4.0
DELAY_S = 0.001
CLOCK_PRECISION_S = 1e-6  # above the rounding of virtual time


@dataclass
class FakeUpstream:
    """The process of an upstream, and its row in the store.

    Attributes:
        service: Its service.
        started_ms: Its start.
        row: Whether the row says that it leaves; `None` if there is no row.
        leaving: Whether its answers say that it leaves.
        pauses_s: Times in `Retry-After` of its next refusals, in turn, in seconds;
            empty if it serves.
        delay_s: Time to its answers, in seconds.
    """

    service: str
    started_ms: int = 1
    row: bool | None = False
    leaving: bool = False
    pauses_s: tuple[float, ...] = ()
    delay_s: float = DELAY_S


class UpstreamRows:
    """Rows whose values are JSON: service, whether it leaves, and its start."""

    def upstream(self, row: TableRow) -> Upstream | None:
        """Return the upstream in a row."""
        assert row.value is not None
        service, leaving, started_ms = json.decode(row.value)
        return Upstream(row.key, service, row.key, 1, ZONE, 8, leaving, started_ms)


@dataclass
class FakeAnswer:
    """A whole answer."""

    head: AnswerHead

    async def whole_body(self) -> Result[bytes, AttemptFailure]:
        """Return the whole body."""
        return Success(b"answer")

    def close(self) -> None:
        """Close the connection."""


@dataclass
class NoticeNode:
    """One node, and what it has been told.

    Attributes:
        fleet: The fleet.
        name: Its name.
        told_leaving: Runs of upstreams that it has been told to leave.
        paused_until_s: End of each pause that it has been told, in seconds.
        requests: Its requests in progress.
        reserving: Names of the engines on which it last reserved memory.
    """

    fleet: "NoticeFleet"
    name: str
    told_leaving: set[UpstreamRun] = field(default_factory=set)
    paused_until_s: dict[UpstreamRun, float] = field(default_factory=dict)
    requests: list[Task[None]] = field(default_factory=list)
    reserving: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        loop = self.fleet.loop
        self.serving = serving = build_serving_state(loop.time, self.name, ZONE)
        services = {
            DESK: ServiceProfile(DESK, 8),
            MODELS: ServiceProfile(MODELS, 8, ENGINE),
        }
        config = SiteConfig(1, RouteTable(()), services, {}, CallerLimits(), True)
        serving.board.writer(SiteConfigSection(), "test").post(
            SiteConfigSection(config)
        )
        self.controller = UpstreamController(serving, UpstreamRows())
        self.exchange = LoadExchange(serving, FakeSocket(self.fleet))
        self.notices = UpstreamNotices(serving)
        metrics, log = ForwardingMetrics(), RequestLog(serving)
        sender = AttemptSender(serving, FakeClient(self), self, metrics, log)
        self.runner = RequestRunner(
            serving, UpstreamChooser(serving), sender, metrics, log
        )
        names = self.fleet.names
        serving.zone_of_node = {name: ZONE for name in names}
        self.exchange.set_peers(
            [NodeEntry(name, name, 1, ZONE) for name in names if name != self.name]
        )

    async def start(self) -> None:
        """Start the node's services."""
        await self.controller.start()
        await self.exchange.start()

    async def stop(self) -> None:
        """Stop it without notice."""
        for request in self.requests:
            request.cancel()
        await self.controller.stop()
        await self.exchange.stop()

    def apply(self, rows: tuple[TableRow, ...], is_complete: bool) -> None:
        """Apply rows of the store."""
        self.controller.apply(rows, is_complete)
        decoder = UpstreamRows()
        entries = [decoder.upstream(row) for row in rows if row.value is not None]
        self.told_leaving |= {entry.run() for entry in entries if entry.leaving}

    def receive(self, data: bytes) -> None:
        """Receive a message of another node."""
        message = decode_message(data)
        self.exchange.receive(message)
        self.told_leaving |= set(message.load.leaving)

    def record_told(self, run: UpstreamRun, head: AnswerHead) -> None:
        """Record what an answer says of its upstream."""
        if head.leaving:
            self.told_leaving.add(run)
        if head.retry_after_s is not None:
            end_s = self.fleet.loop.time() + min(head.retry_after_s, MAX_PAUSE_S)
            self.paused_until_s[run] = max(self.paused_until_s.get(run, 0.0), end_s)

    def start_request(
        self, size: PromptSize | None
    ) -> tuple[RequestContext, "FakeWriter"]:
        """Start a request of a caller."""
        service = DESK if size is None else MODELS
        route = Route(
            "r",
            "h",
            "/",
            Idempotent(),
            (WeightedService(service, 1.0),),
            TIME_LIMIT_S,
            1.0,
            3,
        )
        request = CallerRequest(
            "1", "GET", "/", "h", (), b"", None, TIME_LIMIT_S, size, None
        )
        now_s = self.fleet.loop.time()
        context = RequestContext(
            request, route, service, None, now_s + TIME_LIMIT_S, now_s
        )
        self.requests = [task for task in self.requests if not task.done()]
        writer = FakeWriter()
        self.requests.append(create_task(self.runner.run(context, writer)))
        return context, writer

    def check_open(self, run: UpstreamRun) -> None:
        """Check that this node was not told that a run takes no requests."""
        now_s = self.fleet.loop.time()
        paused_s = self.paused_until_s.get(run, now_s) - now_s
        if run in self.told_leaving or paused_s > CLOCK_PRECISION_S:
            self.fleet.wrong_sends.append((self.name, run, paused_s))

    async def reserve(
        self, address: str, reservation_id: str, tokens: int, lease_s: float
    ) -> Result[None, str]:
        """Reserve memory on an engine."""
        self.reserving = [*self.reserving, address.partition(":")[0]]
        await sleep(self.fleet.reserve_s)
        return Success(None)

    async def release(self, address: str, reservation_id: str) -> Result[None, str]:
        """Release a reservation."""
        return Success(None)


@dataclass
class FakeClient:
    """Client of upstreams of one node."""

    node: NoticeNode

    async def send(
        self, upstream: Upstream, request: CallerRequest, options: AttemptOptions
    ) -> Result[FakeAnswer, AttemptFailure]:
        """Send a request and return its answer."""
        node, fleet = self.node, self.node.fleet
        listed = node.serving.directory.by_instance
        helpers = (helper.address.partition(":")[0] for helper in options.helpers)
        runs = [
            upstream.run(),
            *(listed[name].run() for name in helpers if name in listed),
        ]
        for run in runs:
            node.check_open(run)
        fleet.sends.append((fleet.loop.time(), node.name, upstream.run()))
        process = fleet.upstreams[upstream.instance]
        await sleep(process.delay_s)
        if process.started_ms != upstream.started_ms:
            return Failure(NotDelivered("the process has ended"))
        is_refusal = bool(process.pauses_s)
        pause_s = process.pauses_s[0] if is_refusal else None
        process.pauses_s = (*process.pauses_s[1:], *process.pauses_s[:1])
        head = AnswerHead(
            503 if is_refusal else 200,
            "",
            (),
            "1",
            True,
            is_refusal,
            "",
            False,
            leaving=process.leaving,
            retry_after_s=pause_s,
        )
        node.notices.record_head(upstream, head)
        node.record_told(upstream.run(), head)
        if is_refusal:
            return Failure(Declined(503))
        return Success(FakeAnswer(head))


@dataclass
class FakeSocket:
    """Socket of one node."""

    fleet: "NoticeFleet"

    def send(self, data: bytes, peers: Iterable[tuple[str, int]]) -> None:
        """Deliver a message to each peer, late or never."""
        fleet = self.fleet
        for name, _ in peers:
            if fleet.random.random() >= fleet.loss:
                delay_s = DELAY_S + fleet.random.random() * fleet.lateness_s
                fleet.loop.call_later(delay_s, fleet.deliver, name, data)


@dataclass
class FakeWriter:
    """Takes the answer of a request.

    Attributes:
        status: Status of the answer; 0 before it.
    """

    status: int = 0
    started: bool = False

    async def reply(self, head: AnswerHead, body: bytes) -> None:
        """Take a whole answer."""
        self.status = head.status

    async def refuse(self, status: int, retry_after_s: float | None) -> None:
        """Take a refusal."""
        self.status = status

    def abort(self) -> None:
        """Abort the connection."""


@dataclass
class NoticeFleet:
    """Nodes and upstreams.

    Attributes:
        loop: Virtual time.
        random: Random numbers of the network.
        names: Names of the nodes.
        upstreams: Processes of the upstreams.
        reserve_s: Time that a reservation of memory takes, in seconds.
        loss: Share of lost messages.
        lateness_s: Greatest random delay of a message, in seconds.
        sends: Time, node and run of each request that was sent.
        wrong_sends: Requests for runs whose node had been told that they take none.
    """

    loop: VirtualLoop
    random: Random
    names: tuple[str, ...]
    upstreams: dict[str, FakeUpstream]
    reserve_s: float = DELAY_S
    loss: float = 0.0
    lateness_s: float = 0.0
    nodes: dict[str, NoticeNode] = field(default_factory=dict)
    sends: list[tuple[float, str, UpstreamRun]] = field(default_factory=list)
    wrong_sends: list[tuple[str, UpstreamRun, float]] = field(default_factory=list)

    async def start_node(self, name: str) -> None:
        """Start a node, which reads the rows."""
        node = self.nodes[name] = NoticeNode(self, name)
        await node.start()
        node.apply(self.rows(), True)

    async def stop_node(self, name: str) -> None:
        """Stop a node without notice."""
        await self.nodes.pop(name).stop()

    def rows(self) -> tuple[TableRow, ...]:
        """Return the rows of all upstreams."""
        return tuple(
            TableRow(
                name, json.encode([process.service, process.row, process.started_ms]), 1
            )
            for name, process in self.upstreams.items()
            if process.row is not None
        )

    def deliver(self, name: str, data: bytes) -> None:
        """Hand a message to a node, if it runs."""
        if name in self.nodes:
            self.nodes[name].receive(data)
