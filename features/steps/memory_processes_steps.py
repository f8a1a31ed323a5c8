"""Steps that leave work behind on engines, with real processes."""

from contextlib import closing
from socket import create_connection
from time import monotonic, sleep

from behave import given, then, when

from features.support.callers import Completion
from features.support.fleet import (
    ZONES,
    Fleet,
    account_key,
    base_text,
    http,
    overlay_text,
)

SLOW = "--decode-tokens-per-s=5"
LONG_BOUND = base_text().replace("base_s = 30.0", "base_s = 600.0")
COMPLETION = Completion("Season audit. " * 50, max_tokens=1500, is_streamed=True)
START_TIMEOUT_S = 20.0


@given("a running node and 2 engines that answer slowly")
def step_fleet(context):
    fleet = context.fleet = Fleet()
    fleet.start_platform()
    fleet.start_engine(SLOW)
    fleet.start_engine(SLOW)
    fleet.start_nodes(ZONES[:1])
    folder = fleet.write_config(LONG_BOUND, overlay_text(fleet))
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr


@when("a caller's stream is running and {event}")
def step_event(context, event):
    node = context.fleet.nodes[0]
    with closing(create_connection(("127.0.0.1", node.port), 5.0)) as caller:
        _begin(context.fleet, caller)
        match event:
            case "the node is killed and started again":
                node.kill()
                again = (ZONES[0], node.port, node.control_port, node.control)
                context.fleet.nodes = []
                context.fleet.start_node(*again)
                context.fleet.wait_started()
            case "the caller goes away while engines lose 2 release replies":
                for engine in context.fleet.engines:
                    engine.put_faults(lose_release_replies=2)
    if event.endswith("stopped at once"):
        context.exit_status = node.terminate()


def _begin(fleet, caller):
    body = COMPLETION.body()
    head = (
        f"POST {COMPLETION.path()} HTTP/1.1",
        "Host: node",
        f"Authorization: Bearer {account_key('tube-mills')}",
        f"Content-Length: {len(body)}",
        "",
        "",
    )
    caller.sendall("\r\n".join(head).encode() + body)
    until = monotonic() + START_TIMEOUT_S
    while b"data: " not in caller.recv(65536):
        assert monotonic() < until
    assert _held(fleet) > 0


def _held(fleet) -> int:
    return sum(
        http("GET", f"{engine.url}/control/ledger").json()["used_tokens"]
        for engine in fleet.engines
    )


@then("the engines hold nothing within {bound:d} s, long before the stream's expiry")
def step_nothing(context, bound):
    until = monotonic() + bound
    while _held(context.fleet) > 0:
        assert monotonic() < until, [
            http("GET", f"{engine.url}/v1/holdings").body
            for engine in context.fleet.engines
        ]
        sleep(0.1)


@then("the reaper had nothing to do")
def step_no_findings(context):
    assert (
        context.fleet.state(context.fleet.nodes[0])["ReaperSection"]["findings"] == []
    )


@then("the reaper found a stream")
def step_found(context):
    section = context.fleet.state(context.fleet.nodes[0])["ReaperSection"]
    kinds = [finding["kind"] for finding in section["findings"]]
    assert kinds == ["stream"], section


@then("the node ended well")
def step_ended(context):
    assert context.exit_status == 0, context.exit_status
