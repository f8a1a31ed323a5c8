"""Steps on cells of nodes and their upstreams; no process is started."""

from asyncio import run
from collections import Counter

from behave import given, then, when
from returns.result import Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.cells import owning_cell
from lagoonhinge_core.config import Config, ModelConfig, ModelService, UpstreamConfig
from lagoonhinge_core.engine_messages import CacheEvents
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.prefix_index import PrefixIndex
from lagoonhinge_core.sections import (
    ConfigSection,
    MembersSection,
    NodeSection,
    Readiness,
    UpstreamReport,
    UpstreamsSection,
)
from lagoonhinge_node.cache_controller import CacheController
from lagoonhinge_node.candidates import find_candidates

STATES = {
    "all well": UpstreamReport(),
    "all leaving": UpstreamReport(leaving=True),
    "all unreachable": UpstreamReport(reachable=False),
    "unreachable but for one": UpstreamReport(reachable=False),
}


def board_of(cells: int, engines: int) -> Blackboard:
    """Return the board of a node in cell 0."""
    board = Blackboard()
    upstreams = {
        f"engine-{i}": UpstreamConfig(f"http://h:{i}", "z", "s", kv_tokens=1)
        for i in range(engines)
    }
    services = {"s": ModelService("m")}
    config = Config(("z",), {"m": ModelConfig()}, services, upstreams=upstreams)
    node = NodeSection(NodeId("vm", 1), "site", "z", Readiness.READY, 0.0)
    sections = (
        ConfigSection(1, "", config),
        node,
        MembersSection(cell_number=0, cell_count=cells),
    )
    for section in sections:
        board.writer(section, "test")
    return board


class CountingEngines:
    """Engines that count who was asked for cache events."""

    def __init__(self):
        self.asked = Counter()

    async def cache_events(self, url, after_seq, timeout_s):
        self.asked[url] += 1
        return Success(CacheEvents("boot", (), 0))


@given("a zone of {cells:d} cells and {engines:d} engines, this node in cell 0")
def step_zone_of_cells(context, cells, engines):
    context.cell_board = board_of(cells, engines)
    names = context.cell_board.read(ConfigSection).config.upstreams
    context.own = {name for name in names if owning_cell(name, cells) == 0}
    context.others = set(names) - context.own


@when("the engines of this cell are {state}")
def step_cell_state(context, state):
    reports = dict.fromkeys(sorted(context.own), STATES[state])
    if state == "unreachable but for one":
        reports[min(context.own)] = UpstreamReport()
    context.cell_board.writer(UpstreamsSection(reports), "test")


@then("the candidates are those of {whose}")
def step_candidates_of(context, whose):
    expected = {
        "the zone": context.own | context.others,
        "this cell": context.own,
        "the other cells": context.others,
        "the one": {min(context.own)},
    }[whose]
    found = find_candidates(context.cell_board, InFlightLedger(), "s")
    assert {candidate.name for candidate in found} == expected, found


@then("{engines:d} engines over {cells:d} cells leave no cell more than {most:d}")
def step_shared_fairly(context, engines, cells, most):
    counts = Counter(owning_cell(f"engine-{i}", cells) for i in range(engines))
    assert counts.total() == engines
    assert set(counts) == set(range(cells)), counts
    assert max(counts.values()) <= most, counts


@when("cache events are read {times:d} times")
def step_read_events(context, times):
    engines = CountingEngines()
    controller = CacheController(context.cell_board, engines, PrefixIndex())
    context.asked = []
    for _ in range(times):
        engines.asked.clear()
        run(controller.poll())
        context.asked.append(set(engines.asked))


@then("no reading asked more than {most:d} engines, and every engine was asked")
def step_bounded_reads(context, most):
    assert max(len(asked) for asked in context.asked) <= most
    upstreams = context.cell_board.read(ConfigSection).config.upstreams
    urls = {upstream.url for upstream in upstreams.values()}
    assert set.union(*context.asked) == urls
