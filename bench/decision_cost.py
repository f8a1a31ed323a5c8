"""Processor time of one admission and placement, and its slope by each size."""

from asyncio import run
from collections.abc import Iterator
from dataclasses import dataclass, replace
from gc import collect, freeze
from random import Random
from statistics import linear_regression
from time import thread_time_ns
from typing import Annotated

from cappa import Arg, command, parse
from hdrh.histogram import HdrHistogram
from returns.result import Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import (
    AccountConfig,
    Config,
    LimitsConfig,
    ModelConfig,
    ModelService,
    UpstreamConfig,
)
from lagoonhinge_core.engine_messages import Sampling
from lagoonhinge_core.fair_queue import QueueItem
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.in_flight import InFlightLedger, UpstreamWork, WorkItem
from lagoonhinge_core.limits import DemandUpdate
from lagoonhinge_core.peer_messages import PeerDigest
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import (
    ConfigSection,
    NodeSection,
    PeersSection,
    Readiness,
    UpstreamsSection,
)
from lagoonhinge_core.tokens import TokenEstimate
from lagoonhinge_node.admission import Admission
from lagoonhinge_node.admission_controller import AdmissionController
from lagoonhinge_node.candidates import find_candidates, find_capacity
from lagoonhinge_node.clock import SystemClock

MAX_NS = 1_000_000_000  # highest time in the histogram
DECISIONS_PER_DIGEST = 7  # 56 requests and 8 digests a second
BUSY_UPSTREAM_SHARE = 0.7


@dataclass(frozen=True)
class Size:
    """Sizes that the cost of a decision may depend on."""

    upstreams: int = 56
    peers: int = 8
    queue: int = 0
    accounts: int = 100


class Bench:
    """Decisions of a node on a blackboard of one size."""

    def __init__(self, size: Size, seed: int):
        self.size = size
        self.random = Random(seed)
        self.node = NodeId("vm", 1)
        self.board = Blackboard()
        section = NodeSection(self.node, "s", "z", Readiness.READY, 0.0)
        self.board.writer(section, "bench")
        self.board.writer(ConfigSection(1, "", _config(size)), "bench")
        self.board.writer(UpstreamsSection(), "bench")
        self.peers = self.board.writer(PeersSection(), "bench")
        self.ledger = InFlightLedger()
        self.admission = Admission(self.board, self.ledger, SystemClock())
        clock = SystemClock()
        self.controller = AdmissionController(
            self.board, self.admission, clock, frozenset()
        )
        self.requests = self._requests()
        self._observe_peers()
        self._start_work()
        self._fill_queue()

    def _observe_peers(self) -> None:
        shares = self.admission.shares
        for number in range(self.size.peers):
            for received_number in (-1, 0):
                update = DemandUpdate(
                    1, {"account-0": 5000.0}, {str(self.node): received_number}
                )
                shares.observe(NodeId(f"peer-{number}", 1), update)
        self.post_digest(0)

    def post_digest(self, number: int) -> None:
        """Post a new digest of one peer, as membership does; of all peers at first."""
        if self.size.peers == 0:
            return
        names = list(self.board.read(ConfigSection).config.upstreams)
        digests = dict(self.board.read(PeersSection).digests)
        updated_peers = (
            range(self.size.peers) if not digests else (number % self.size.peers,)
        )
        for peer in updated_peers:
            work = {name: UpstreamWork(1, 2000, 0, 0, 0) for name in names}
            digest = PeerDigest(f"peer-{peer}/1", number, "x", "z", 1, work=work)
            digests[f"peer-{peer}"] = digest
        self.peers.post(PeersSection(digests))
        self.controller.post_others_work()

    def _start_work(self) -> None:
        for number in range(int(BUSY_UPSTREAM_SHARE * self.size.upstreams)):
            item = WorkItem(f"engine-{number:04}", 2000, 2100, False)
            self.ledger.start(f"busy-{number}", item)

    def _fill_queue(self) -> None:
        lanes = self.admission._lanes("s")
        for number in range(self.size.queue):
            account = f"account-{number % self.size.accounts}"
            lanes.short.queue.push(QueueItem(f"queued-{number}", account, 2000))

    def _requests(self) -> Iterator[ModelRequest]:
        number = 0
        now_s = SystemClock().monotonic_s()
        while True:
            number += 1
            is_long = self.random.random() < 0.05
            tokens = self.random.randint(
                *((100_000, 300_000) if is_long else (1, 4000))
            )
            yield ModelRequest(
                request_id=f"r{number}",
                account=f"account-{self.random.randrange(self.size.accounts)}",
                service="s",
                model="m",
                prompt="",
                prompt_bytes=4 * tokens,
                estimate=TokenEstimate(tokens, 100),
                seed=1,
                sampling=Sampling(),
                deadline_s=now_s + 100_000.0,
                stall_timeout_s=5.0,
            )

    async def decide(self, number: int) -> int:
        """Return the processor time of one decision, in nanoseconds."""
        request = next(self.requests)
        if number % DECISIONS_PER_DIGEST == 0:
            self.post_digest(number)
        if self.size.queue:
            return self._decide_queued(request)
        started_ns = thread_time_ns()
        result = await self.admission.admit(request)
        upstream = self.admission.pop_reserved_upstream(request.request_id)
        find_candidates(self.board, self.ledger, "s")
        spent_ns = thread_time_ns() - started_ns
        match result:
            case Success(ticket):
                assert upstream is not None, request
                self.admission.release(ticket)
        return spent_ns

    def _decide_queued(self, request: ModelRequest) -> int:
        """Time the queueing of a request, and the dispatch of the head of the queue."""
        lane = self.admission._lanes("s").short
        account = AccountConfig("0" * 64)
        tokens = request.estimate.total()
        capacity = find_capacity(self.board, "s")
        started_ns = thread_time_ns()
        now_s = self.admission.clock.monotonic_s()
        self.admission.limits.charge(request.account, account, tokens, now_s)
        queued_request = self.admission._new_queued_request(request, capacity)
        tokens_ahead = lane.queue.tokens_ahead(request.account, account.weight)
        queued_request.late_by_s(tokens_ahead, now_s)
        item = QueueItem(request.request_id, request.account, tokens)
        lane.queue.push(item)
        lane.queue.heaviest_account()
        candidates = find_candidates(self.board, self.ledger, "s")
        policy = self.admission.policy("s")
        self.admission.placer.choose(policy, candidates, queued_request.placement)
        lane.queue.pop()
        return thread_time_ns() - started_ns


