"""Nodes that form groups over shared engines, in virtual time."""

from asyncio import CancelledError, set_event_loop, sleep

from features.support.group_engines import GroupEngines
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import (
    AccountConfig,
    Config,
    LeastInFlight,
    ModelConfig,
    ModelService,
    UpstreamConfig,
)
from lagoonhinge_core.engine_messages import Sampling
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import (
    ConfigSection,
    NodeSection,
    Readiness,
    UpstreamsSection,
)
from lagoonhinge_core.tokens import TokenEstimate, TokenEstimator
from lagoonhinge_node.admission import Admission
from lagoonhinge_node.model_path import ModelPath
from lagoonhinge_node.poison_controller import PoisonController
from lagoonhinge_node.releases import ReleaseQueue
from stand_ins.answers import BYTES_PER_TOKEN, whole_answer

ZONE = "perth-north"
SEED = 7
OUTPUT_TOKENS = 20
STALL_S = 5.0
SETTLE_S = 20.0


class AnswerSink:
    """Collects a streamed answer, which cannot restart after its first text."""

    def __init__(self):
        self.chunks = []

    async def write(self, text):
        """Append text."""
        self.chunks.append(text)

    def restart(self):
        """Return whether the answer may restart."""
        return not self.chunks


class GroupNode:
    """The part of one node that serves model requests."""

    def __init__(self, number, loop, engines, config):
        node = NodeId(f"vm-{number}", 1)
        self.board = Blackboard()
        section = NodeSection(node, "perth", ZONE, Readiness.READY, 0.0)
        self.board.writer(section, "test")
        self.board.writer(ConfigSection(1, "", config), "test")
        self.board.writer(UpstreamsSection(), "test")
        self.ledger = InFlightLedger()
        self.releases = ReleaseQueue(engines)
        self.admission = Admission(self.board, self.ledger, loop)
        self.path = ModelPath(
            self.board,
            engines,
            loop,
            self.admission,
            self.ledger,
            self.releases,
            TokenEstimator({"compliance": 4.0}),
            PoisonController(self.board, loop),
        )


class GroupRig:
    """The engines of one zone and several nodes without gossip between them."""

    def __init__(self, kv_tokens, nodes=1):
        self.loop = VirtualLoop()
        set_event_loop(self.loop)
        sizes = {f"engine-{i}": size for i, size in enumerate(kv_tokens)}
        self.engines = GroupEngines(self.loop, sizes)
        config = Config(
            models={"compliance": ModelConfig()},
            accounts={"tube-mills": AccountConfig("0" * 64)},
            services={
                "assistant": ModelService("compliance", placement=LeastInFlight())
            },
            upstreams={
                name: UpstreamConfig(
                    f"http://{name}", ZONE, "assistant", kv_tokens=size
                )
                for name, size in sizes.items()
            },
        )
        self.nodes = [
            GroupNode(i, self.loop, self.engines, config) for i in range(nodes)
        ]
        self.step_task = self.loop.create_task(self.engines.run_steps())

    def start(self, prompt, node=0, timeout_s=120.0):
        """Start a request and return its task, which yields the answer or a failure."""
        request = ModelRequest(
            request_id=f"request-{node}-{len(prompt)}",
            account="tube-mills",
            service="assistant",
            model="compliance",
            prompt=prompt,
            prompt_bytes=len(prompt.encode()),
            estimate=TokenEstimate(
                len(prompt.encode()) // BYTES_PER_TOKEN, OUTPUT_TOKENS
            ),
            seed=SEED,
            sampling=Sampling(),
            deadline_s=self.loop.time() + timeout_s,
            stall_timeout_s=STALL_S,
        )
        return self.loop.create_task(self._run(self.nodes[node], request))

    async def _run(self, node, request):
        sink = AnswerSink()
        started_s = self.loop.time()
        result = await node.path.run(request, sink)
        return result, "".join(sink.chunks), self.loop.time() - started_s

    def finish(self, task):
        """Run a request to its end and return its outcome; `None` if cancelled."""
        try:
            return self.loop.run_until_complete(task)
        except CancelledError:
            return None

    def settle(self):
        """Wait for releases, well within any expiry, and check that nothing is held."""
        self.loop.run_until_complete(sleep(SETTLE_S))
        held = {
            name: e.list_holdings().holdings for name, e in self.engines.engines.items()
        }
        assert not any(held.values()), held
        for node in self.nodes:
            assert not node.ledger.open_items, node.ledger.open_items
            assert not node.admission.admitted
            assert not node.releases.pending

    def close(self):
        """Cancel the engines' task and close the loop."""
        self.step_task.cancel()
        self.loop.run_until_complete(sleep(0))
        self.loop.close()


def expected_answer(prompt) -> str:
    """Return the whole answer to a prompt."""
    return whole_answer(prompt, OUTPUT_TOKENS, SEED)
