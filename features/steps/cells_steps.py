"""Steps for cells of nodes and their upstreams; no process is started."""

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

REPORT_BY_STATE = {
    "all well": UpstreamReport(),
    "all leaving": UpstreamReport(leaving=True),
    "all unreachable": UpstreamReport(reachable=False),
    "all but one unreachable": UpstreamReport(reachable=False),
}


def make_board(cells: int, engines: int) -> Blackboard:
    """Return the blackboard of a node in cell 0."""
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
    """Engines that count reads of cache events by URL."""

    def __init__(self):
        self.reads = Counter()

    async def cache_events(self, url, after_seq, timeout_s):
        self.reads[url] += 1
        return Success(CacheEvents("boot", (), 0))


@given("a zone of {cells:d} cells and {engines:d} engines, this node in cell 0")
def step_zone_of_cells(context, cells, engines):
    context.cell_board = make_board(cells, engines)
    names = context.cell_board.read(ConfigSection).config.upstreams
    context.own = {name for name in names if owning_cell(name, cells) == 0}
    context.others = set(names) - context.own


@when("the engines of this cell are {state}")
def step_cell_state(context, state):
    reports = dict.fromkeys(sorted(context.own), REPORT_BY_STATE[state])
    if state == "all but one unreachable":
        reports[min(context.own)] = UpstreamReport()
    context.cell_board.writer(UpstreamsSection(reports), "test")


@then("the candidates are those of {owner}")
def step_candidates_of(context, owner):
    expected = {
        "the zone": context.own | context.others,
        "this cell": context.own,
        "the other cells": context.others,
        "one engine": {min(context.own)},
    }[owner]
    candidates = find_candidates(context.cell_board, InFlightLedger(), "s")
    assert {candidate.name for candidate in candidates} == expected, candidates


@then("{engines:d} engines over {cells:d} cells leave no cell with more than {limit:d}")
def step_ownership_balanced(context, engines, cells, limit):
    counts = Counter(owning_cell(f"engine-{i}", cells) for i in range(engines))
    assert counts.total() == engines
    assert set(counts) == set(range(cells)), counts
    assert max(counts.values()) <= limit, counts


@when("cache events are polled {times:d} times")
def step_read_events(context, times):
    engines = CountingEngines()
    controller = CacheController(context.cell_board, engines, PrefixIndex())
    context.reads = []
    for _ in range(times):
        engines.reads.clear()
        run(controller.poll())
        context.reads.append(set(engines.reads))


@then("no poll read from more than {limit:d} engines, and every engine was read")
def step_bounded_reads(context, limit):
    assert max(len(reads) for reads in context.reads) <= limit
    upstreams = context.cell_board.read(ConfigSection).config.upstreams
    urls = {upstream.url for upstream in upstreams.values()}
    assert set.union(*context.reads) == urls