def _config(size: Size) -> Config:
    return Config(
        zones=("z",),
        models={"m": ModelConfig()},
        services={"s": ModelService("m", max_queued_requests=100_000)},
        accounts={
            f"account-{n}": AccountConfig("0" * 64, tokens_per_s=1e12)
            for n in range(size.accounts)
        },
        upstreams={
            f"engine-{n:04}": UpstreamConfig("http://x", "z", "s", kv_tokens=10**9)
            for n in range(size.upstreams)
        },
        limits=LimitsConfig(max_in_flight_requests=100_000),
    )


async def measure(size: Size, decisions: int, seed: int) -> HdrHistogram:
    """Return the processor times of decisions at one size, in nanoseconds."""
    bench = Bench(size, seed)
    histogram = HdrHistogram(1, MAX_NS, 3)
    for number in range(decisions // 10):
        await bench.decide(number)
    collect()
    freeze()
    for number in range(decisions):
        histogram.record_value(await bench.decide(number))
    return histogram


def print_row(size: Size, histogram: HdrHistogram) -> tuple[float, float]:
    """Print the figures of one size; return its mean and p99, in microseconds."""
    mean_us = histogram.get_mean_value() / 1000
    p99_us = histogram.get_value_at_percentile(99) / 1000
    print(
        f"upstreams {size.upstreams:5} peers {size.peers:2} queue {size.queue:6} "
        f"accounts {size.accounts:6}: mean {mean_us:7.1f} us  p99 {p99_us:7.1f} us"
    )
    return mean_us, p99_us


@command(name="decision-cost")
@dataclass
class Flags:
    """Measure the processor time of one decision."""

    decisions: Annotated[int, Arg(long=True, help="Decisions at each size.")] = 4000
    seed: Annotated[int, Arg(long=True, help="Seed of the requests.")] = 1

    def __call__(self) -> None:
        """Run the measurement."""
        run(self.measure_all())

    async def measure_all(self) -> None:
        """Measure the base size, and several values of each of its parameters."""
        base = Size()
        print_row(base, await measure(base, self.decisions, self.seed))
        queued = replace(base, queue=1000)
        for name, start, values in (
            ("upstreams", base, (7, 28, 56, 112, 224)),
            ("peers", base, (0, 2, 4, 8)),
            ("queue", base, (10, 100, 1000, 10_000)),
            ("accounts", queued, (20, 210, 2100, 21_000)),
        ):
            means_us = []
            for value in values:
                size = replace(start, **{name: value})
                histogram = await measure(size, self.decisions, self.seed)
                means_us.append(print_row(size, histogram)[0])
            slope = linear_regression(values, means_us).slope
            print(f"slope by {name}: {slope:.4f} us each")


if __name__ == "__main__":
    parse(Flags)()
