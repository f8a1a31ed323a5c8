"""Steps for upstreams that are leaving."""

from asyncio import run
from dataclasses import replace
from random import Random

from behave import given, then, when
from msgspec import json
from returns.result import Success

from features.support.callers import Completion, post_completion
from features.support.fleet import ZONES, Fleet, base_text, http, overlay_text
from features.support.waiting import eventually
from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import (
    Config,
    ModelConfig,
    ModelService,
    UpstreamConfig,
)
from lagoonhinge_core.engine_messages import LoadReport
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.leaving import LeavingMarks
from lagoonhinge_core.membership import UPSTREAM_ROLE
from lagoonhinge_core.peer_messages import PeerDigest, leaving_mark
from lagoonhinge_core.sections import (
    ConfigSection,
    Member,
    MembersSection,
    NodeSection,
    Readiness,
    VmsSection,
)
from lagoonhinge_core.store_messages import VmEntry, VmState
from lagoonhinge_node.clock import SystemClock
from lagoonhinge_node.membership_controller import (
    EXCHANGE_TIMEOUT_S,
    JITTER_SHARE,
    VM_LIST_INTERVAL_S,
)
from lagoonhinge_node.upstream_controller import (
    REPORT_INTERVAL_S,
    UpstreamController,
)

NAME = "engine-1"
ADDRESS = "10.0.0.1:80"
UPSTREAM = UpstreamConfig(f"http://{ADDRESS}", "z", "assistant")
REPORT = LoadReport(0.0, 0, 0, 0, 0, 1, False, "boot")
ENGINES = 40
DETECTION_LIMIT_S = 3.0
REQUESTS = 6
PROMPT = "Winding specification"


@given("leaving marks for one upstream of generation 1")
def step_marks(context):
    context.marks = LeavingMarks()
    context.upstreams = {NAME: UPSTREAM}
    context.digests = ()
    context.marks.configure(context.upstreams)


@when('the marks receive "{events}"')
def step_apply_events(context, events):
    marks = context.marks
    for event in events.split(", "):
        match event.split():
            case ["list", "without", "it"]:
                marks.apply_vm_list(context.upstreams, VmsSection())
            case ["list", "live"]:
                marks.apply_vm_list(context.upstreams, VmsSection(live=(ADDRESS,)))
            case ["list", "leaving", vm]:
                vms = VmsSection(leaving=((ADDRESS, vm),))
                marks.apply_vm_list(context.upstreams, vms)
            case ["report", state, generation]:
                load = replace(REPORT, leaving=state == "leaving")
                marks.apply_report(NAME, int(generation), load)
            case ["peer", "marks", generation]:
                mark = leaving_mark(NAME, int(generation))
                digest = PeerDigest("vm/1", 1, "a", "z", 1, leaving=(mark,))
                context.digests = (digest,)
            case ["peer", "unmarks"]:
                context.digests = ()
            case ["generation", generation]:
                upstream = replace(UPSTREAM, generation=int(generation))
                context.upstreams = {NAME: upstream}
                marks.configure(context.upstreams)
            case ["removed"]:
                marks.configure({})
            case _:
                raise AssertionError(event)


@then("that upstream is {status}")
def step_leaving_status(context, status):
    leaving = context.marks.leaving(context.digests)
    assert (NAME in leaving) == (status == "leaving"), context.marks.by_name


def _controller(
    own: str, cell: tuple[str, ...], down: set[str], engines=None
) -> UpstreamController:
    board = Blackboard()
    upstreams = {f"engine-{n}": UPSTREAM for n in range(ENGINES)}
    config = Config(
        zones=("z",),
        models={"m": ModelConfig()},
        services={"assistant": ModelService("m")},
        upstreams=upstreams,
    )
    members = {
        vm: Member(NodeId(vm, 1), f"{vm}:1", "z", vm not in down, 0.0)
        for vm in cell
        if vm != own
    }
    node = NodeSection(NodeId(own, 1), "s", "z", Readiness.READY, 0.0)
    board.writer(node, "test")
    board.writer(ConfigSection(1, "d", config), "test")
    board.writer(MembersSection(members, cell), "test")
    return UpstreamController(board, engines, SystemClock())


class _LeavingEngines:
    """Engines that all report that they are leaving."""

    async def load(self, url, timeout_s):
        return Success(replace(REPORT, leaving=True))


