"""Steps about retries, staleness, event splitting, partitions and health."""

from random import Random

from behave import given, then, when

from features.support.serving import build_serving_state
from lagoonhinge_core.forwarding.attempts import (
    Declined,
    Failed,
    Lost,
    NotDelivered,
    RequestHistory,
    decide_after_failure,
)
from lagoonhinge_core.forwarding.event_splitter import (
    EventSplitter,
    has_fields,
    may_follow,
)
from lagoonhinge_core.forwarding.freshness import Freshness, FreshnessLimits
from lagoonhinge_core.forwarding.health import HealthTracker
from lagoonhinge_core.forwarding.retry_window import RetryBound, RetryWindow
from lagoonhinge_core.forwarding.routes import (
    AtMostOnce,
    EventStream,
    Idempotent,
    Route,
    WeightedService,
)
from lagoonhinge_core.forwarding.stop_schedule import plan_stop
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_core.forwarding.zone_partitions import (
    ZoneObservation,
    is_likely_partitioned,
)
from lagoonhinge_node.forwarding.reachability import ReachabilityController
from lagoonhinge_node.forwarding.serving_state import ServingState

NOW_S = 100.0
KINDS = {
    "idempotent": Idempotent(),
    "at most once": AtMostOnce(),
    "resumable": EventStream(True, 0.25),
    "stream": EventStream(False, 0.25),
}
FAILURES = {
    "not delivered": NotDelivered("refused"),
    "declined": Declined(503),
    "lost": Lost("reset"),
    "failed": Failed(500),
}
ENDINGS = {"lf": "\n", "crlf": "\r\n"}


@when('a stream that broke off after event {last} is followed by "{events}"')
def step_continuation(context, last, events):
    text = f"{events}\n\n".replace("\\n", "\n").encode()
    complete = EventSplitter().feed(text)
    context.continues = (
        may_follow(complete.ids[0], last) if complete.ids else not has_fields(text)
    )


@then("the second answer {effect}")
def step_continues(context, effect):
    assert context.continues == (effect == "continues it"), effect


@when(
    "a request with a limit of {limit:g} s arrives {arrival:g} s after the signal to"
    " stop within {grace:g} s"
)
def step_arrives_in_stop(context, limit, arrival, grace):
    arrived_s = NOW_S + arrival
    context.taken = plan_stop(NOW_S, grace).may_take(arrived_s, arrived_s + limit)


@then("the stopping node {effect}")
def step_stop_effect(context, effect):
    assert context.taken == (effect == "takes it"), effect


@then(
    "a node that must stop within {grace:g} s ends requests in the last sixth of that"
)
def step_stop_end(context, grace):
    stop = plan_stop(NOW_S, grace)
    assert NOW_S + grace * 5 / 6 <= stop.end_s < NOW_S + grace, stop
    assert stop.late_s <= stop.close_s <= stop.end_s <= stop.exit_s, stop
    assert stop.exit_s < NOW_S + grace, stop


@given("a {kind} request with {runs:d} runs and {declined:d} declined attempts")
def step_request(context, kind, runs, declined):
    services = (WeightedService("desk", 1.0),)
    upstreams = 1 if kind == "at most once" else 2
    context.route = Route("r", "h", "/", KINDS[kind], services, 3.0, 0.2, upstreams)
    context.runs, context.declined, context.helper_faults = runs, declined, 0


@given("helpers caused {helper_faults:d} of the declines")
def step_helper_faults(context, helper_faults):
    context.helper_faults = helper_faults


def _decide(context, failure: str, within_budget: bool, remaining_s: float) -> None:
    not_delivered = int(failure == "not delivered")
    history = RequestHistory(
        context.runs,
        context.declined,
        context.helper_faults,
        not_delivered,
        within_budget,
        remaining_s,
    )
    context.action = decide_after_failure(context.route, history, FAILURES[failure])


@when("its attempt ends with {failure}, {budget} the retry budget")
def step_attempt_ends(context, failure, budget):
    _decide(context, failure, budget == "within", 2.0)


@when("its attempt ends with {failure} and {remaining:g} s are left")
def step_attempt_ends_late(context, failure, remaining):
    _decide(context, failure, True, remaining)


@then("the action is {action}")
def step_action(context, action):
    actual = context.action.value.replace("_", " ")
    assert actual == action, actual


@given("limits of {deny:g} s to deny and {serve:g} s to serve")
def step_limits(context, deny, serve):
    context.freshness = Freshness(FreshnessLimits(deny, serve))


@when("the configuration was confirmed {age:g} s ago")
def step_confirmed(context, age):
    context.freshness.confirm(NOW_S - age)
    # An answer to an earlier request changes nothing.
    context.freshness.confirm(NOW_S - age - 1)


@then("its staleness is {staleness}")
def step_staleness(context, staleness):
    actual = context.freshness.staleness(NOW_S).value
    assert actual == staleness, actual


@given(
    "a budget of {ratio:g} a request and {extra:g} in {window:g} s, for {nodes:d} nodes"
)
def step_budget(context, ratio, extra, window, nodes):
    context.window = RetryWindow(RetryBound(window, ratio, extra))
    context.nodes, context.now_s = nodes, NOW_S


