"""Steps for previews of placements."""

from asyncio import sleep
from random import Random
from subprocess import run
from sys import executable

from behave import given, then, when
from msgspec import json

from features.support.notice_fleet import DESK, MODELS, FakeUpstream, NoticeFleet
from features.support.platform_fleet import KEY
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.forwarding.messages import PromptSize, RequestLimit
from lagoonhinge_core.forwarding.routes import (
    Idempotent,
    Route,
    RouteTable,
    WeightedService,
)
from lagoonhinge_core.forwarding.site_config import CallerLimits, SiteConfig
from lagoonhinge_core.forwarding.site_store import TableRow
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.placement_preview import (
    PlacementPreview,
    PlacementQuery,
)
from lagoonhinge_node.forwarding.site_controllers import EvacuationController

ANSWER_TOKENS = 100
HOST = "h"


@given("a node in virtual time with {state}")
def step_node(context, state):
    context.loop = loop = VirtualLoop()
    upstreams = {name: FakeUpstream(DESK) for name in ("d0", "d1")}
    upstreams |= {name: FakeUpstream(MODELS) for name in ("m0", "m1")}
    context.virtual_fleet = fleet = NoticeFleet(loop, Random(1), ("n0",), upstreams)
    loop.run_until_complete(fleet.start_node("n0"))
    context.node = node = fleet.nodes["n0"]
    serving = node.serving
    serving.freshness.confirm(loop.time())
    _put_routes(serving)
    engines = [serving.directory.by_instance[name] for name in ("m0", "m1")]
    now_s = loop.time()
    match state.split(", ")[1:]:
        case ["one of them leaving"]:
            serving.leaving_notices.record(engines[0])
        case ["one of them limited"]:
            serving.request_limits.record_answer("m0", RequestLimit(2.0), now_s)
        case ["all paused"]:
            for engine in engines:
                serving.pauses.record(engine, 3.0, now_s)
        case ["all evacuated"]:
            rows = (TableRow("north", b"", 1),)
            EvacuationController(serving).apply(rows)


def _put_routes(serving) -> None:
    """Let the configuration have a route to each service."""
    config = serving.board.read(SiteConfigSection).config
    routes = RouteTable(
        Route(
            service,
            HOST,
            f"/{service}/",
            Idempotent(),
            (WeightedService(service, 1.0),),
            4.0,
            1.0,
            3,
            public=True,
        )
        for service in (DESK, MODELS)
    )
    changed = SiteConfig(2, routes, config.services, {}, CallerLimits(), True)
    serving.board.sections[SiteConfigSection] = SiteConfigSection(changed)


def _state(serving) -> object:
    """Return the part of the state that a placement could change."""
    return (
        serving.random.getstate(),
        serving.rotation_index,
        dict(serving.request_limits.permits.counts),
        dict(serving.load.own_work),
        dict(serving.pauses.until_s),
        {name: len(queue.pending) for name, queue in serving.load.queues.items()},
        serving.open_requests,
        json.encode(serving.health.records),
    )


@when("the placement of {tokens:d} tokens is previewed")
def step_preview(context, tokens):
    serving = context.node.serving
    context.tokens = tokens
    service = MODELS if tokens else DESK
    query = PlacementQuery(HOST, f"/{service}/", "", tokens, ANSWER_TOKENS)
    before = _state(serving)
    context.report = PlacementPreview(serving).preview(query)
    context.is_unchanged = before == _state(serving)


@then('the outcome is {outcome}, because of "{reason}"')
def step_outcome(context, outcome, reason):
    assert context.report.outcome == outcome, context.report
    found = context.report.reason or "-"
    assert reason in found, context.report


@then("the node's state is as before")
def step_unchanged(context):
    assert context.is_unchanged


@then("a request sent right after goes where the preview says")
def step_sent(context):
    fleet, report = context.virtual_fleet, context.report
    size = PromptSize(context.tokens, ANSWER_TOKENS) if context.tokens else None
    # The request's own choice of a service draws a number first.
    context.node.serving.random.random()

    async def send() -> None:
        context.node.start_request(size)
        await sleep(0)
        await sleep(0)

    before = len(fleet.sends)
    context.loop.run_until_complete(send())
    sends = [run.instance for _, _, run in fleet.sends[before:]]
    assert sends == ([report.upstream] if report.outcome == "sent" else []), sends
    context.loop.run_until_complete(context.node.stop())


@then('lagoonctl place "{words}" exits with {status:d} and prints "{text}"')
def step_command(context, words, status, text):
    node = context.fleet.nodes[0]
    arguments = [
        {
            "NODE": f"127.0.0.1:{node.operator_port}",
            "READY": f"127.0.0.1:{node.control_port}",
        }.get(word, word)
        for word in words.split()
    ]
    command = (executable, "-m", "lagoonhinge_ctl.main", "place", *arguments)
    done = run(command, capture_output=True, text=True, timeout=20)
    output = done.stdout + done.stderr
    assert done.returncode == status, (done.returncode, output)
    assert text in output, output
    context.outputs = [*getattr(context, "outputs", []), output]


@then("no output has the key of a client account, and no worker got a request")
def step_no_key(context):
    assert not any(KEY in output for output in context.outputs)
    assert context.fleet.runs() == []