@when("an engine of a node reports twice that it is leaving")
def step_report_twice(context):
    context.notified_marks = []
    controller = _controller("vm-0", ("vm-0",), set(), _LeavingEngines())
    controller.on_own_marks.append(
        lambda: context.notified_marks.append(controller.marks.own_marks())
    )
    controller.refresh()
    for _ in range(2):
        run(controller.poll_engine(NAME, UPSTREAM))
        controller.refresh()


@then("the node notifies its peers once, and its digest carries the mark")
def step_notified_once(context):
    assert context.notified_marks == [(leaving_mark(NAME, 1),)], context.notified_marks


@when("the engines of a cell of {nodes:d} nodes, {down:d} of them down, are divided")
def step_divide(context, nodes, down):
    cell = tuple(f"vm-{n}" for n in range(nodes))
    down_vms = set(Random(1).sample(cell, down))
    context.polled_by_node = [
        [name for name, _ in _controller(vm, cell, down_vms).assigned_engines()]
        for vm in cell
        if vm not in down_vms
    ]


@then("each engine is polled by {pollers:d} live nodes")
def step_polled(context, pollers):
    for n in range(ENGINES):
        poller_count = sum(f"engine-{n}" in polled for polled in context.polled_by_node)
        assert poller_count == pollers, (n, poller_count)


@then("an upstream that leaves by {source} is detected by every node within 3 s")
def step_within_limit(context, source):
    slowest = 1 + JITTER_SHARE
    delays_s = {
        "the platform's list": VM_LIST_INTERVAL_S * slowest,
        "its own report": REPORT_INTERVAL_S,
        "a peer": REPORT_INTERVAL_S,
    }
    # Peers are notified at once; each delay allows for a message at its timeout.
    assert delays_s[source] + EXCHANGE_TIMEOUT_S < DETECTION_LIMIT_S, delays_s


@given("a running fleet of 2 nodes whose 2 engines are known to the platform")
def step_engines_fleet(context):
    context.fleet = fleet = Fleet()
    fleet.start_platform("--vm-list-lag-s=0.2")
    for _ in range(2):
        fleet.start_engine()
    fleet.start_nodes([ZONES[0]] * 2)
    folder = fleet.write_config(base_text(), overlay_text(fleet))
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr
    _list_engines(fleet, VmState.LIVE)


def _list_engines(fleet: Fleet, state_of_first: VmState) -> None:
    states = (state_of_first, VmState.LIVE)
    vms = [
        VmEntry(f"vm-{e.name}", ZONES[0], f"127.0.0.1:{e.port}", UPSTREAM_ROLE, state)
        for e, state in zip(fleet.engines, states, strict=True)
    ]
    url = f"{fleet.platform.url}/control/vms"
    assert http("PUT", url, json.encode(vms)).status == 200


@when("one engine is leaving by {source}")
def step_engine_leaves(context, source):
    fleet = context.fleet
    leaving_engine = fleet.engines[0]
    context.reports_leaving = source == "its own report"
    match source:
        case "the platform's list":
            _list_engines(fleet, VmState.LEAVING)
        case "its own report":
            leaving_engine.put_faults(leaving=True)
        case "the configuration":
            table = f"[upstreams.{leaving_engine.name}]\n"
            overlay = overlay_text(fleet).replace(table, f'{table}mode = "draining"\n')
            folder = fleet.write_config(base_text(), overlay)
            applied = fleet.ctl("config", "apply", str(folder))
            assert applied.returncode == 0, applied.stderr
        case _:
            raise AssertionError(source)


@then("both nodes detect it, serve every request, and send it no new requests")
def step_no_new_requests(context):
    fleet = context.fleet
    name = fleet.engines[0].name

    def detected():
        for node in fleet.nodes:
            state = fleet.state(node)
            mode = state["ConfigSection"]["config"]["upstreams"][name]["mode"]
            leaving = state["UpstreamsSection"]["reports"][name]["leaving"]
            assert leaving or mode == "draining", state["UpstreamsSection"]

    eventually(detected)
    # From here on, a request that reaches the first engine crashes it.
    faults = {"leaving": context.reports_leaving, "crash_marker": PROMPT}
    fleet.engines[0].put_faults(**faults)
    for number in range(REQUESTS):
        node = fleet.nodes[number % 2]
        answer = post_completion(node, Completion(f"{PROMPT} {number}", 4))
        assert answer.status == 200, answer
    assert fleet.engines[0].popen.poll() is None
