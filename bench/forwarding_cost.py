"""Processor time of the forwarding path's decisions, news and log lines."""

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
from lagoonhinge_core.forwarding.engine_sampling import sample_engines
from lagoonhinge_core.forwarding.load_tracker import (
    LoadTracker,
    LoadUpdate,
    OpenWork,
    Prefill,
)
from lagoonhinge_core.forwarding.prompt_placement import (
    EngineCandidate,
    Prompt,
    is_short,
    place_prompt,
)
from lagoonhinge_http.wire import encode
from lagoonhinge_node.logs import PartLogger, set_up_queued_logs

PROMPTS = {
    "short": Prompt(4_960, 1_200, 0.3, 10.0),
    "long": Prompt(182_000, 700, 3.0, 15.0),
}
SIZES = ((16, 8), (78, 86))  # engines and peers of the users' sites, and once grown
NOW_S = 1.0
MAX_NS = 1_000_000_000
STDOUT = 1  # file descriptor
LINES = 2000  # well within the queue
OPEN_ENGINES = 4  # of a peer, at the mean load


@dataclass(frozen=True)
class Node:
    """What one node knows, and the engines that it places prompts on."""

    book: LoadTracker
    names: tuple[str, ...]
    peers: int
    random: Random

    def place(self, prompt: Prompt) -> None:
        """Decide once."""
        short = is_short(PROFILE, prompt)
        placed = sample_engines(self.names, short, self.peers, self.random)
        engines = tuple(
            EngineCandidate(name, self.book.load(name, NOW_S), False, place)
            for place, name in placed
        )
        place_prompt(PROFILE, engines, prompt)


def build_node(engines: int, peers: int) -> Node:
    """Return a node that has heard of all its peers."""
    random = Random(1)
    names = tuple(f"engine-{number}" for number in range(engines))
    book = LoadTracker("node")
    for peer in range(peers):
        book.merge(news_of(f"node-{peer}", names, random), NOW_S)
    return Node(book, names, peers, random)


def news_of(node: str, names: tuple[str, ...], random: Random) -> LoadUpdate:
    """Return the news of a peer with some open requests."""
    reading = Prefill(1, random.choice(names), 0.05, False)
    open_work = {
        name: OpenWork(1, 6_000) for name in random.sample(names, OPEN_ENGINES)
    }
    return LoadUpdate(node, (reading,), (), open_work)


def log_line_us(lines: int) -> float:
    """Return the processor time of a log line and its writing, in microseconds."""
    shown = dup(STDOUT)
    unread = open_file(devnull, O_WRONLY)
    dup2(unread, STDOUT)
    flush = set_up_queued_logs("info", "node")
    log = PartLogger("request")
    begun_s = process_time()
    for _ in range(lines):
        log.info("Sent.", "attempt", upstream="engine-1", open=3, part_s=0.05)
    flush()
    took_s = process_time() - begun_s
    dup2(shown, STDOUT)
    close(unread)
    return took_s / lines * 1e6


@command(name="forwarding_cost")
@dataclass
class ForwardingCost:
    """Measure the processor time of single steps.

    Attributes:
        repetitions: Repetitions of each step.
    """

    repetitions: Annotated[int, Arg(long=True)] = 1000

    def __call__(self) -> None:
        """Run the command."""
        for engines, peers in SIZES:
            node = build_node(engines, peers)
            for name, prompt in PROMPTS.items():
                what = f"{name} prompt, {engines} engines, {peers} peers"
                self._measure(what, lambda n=node, p=prompt: n.place(p))
            message = encode(news_of("node", node.names, node.random))
            print(f"news to one peer: {len(message)} bytes")
        print(f"log line, with its writing: mean {log_line_us(LINES):.0f} us")

    def _measure(self, what: str, step: Callable[[], None]) -> None:
        times = HdrHistogram(1, MAX_NS, 3)
        for _ in range(self.repetitions):
            begun_ns = thread_time_ns()
            step()
            times.record_value(max(1, thread_time_ns() - begun_ns))
        mean_us = times.get_mean_value() / 1000
        p99_us = times.get_value_at_percentile(99) / 1000
        print(f"{what}: mean {mean_us:.0f} us, p99 {p99_us:.0f} us")


if __name__ == "__main__":
    parse(ForwardingCost)()
