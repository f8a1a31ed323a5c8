"""Steps for upstreams that limit their requests."""

from concurrent.futures import ThreadPoolExecutor
from random import Random
from time import monotonic, sleep

from behave import given, then, when

from features.steps.platform_node_steps import start_nodes
from features.support.fleet import HttpAnswer
from features.support.limit_fleet import UPSTREAM, WINDOW_S, LimitFleet
from features.support.platform_fleet import send
from lagoonhinge_core.forwarding.messages import (
    LimitNotice,
    NoLimit,
    RequestLimit,
    UnreadableLimit,
)
from lagoonhinge_core.forwarding.request_limits import RequestLimits, StatedLimit
from lagoonhinge_platform.names import ATTEMPT_ID, RETRY_AFTER

DURATION_S = 60.0
STABLE_S = 3.0  # after which a limit holds
SENDERS = 32


@given("{count:d} nodes on the platform with two workers for each service")
def step_nodes(context, count):
    start_nodes(context, count)


def send_requests(context, rate: int, duration_s: int, target: str) -> None:
    """Send requests to all nodes in turn; keeps the answers and how long they took."""
    nodes = context.fleet.nodes
    started_s = monotonic()

    def send_one(number: int) -> tuple[HttpAnswer | None, float]:
        sleep(max(0.0, started_s + number / rate - monotonic()))
        sent_s = monotonic()
        headers = {ATTEMPT_ID: f"attempt-{number}"}
        answer = send(nodes[number % len(nodes)], "GET", target, headers=headers)
        return answer, monotonic() - sent_s

    with ThreadPoolExecutor(SENDERS) as pool:
        context.answers = list(pool.map(send_one, range(duration_s * rate)))


@when("{workers} a limit of {limit}, and {rate:d} requests a second are sent for 9 s")
def step_limit(context, workers, limit, rate):
    for name in workers.split():
        if name in context.fleet.workers:
            context.fleet.workers[name].put_faults(limit=limit)
    send_requests(context, rate, 9, "/read/1")


@then("every request is answered with {status:d}")
def step_all_answered(context, status):
    others = [a for a, _ in context.answers if a is None or a.status != status]
    assert not others, others


@then(
    "{worker} got at most {most:d} requests in any 4 s from 3 s on, and at least "
    "{least:d} in all"
)
def step_within_limit(context, worker, most, least):
    arrivals_s = context.fleet.worker_record(worker)["arrivals_s"]
    assert len(arrivals_s) >= least, arrivals_s
    from_s = arrivals_s[0] + STABLE_S
    counts = [
        sum(end_s - WINDOW_S < at_s <= end_s for at_s in arrivals_s)
        for end_s in arrivals_s
        if end_s >= from_s
    ]
    assert max(counts, default=0) <= most, counts


@then("the other requests are refused with 503 and a Retry-After within {most_s:g} s")
def step_refused(context, most_s):
    refused = [(a, took_s) for a, took_s in context.answers if a.status != 200]
    assert refused
    assert all(a.status == 503 and RETRY_AFTER in a.headers for a, _ in refused)
    assert max(took_s for _, took_s in refused) <= most_s, refused


@given(
    "a cell of {nodes:d} nodes with {demand:d} requests a second each, of whose "
    "messages {loss:d} of 100 are lost"
)
def step_cell(context, nodes, demand, loss):
    context.cell = (nodes, demand, loss / 100)


@when("an upstream names a limit of {limit:g}, and {fault}, for 60 s and 3 seeds")
def step_cell_limit(context, limit, fault):
    nodes, demand, loss = context.cell
    context.cell_limit = limit
    context.fleets = []
    for seed in range(3):
        fleet = LimitFleet(nodes, limit, demand, loss, Random(seed))
        # Without messages before, every node would take itself for the only one.
        for name, node in fleet.by_name.items():
            node.heard_s = {other: 0.0 for other in fleet.by_name if other != name}
        context.fleets.append(fleet)
        while fleet.now_s < DURATION_S:
            match fault.split():
                case ["nothing", "happens"]:
                    fleet.run(DURATION_S)
                case ["a", "sender", *_, gap_s, "s"]:
                    fleet.run(float(gap_s))
                    fleet.restart(fleet.last_sender())
                case [part, *_, gap_s, "s"]:
                    fleet.run(float(gap_s))
                    for name in sorted(fleet.by_name)[:: 2 if part == "half" else 1]:
                        fleet.restart(name)


@then("in any 4 s the upstream got at most 1.5 times the limit and 5 more")
def step_cell_windows(context):
    most = [fleet.most_in_window() for fleet in context.fleets]
    assert max(most) <= 1.5 * context.cell_limit * WINDOW_S + 5, most


@then(
    "it got at least {share:g} of the limit, and at most 1.2 times the limit and 3 for "
    "each node"
)
def step_cell_share(context, share):
    allowed = context.cell_limit * DURATION_S
    sent = [fleet.sent for fleet in context.fleets]
    nodes = len(context.fleets[0].by_name)
    assert min(sent) >= share * allowed, sent
    assert max(sent) <= 1.2 * allowed + 3 * nodes, sent


def _notice(text: str) -> LimitNotice:
    match text:
        case "none":
            return NoLimit()
        case "damaged":
            return UnreadableLimit(text)
    return RequestLimit(float(text))


@given("a node to which an upstream says {own} of its limit")
def step_statements(context, own):
    context.limits = RequestLimits("n0")
    for statement in () if own == "nothing" else own.split(", "):
        at_s, _, text = statement.partition(": ")
        context.limits.record_answer(UPSTREAM, _notice(text), float(at_s))


@when("a peer was told {other} of it {age:g} s before, at time 10")
def step_other_statement(context, other, age):
    if other != "nothing":
        context.limits.merge((StatedLimit(UPSTREAM, float(other), age),), 10.0)


@then("the limit is {limit} requests a second, and {statements} is sent to peers")
def step_limit_in_force(context, limit, statements):
    expected = None if limit == "none" else float(limit)
    assert context.limits.limit_per_s(UPSTREAM) == expected
    sent = [entry.per_s for entry in context.limits.own_statements(10.0)]
    texts = {"nothing": [], "none": [None]}
    assert sent == texts.get(statements, [expected]), sent
