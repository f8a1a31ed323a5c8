"""Steps about what follows from failed sends, silence and age."""

from behave import given, then, when

from lagoonhinge_core.forwarding.event_splitter import EventSplitter
from lagoonhinge_core.forwarding.freshness import Freshness, FreshnessLimits
from lagoonhinge_core.forwarding.health import HealthBook
from lagoonhinge_core.forwarding.retry_window import RetryBound, RetryWindow
from lagoonhinge_core.forwarding.routes import (
    AtMostOnce,
    EventStream,
    Idempotent,
    Route,
    WeightedService,
)
from lagoonhinge_core.forwarding.sends import (
    Declined,
    Failed,
    Lost,
    NotDelivered,
    RequestHistory,
    after_failure,
)
from lagoonhinge_core.forwarding.zone_faults import ZoneSigns, seems_cut_off

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


@given("a {kind} request that {runs:d} upstreams ran and {declined:d} declined")
def step_request(context, kind, runs, declined):
    services = (WeightedService("desk", 1.0),)
    upstreams = 1 if kind == "at most once" else 2
    context.route = Route("r", "h", "/", KINDS[kind], services, 3.0, 0.2, upstreams)
    context.runs, context.declined, context.blamed = runs, declined, 0


@given("helpers were at fault for {blamed:d} of the declines")
def step_blamed(context, blamed):
    context.blamed = blamed


def _judge(context, failure: str, may_repeat: bool, remaining_s: float) -> None:
    not_delivered = int(failure == "not delivered")
    history = RequestHistory(
        context.runs,
        context.declined,
        context.blamed,
        not_delivered,
        may_repeat,
        remaining_s,
    )
    context.verdict = after_failure(context.route, history, FAILURES[failure])


@when("its send ends with {failure}, {budget} the retry bound")
def step_send_ends(context, failure, budget):
    _judge(context, failure, budget == "within", 2.0)


@when("its send ends with {failure} and {left:g} s are left")
def step_send_ends_late(context, failure, left):
    _judge(context, failure, True, left)


@then("the sends are decided as {verdict}")
def step_verdict(context, verdict):
    found = context.verdict.value.replace("_", " ")
    assert found == verdict, found


@given("limits of {deny:g} s to deny and {serve:g} s to serve")
def step_limits(context, deny, serve):
    context.freshness = Freshness(FreshnessLimits(deny, serve))


@when("the configuration was confirmed {age:g} s ago")
def step_confirmed(context, age):
    context.freshness.confirm(NOW_S - age)
    # An answer that was asked for earlier takes nothing back.
    context.freshness.confirm(NOW_S - age - 1)


@then("its standing is {standing}")
def step_standing(context, standing):
    found = context.freshness.standing(NOW_S).value
    assert found == standing, found


@given("a bound of {ratio:g} a request and {extra:g} in {window:g} s, for {n:d} nodes")
def step_bound(context, ratio, extra, window, n):
    context.window = RetryWindow(RetryBound(window, ratio, extra))
    context.nodes, context.now_s = n, NOW_S


@when("{requests:d} requests and {repeats:d} repeats came within the window")
def step_came(context, requests, repeats):
    for _ in range(requests):
        context.window.count_request(context.now_s)
    for _ in range(repeats):
        context.window.count_repeat(context.now_s)


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.now_s += seconds


@then("another repeat is {answer}")
def step_repeat(context, answer):
    allowed = context.window.allows_repeat(context.now_s, context.nodes)
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
        event
        for start in range(0, len(text), size)
        for event in splitter.feed(text[start : start + size])
    ]
    context.rest = splitter.buffer


@then("{count:d} whole events with their ids come out")
def step_events(context, count):
    assert [event.event_id for event in context.events] == [
        str(n) for n in range(1, count + 1)
    ]
    assert b"".join(event.raw for event in context.events) == context.stream_bytes
    assert not context.rest


@when("a stream breaks off within its third event")
def step_breaks_off(context):
    splitter = EventSplitter()
    context.events = splitter.feed(_events("\n", 3)[:-4])
    context.rest = splitter.buffer


@then("{count:d} whole events come out and the rest is kept back")
def step_rest(context, count):
    assert len(context.events) == count and context.rest.startswith(b"id: 3")


@given("{upstreams:d} upstreams of a zone, {unreachable:d} out of reach")
def step_zone(context, upstreams, unreachable):
    context.zone = (upstreams, unreachable)


@when("its peers were last heard {heard} s ago")
def step_peers(context, heard):
    ages_s = tuple(float(age) for age in heard.split())
    context.signs = ZoneSigns(*context.zone, ages_s)


@then("the zone seems {state}")
def step_seems(context, state):
    assert seems_cut_off(context.signs) == (state == "cut off")


@given("a service with {count:d} upstreams")
def step_service(context, count):
    context.names = [f"u{number}" for number in range(1, count + 1)]


@when("the outcomes are that {events}")
def step_outcomes(context, events):
    book = context.book = HealthBook()
    context.now_s = NOW_S
    happened, _, later = events.partition(" and ")
    times = 4 if "four times" in happened else 1
    for name in (word for word in happened.split() if word in context.names):
        for _ in range(times):
            if "lost" in happened:
                book.lost(name, NOW_S)
            elif "silent" in happened:
                book.silent(name, NOW_S)
            elif "unreachable" in happened:
                book.not_reached(name, NOW_S)
            else:
                book.answered(name, True, NOW_S)
    if later:
        context.now_s += 5.0


@then("the avoided ones are {avoided}")
def step_avoided(context, avoided):
    expected = frozenset() if avoided == "none" else frozenset(avoided.split())
    found = context.book.suspects(context.names, context.now_s)
    assert found == expected, found
