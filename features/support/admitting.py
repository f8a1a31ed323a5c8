"""Admission of a node whose upstreams exist only as counts."""

from asyncio import create_task, sleep

from returns.result import Failure, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import (
    AccountConfig,
    Config,
    ModelConfig,
    ModelService,
    UpstreamConfig,
)
from lagoonhinge_core.engine_messages import Sampling
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.in_flight import InFlightLedger, WorkItem
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import (
    ConfigSection,
    NodeSection,
    Readiness,
    UpstreamsSection,
)
from lagoonhinge_core.tokens import TokenEstimate
from lagoonhinge_node.admission import Admission

TOKENS_PER_S = 1000.0
DIGEST = "0" * 64


class ManualClock:
    """A clock that the test advances."""

    def __init__(self):
        self.now = 0.0

    def monotonic_s(self) -> float:
        """Return the time, in seconds."""
        return self.now

    def wall_s(self) -> float:
        """Return the time, in seconds."""
        return self.now


class AdmissionNode:
    """Admission with its work counts; each request is a task."""

    def __init__(self, upstreams=2, queue=6, accounts=("a", "b")):
        self.clock = ManualClock()
        self.board = Blackboard()
        node = NodeId("vm", 1)
        self.board.writer(NodeSection(node, "s", "z", Readiness.READY, 0.0), "test")
        config = Config(
            zones=("z",),
            models={"m": ModelConfig()},
            services={"s": ModelService("m", max_queued_requests=queue)},
            accounts={name: AccountConfig(DIGEST) for name in accounts},
            upstreams={
                f"u{n}": UpstreamConfig(
                    "http://x",
                    "z",
                    "s",
                    kv_tokens=400_000,
                    prefill_tokens_per_s=TOKENS_PER_S,
                )
                for n in range(upstreams)
            },
        )
        self.config = self.board.writer(ConfigSection(1, "", config), "test")
        self.board.writer(UpstreamsSection(), "test")
        self.ledger = InFlightLedger()
        self.admission = Admission(self.board, self.ledger, self.clock)
        self.tasks = {}
        self.tickets = {}
        self.refusals = {}
        self.running = set()

    def arrive(self, tokens=500, timeout_s=60.0, account="a") -> str:
        """Start a request; `settle` runs it until it waits."""
        name = f"r{len(self.tasks)}"
        request = ModelRequest(
            request_id=name,
            account=account,
            service="s",
            model="m",
            prompt="",
            prompt_bytes=4 * tokens,
            estimate=TokenEstimate(tokens, 1),
            seed=1,
            sampling=Sampling(),
            deadline_s=self.clock.now + timeout_s,
            stall_timeout_s=5.0,
        )
        self.tasks[name] = create_task(self._admit(request))
        return name

    async def _admit(self, request):
        match await self.admission.admit(request):
            case Success(ticket):
                self.tickets[request.request_id] = ticket
                self._start(request)
            case Failure(failure):
                self.refusals[request.request_id] = failure

    def _start(self, request):
        """Count the first attempt, as the model path does."""
        name = request.request_id
        upstream = self.admission.pop_reserved_upstream(name)
        if upstream is not None:
            tokens = request.estimate.prompt_tokens
            self.ledger.start(name, WorkItem(upstream, tokens, tokens + 1, False))
            self.running.add(name)

    async def settle(self):
        """Run every task until it waits."""
        for _ in range(20):
            await sleep(0)

    def end(self, name):
        """End an admitted request."""
        if name in self.running:
            self.running.remove(name)
            self.ledger.finish(name)
        self.admission.release(self.tickets.pop(name))

    async def end_all(self):
        """End admitted requests until none is admitted or queued."""
        while self.tickets:
            self.end(next(iter(self.tickets)))
            await self.settle()

    def assert_empty(self):
        """Check that no request is admitted, queued or counted."""
        admission = self.admission
        assert not admission.admitted, admission.admitted
        assert not admission.queued, admission.queued
        assert not self.ledger.open_items, self.ledger.open_items
        assert not self.ledger.by_upstream, self.ledger.by_upstream
        for lanes in admission.services.values():
            assert lanes.queued_count() == 0
            assert all(lane.queue.tokens == 0 for lane in lanes.both())
