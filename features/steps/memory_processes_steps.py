"""Steps that leave unfinished work on engines, with real processes."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from signal import SIGCONT, SIGSTOP
from socket import create_connection
from time import monotonic, sleep

from behave import given, then, when

from features.support.callers import (
    SEED,
    Completion,
    completion_text,
    post_completion,
)
from features.support.fleet import (
    ZONES,
    Fleet,
    account_key,
    base_text,
    http,
    overlay_text,
)
from lagoonhinge_core.store_messages import VmEntry, VmState
from lagoonhinge_http.wire import encode
from stand_ins.answers import whole_answer

FAST_GOSSIP = "--gossip-interval-s=0.3"
SLOW_DECODE = "--decode-tokens-per-s=5"
CONFIG_WITH_LONG_TIME_BOUND = base_text().replace("base_s = 30.0", "base_s = 600.0")
STREAMED_COMPLETION = Completion(
    "Season audit. " * 50, max_tokens=1500, is_streamed=True
)
WHOLE_COMPLETION = Completion("Batch dossier. " * 50, max_tokens=150)
START_TIMEOUT_S = 20.0


@given("a running node and 2 engines that answer slowly")
def step_fleet(context):
    _start_fleet(context, 1)


@given("two nodes that the platform lists and 2 engines that answer slowly")
def step_listed_fleet(context):
    _start_fleet(context, 2)
    _list_vms(context.fleet, context.fleet.nodes)
    context.pool = ThreadPoolExecutor(1)
    context.add_cleanup(context.pool.shutdown)


def _list_vms(fleet, nodes):
    entries = [
        VmEntry(node.name, ZONES[0], node.control_address, "entry", VmState.LIVE)
        for node in nodes
    ]
    answer = http("PUT", f"{fleet.platform.url}/control/vms", encode(entries))
    assert answer.status == 200, answer


def _start_fleet(context, nodes):
    fleet = context.fleet = Fleet()
    fleet.start_platform()
    fleet.start_engine(SLOW_DECODE)
    fleet.start_engine(SLOW_DECODE)
    fleet.start_nodes(ZONES[:1] * nodes, FAST_GOSSIP)
    folder = fleet.write_config(CONFIG_WITH_LONG_TIME_BOUND, overlay_text(fleet))
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr


@when("a caller's stream is running and {event}")
def step_event(context, event):
    node = context.fleet.nodes[0]
    with closing(create_connection(("127.0.0.1", node.port), 5.0)) as caller:
        _start_stream(context.fleet, caller)
        match event:
            case "the node is killed and restarted":
                node.kill()
                node_arguments = (
                    ZONES[0],
                    node.port,
                    node.control_port,
                    node.control_address,
                )
                context.fleet.nodes = []
                context.fleet.start_node(*node_arguments)
                context.fleet.wait_started()
            case "the first node is killed and its VM is delisted":
                node.kill()
                _list_vms(context.fleet, context.fleet.nodes[1:])
            case "the caller disconnects while engines lose 2 release replies":
                for engine in context.fleet.engines:
                    engine.put_faults(lose_release_replies=2)
    if event.endswith("stopped at once"):
        context.exit_status = node.terminate()


@when("a caller reads a whole answer of 30 s from the first node, which is suspended")
def step_suspend(context):
    node = context.fleet.nodes[0]
    context.answer = context.pool.submit(
        post_completion, node, WHOLE_COMPLETION, timeout_s=120.0
    )
    deadline_s = monotonic() + START_TIMEOUT_S
    while _used_tokens(context.fleet) == 0:
        assert monotonic() < deadline_s
        sleep(0.05)
    node.popen.send_signal(SIGSTOP)


@then(
    "after {wait:d} s the engines still hold the stream,"
    " though the second node receives no heartbeats of the first"
)
def step_still_held(context, wait):
    sleep(wait)
    first, second = context.fleet.nodes
    members = context.fleet.state(second)["MembersSection"]["members"]
    assert not members[first.name]["alive"], members
    assert _used_tokens(context.fleet) > 0


@then("when the first node is resumed the caller receives its whole answer")
def step_resumes(context):
    context.fleet.nodes[0].popen.send_signal(SIGCONT)
    answer = context.answer.result(120.0)
    expected = whole_answer(WHOLE_COMPLETION.prompt, WHOLE_COMPLETION.max_tokens, SEED)
    assert completion_text(WHOLE_COMPLETION, answer) == expected, answer


def _start_stream(fleet, caller):
    body = STREAMED_COMPLETION.body()
    head = (
        f"POST {STREAMED_COMPLETION.path()} HTTP/1.1",
        "Host: node",
        f"Authorization: Bearer {account_key('tube-mills')}",
        f"Content-Length: {len(body)}",
        "",
        "",
    )
    caller.sendall("\r\n".join(head).encode() + body)
    deadline_s = monotonic() + START_TIMEOUT_S
    while b"data: " not in caller.recv(65536):
        assert monotonic() < deadline_s
    assert _used_tokens(fleet) > 0


def _used_tokens(fleet) -> int:
    return sum(
        http("GET", f"{engine.url}/control/ledger").json()["used_tokens"]
        for engine in fleet.engines
    )


@then("the engines hold no memory within {bound:d} s, long before the stream's expiry")
def step_no_memory(context, bound):
    deadline_s = monotonic() + bound
    while _used_tokens(context.fleet) > 0:
        assert monotonic() < deadline_s, [
            http("GET", f"{engine.url}/v1/holdings").body
            for engine in context.fleet.engines
        ]
        sleep(0.1)


@then("the reaper found nothing")
def step_no_findings(context):
    assert (
        context.fleet.state(context.fleet.nodes[0])["ReaperSection"]["findings"] == []
    )


@then("the reaper found a stream")
def step_found(context):
    section = context.fleet.state(context.fleet.nodes[0])["ReaperSection"]
    kinds = [finding["kind"] for finding in section["findings"]]
    assert kinds == ["stream"], section


@then("the node exited with 0")
def step_exited(context):
    assert context.exit_status == 0, context.exit_status
