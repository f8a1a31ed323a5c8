"""Processor time of the forwarding path's placements and log lines, and update size."""

from collections.abc import Callable
from dataclasses import dataclass
from os import O_WRONLY, close, devnull, dup, dup2
from os import open as open_file
from random import Random
from time import process_time, thread_time_ns
from typing import Annotated

from cappa import Arg, command, parse
from hdrh.histogram import HdrHistogram

from bench.emulator.traffic import PROFILE
from lagoonhinge_core.forwarding.cell_placement import EnginePool, place_in_cells
from lagoonhinge_core.forwarding.load_tracker import (
    CellSummary,
    LoadTracker,
    LoadUpdate,
    OpenWork,
    Prefill,
)
from lagoonhinge_core.forwarding.prompt_placement import EngineCandidate, Prompt
from lagoonhinge_http.wire import encode
from lagoonhinge_node.logs import PartLogger, set_up_queued_logs

PROMPTS = {
    "short": Prompt(4_960, 1_200, 0.3, 10.0),
    "long": Prompt(182_000, 700, 3.0, 15.0),
}
# Engines and peers of a cell: of a small site, and of one zone of two large ones.
SIZES = ((16, 8), (26, 28), (27, 38))
NOW_S = 1.0
MAX_NS = 1_000_000_000  # highest time in the histogram
STDOUT = 1  # file descriptor
LOG_LINES = 2000  # fewer than the log queue holds
ENGINES_WITH_REQUESTS = 4  # engines with requests of one peer, at the mean load


@dataclass(frozen=True)
class Node:
    """Load tracker of one node, and the engines that it places prompts on."""

    tracker: LoadTracker
    engine_names: tuple[str, ...]
    peers: int
    random: Random

    def place(self, prompt: Prompt) -> None:
        """Place a prompt once."""
        pool = EnginePool(
            self.engine_names,
            (),
            self.peers,
            lambda name: self.tracker.prefill_s(name, NOW_S),
            self._describe,
            _no_remote,
        )
        place_in_cells(PROFILE, pool, prompt, self.random)

    def _describe(self, name: str, position: float) -> EngineCandidate:
        return EngineCandidate(name, self.tracker.load(name, NOW_S), False, position)


def _no_remote(name: str, _: CellSummary) -> EngineCandidate:
    raise AssertionError(f"{name} is an engine of another cell")


def build_node(engines: int, peers: int) -> Node:
    """Return a node that has received a load update of each peer."""
    random = Random(1)
    engine_names = tuple(f"engine-{number}" for number in range(engines))
    tracker = LoadTracker("node")
    for peer in range(peers):
        tracker.merge(build_update(f"node-{peer}", engine_names, random), NOW_S)
    return Node(tracker, engine_names, peers, random)


def build_update(
    node: str, engine_names: tuple[str, ...], random: Random
) -> LoadUpdate:
    """Return the load update of a node with some open requests."""
    prefill = Prefill(1, random.choice(engine_names), 0.05, False)
    open_work = {
        name: OpenWork(1, 6_000)
        for name in random.sample(engine_names, ENGINES_WITH_REQUESTS)
    }
    return LoadUpdate(node, (prefill,), (), open_work)


def log_line_us(lines: int) -> float:
    """Return the processor time to log and write one line, in microseconds."""
    saved_stdout = dup(STDOUT)
    null_file = open_file(devnull, O_WRONLY)
    dup2(null_file, STDOUT)
    flush = set_up_queued_logs("info", "node")
    log = PartLogger("request")
    started_s = process_time()
    for _ in range(lines):
        log.info("Sent.", "attempt", upstream="engine-1", open=3, part_s=0.05)
    flush()
    elapsed_s = process_time() - started_s
    dup2(saved_stdout, STDOUT)
    close(null_file)
    return elapsed_s / lines * 1e6


@command(name="forwarding_cost")
@dataclass
class ForwardingCost:
    """Measure the processor time of single steps.

    Attributes:
        repetitions: Number of repetitions of each step.
    """

    repetitions: Annotated[int, Arg(long=True)] = 1000

    def __call__(self) -> None:
        """Run the command."""
        for engines, peers in SIZES:
            node = build_node(engines, peers)
            for name, prompt in PROMPTS.items():
                label = f"{name} prompt, {engines} engines, {peers} peers"
                self._measure(label, lambda n=node, p=prompt: n.place(p))
            message = encode(build_update("node", node.engine_names, node.random))
            print(f"update to one peer: {len(message)} bytes")
        print(f"log line, with its writing: mean {log_line_us(LOG_LINES):.0f} us")

    def _measure(self, label: str, step: Callable[[], None]) -> None:
        durations_ns = HdrHistogram(1, MAX_NS, 3)
        for _ in range(self.repetitions):
            started_ns = thread_time_ns()
            step()
            durations_ns.record_value(max(1, thread_time_ns() - started_ns))
        mean_us = durations_ns.get_mean_value() / 1000
        p99_us = durations_ns.get_value_at_percentile(99) / 1000
        print(f"{label}: mean {mean_us:.0f} us, p99 {p99_us:.0f} us")


if __name__ == "__main__":
    parse(ForwardingCost)()