@when("{requests:d} requests and {retries:d} retries came within the window")
def step_requests(context, requests, retries):
    for _ in range(requests):
        context.window.count_request(context.now_s)
    for _ in range(retries):
        context.window.count_retry(context.now_s)


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.now_s += seconds


@then("another retry is {answer}")
def step_retry(context, answer):
    allowed = context.window.allows_retry(context.now_s, context.nodes)
    assert allowed == (answer == "allowed"), allowed


def _events(ending: str, count: int) -> bytes:
    return "".join(
        f"id: {n}{ending}data: token{ending}{ending}" for n in range(1, count + 1)
    ).encode()


@when("a stream of {count:d} events with {ending} arrives in pieces of {size:d} bytes")
def step_stream(context, count, ending, size):
    splitter = EventSplitter()
    text = context.stream_bytes = _events(ENDINGS[ending], count)
    context.events = [
        splitter.feed(text[start : start + size]) for start in range(0, len(text), size)
    ]
    context.rest = splitter.buffer


@then("{count:d} complete events with their ids are returned")
def step_events(context, count):
    ids = [event_id for events in context.events for event_id in events.ids]
    assert ids == [str(n) for n in range(1, count + 1)]
    assert b"".join(events.raw for events in context.events) == context.stream_bytes
    assert not context.rest


@when("a stream ends within its third event")
def step_stream_ends(context):
    splitter = EventSplitter()
    context.events = splitter.feed(_events("\n", 3)[:-4])
    context.rest = splitter.buffer


@then("{count:d} complete events are returned and the rest is buffered")
def step_rest(context, count):
    assert context.events.raw == _events("\n", count)
    assert len(context.events.ids) == count and context.rest.startswith(b"id: 3")


@given(
    "{upstreams:d} upstreams of a zone, {unreachable:d} unreachable since one was "
    "reached"
)
def step_zone(context, upstreams, unreachable):
    context.zone = (upstreams, unreachable)


@when("its peers send updates each {interval:g} s, the last ones {ages} s ago")
def step_peers(context, interval, ages):
    ages_s = tuple(float(age) for age in ages.split())
    context.observation = ZoneObservation(*context.zone, interval, ages_s)


@then("the zone is likely {state}")
def step_zone_state(context, state):
    assert is_likely_partitioned(context.observation) == (state == "partitioned")


def _serving_state(node: str, zone: str) -> ServingState:
    return build_serving_state(lambda: NOW_S, node, zone)


def _upstream(name: str, zone: str) -> Upstream:
    return Upstream(name, "models", "h", 1, zone, 8)


@given("a node of zone north, and {count:d} upstreams in zone east")
def step_node_and_upstreams(context, count):
    context.serving = _serving_state("n1", "north")
    context.upstreams = {
        f"u{n}": _upstream(f"u{n}", "east") for n in range(1, count + 1)
    }
    context.serving.directory.update(context.upstreams.values(), ())


@when("that node {events}")
def step_contacts(context, events):
    serving = context.serving
    for event in events.split(", "):
        upstream = context.upstreams[event.split()[-1]]
        if event.startswith("reaches"):
            serving.health.record_connect(upstream.instance)
            serving.record_contact(upstream)
        else:
            serving.record_connect_failure(upstream)


@then(
    "{count:d} upstreams of zone east are avoided, and at most {most:d} probed at a "
    "time"
)
def step_avoided(context, count, most):
    serving = context.serving
    assert len(serving.ejected(context.upstreams.values())) == count
    due = ReachabilityController(serving).due_instances()
    assert len(due) <= most, due


@given("a cell of {nodes:d} nodes that can't reach an upstream")
def step_cell_nodes(context, nodes):
    context.controllers = []
    upstream = _upstream("u1", "north")
    for number in range(nodes):
        serving = _serving_state(f"n{number}", "north")
        serving.random = Random(number)
        serving.directory.update((upstream,), ())
        serving.zone_of_node = {f"n{n}": "north" for n in range(nodes)}
        serving.update_cell(())
        serving.record_connect_failure(upstream)
        context.controllers.append(ReachabilityController(serving))


@then("all of them together probe it at most {most:d} times in 100 intervals")
def step_probe_count(context, most):
    probes = sum(
        len(c.due_instances()) for c in context.controllers for _ in range(100)
    )
    assert 0 < probes <= most, probes


@given("a service with {count:d} upstreams")
def step_service(context, count):
    context.names = [f"u{number}" for number in range(1, count + 1)]


@when("the results are that {events}")
def step_results(context, events):
    tracker = context.tracker = HealthTracker()
    context.now_s = NOW_S
    results, _, later = events.partition(" and ")
    times = 4 if "four times" in results else 1
    for name in (word for word in results.split() if word in context.names):
        for _ in range(times):
            if "lost" in results:
                tracker.record_loss(name, NOW_S)
            elif "silent" in results:
                tracker.record_timeout(name, NOW_S)
            elif "unreachable" in results:
                tracker.record_connect_failure(name, NOW_S)
            else:
                tracker.record_answer(name, True, NOW_S)
    if later:
        context.now_s += 5.0


@then("the ejected upstreams are {ejected}")
def step_ejected(context, ejected):
    expected = frozenset() if ejected == "none" else frozenset(ejected.split())
    actual = context.tracker.ejected(context.names, context.now_s)
    assert actual == expected, actual
