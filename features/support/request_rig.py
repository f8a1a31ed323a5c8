"""The request path over fake engines in virtual time, and its oracle."""

from asyncio import CancelledError, Event, set_event_loop, sleep
from dataclasses import dataclass, field

from returns.result import Failure, Success

from features.support.fake_engines import FakeEngine, FakeEngines
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
from lagoonhinge_core.engine_messages import LoadReport, Sampling
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import (
    ConfigSection,
    NodeSection,
    Readiness,
    UpstreamReport,
    UpstreamsSection,
)
from lagoonhinge_core.tokens import TokenEstimate, TokenEstimator
from lagoonhinge_node.admission import Admission
from lagoonhinge_node.model_path import ModelPath
from lagoonhinge_node.poison_controller import PoisonController
from lagoonhinge_node.releases import ReleaseQueue
from stand_ins.answers import whole_answer

REQUEST_TIMEOUT_S = 60.0
STALL_S = 5.0
ANSWER_TOKENS = 8
SEED = 7
SETTLE_S = 10.0


@dataclass
class RecordingSink:
    """Collects an answer; a streamed one cannot restart after its first text."""

    is_streamed: bool
    chunks: list[str] = field(default_factory=list)
    is_blocked: bool = False

    async def write(self, text):
        """Append text, or block like a caller that does not read."""
        if self.is_blocked and self.is_streamed:
            await Event().wait()
        self.chunks.append(text)

    def restart(self):
        """Discard the answer unless it was sent; return whether it may restart."""
        if self.is_streamed:
            return not self.chunks
        self.chunks.clear()
        return True

    def text(self) -> str:
        """Return the collected text."""
        return "".join(self.chunks)


class RequestRig:
    """One node's request path with its engines."""

    def __init__(self, engines=2, shared=None):
        if shared is None:
            self.loop = VirtualLoop()
            set_event_loop(self.loop)
            self.engines = [FakeEngine(f"http://engine-{n}") for n in range(engines)]
            self.port = FakeEngines(self.loop, self.engines)
            self.vm = "vm"
        else:
            self.loop, self.engines, self.port = (
                shared.loop,
                shared.engines,
                shared.port,
            )
            self.vm = f"vm{id(self)}"
        self.board = self._board()
        self.ledger = InFlightLedger()
        self.releases = ReleaseQueue(self.port)
        self.admission = Admission(self.board, self.ledger, self.loop)
        self.poison = PoisonController(self.board, self.loop)
        self.path = ModelPath(
            self.board,
            self.port,
            self.loop,
            self.admission,
            self.ledger,
            self.releases,
            TokenEstimator({"compliance": 4.0}),
            self.poison,
        )
        self.request_count = 0

    def start(
        self, sink, prompt="A winding specification", timeout_s=REQUEST_TIMEOUT_S
    ):
        """Start a request and return its task."""
        self.request_count += 1
        request = ModelRequest(
            request_id=f"request-{self.request_count}",
            account="tube-mills",
            service="assistant",
            model="compliance",
            prompt=prompt,
            prompt_bytes=len(prompt),
            estimate=TokenEstimate(10, ANSWER_TOKENS),
            seed=SEED,
            sampling=Sampling(),
            deadline_s=self.loop.time() + timeout_s,
            stall_timeout_s=STALL_S,
        )
        return self.loop.create_task(self.path.run(request, sink))

    def run(self, awaitable):
        """Run until the awaitable is done."""
        return self.loop.run_until_complete(awaitable)

    def on_admission(self, action):
        """Call `action` once, after a request is admitted and before its placement."""
        admit = self.admission.admit

        async def admit_then_act(request):
            ticket = await admit(request)
            self.admission.admit = admit
            action()
            return ticket

        self.admission.admit = admit_then_act

    def finish(self, task):
        """Run a request to its end and return its result; `None` if cancelled."""
        try:
            return self.run(task)
        except CancelledError:
            return None

    def settle(self):
        """Repair the engines, wait for releases, and check that nothing is held."""
        for engine in self.engines:
            engine.silent = engine.hung = False
            engine.listens = True
            if not engine.is_running:
                engine.restart()
        self.run(sleep(SETTLE_S))
        assert not self.releases.pending, self.releases.pending
        assert not self.ledger.by_upstream, self.ledger.by_upstream
        assert not self.ledger.open_items, self.ledger.open_items
        assert not self.admission.admitted, self.admission.admitted
        for engine in self.engines:
            engine.expire(self.loop.time())
            assert not engine.runs, engine
            assert not engine.streams, engine

    def accepted(self):
        """Return the attempts that any engine accepted."""
        return [name for engine in self.engines for name in engine.accepted]

    def close(self):
        """Close the loop."""
        self.loop.close()
        set_event_loop(None)

    def _board(self):
        board = Blackboard()
        zone = "perth-north"
        node = NodeId(self.vm, 1)
        board.writer(NodeSection(node, "perth", zone, Readiness.READY, 0.0), "node")
        upstreams = {
            engine.url.removeprefix("http://"): UpstreamConfig(
                engine.url, zone, "assistant", kv_tokens=400_000
            )
            for engine in self.engines
        }
        config = Config(
            zones=(zone,),
            models={"compliance": ModelConfig()},
            accounts={"tube-mills": AccountConfig("0" * 64)},
            services={
                "assistant": ModelService("compliance", placement=LeastInFlight())
            },
            upstreams=upstreams,
        )
        self.config = board.writer(ConfigSection(1, "digest", config), "config")
        self.reports = board.writer(self._reports(), "upstreams")
        return board

    def report(self):
        """Post the reports of the live engines, as the node does."""
        self.reports.post(self._reports())

    def _reports(self):
        return UpstreamsSection(
            {
                engine.url.removeprefix("http://"): UpstreamReport(
                    LoadReport(0.0, 0, 0, 0, 0, 400_000, False, engine.boot),
                    self.loop.time(),
                )
                for engine in self.engines
                if engine.is_running
            }
        )


def verdict(result, sink, prompt="A winding specification"):
    """Return `whole`, `cancelled`, or `code/outcome`, after checking the text."""
    expected = whole_answer(prompt, ANSWER_TOKENS, SEED)
    match result:
        case None:
            return "cancelled"
        case Success(_):
            assert sink.text() == expected, (sink.text(), expected)
            return "whole"
        case Failure(failure):
            assert expected.startswith(sink.text()), (sink.text(), expected)
            assert failure.retry_after_s is not None, failure
            return f"{failure.code}/{failure.outcome}"
    raise AssertionError(result)
