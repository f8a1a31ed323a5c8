"""Steps for zones that the operator evacuates."""

from time import monotonic

from behave import given, then, when
from msgspec import json

from features.steps.platform_node_steps import start_nodes
from features.steps.request_limits_steps import send_requests
from features.support.fleet import http
from features.support.waiting import eventually
from lagoonhinge_core.forwarding.evacuations import Evacuations
from lagoonhinge_core.forwarding.site_store import TableRow
from lagoonhinge_platform.names import EVACUATION_PREFIX, OPERATOR_TABLE

KNOWN_S = 2.0  # within which a change is in force


def _rows(zones: list[str]) -> list[TableRow]:
    return [
        TableRow(zone.lstrip("+-"), None if zone.startswith("-") else b"", version)
        for version, zone in enumerate(zones)
    ]


@given("a node that knows no evacuation")
def step_none(context):
    context.evacuations = Evacuations()


@when("it learns of evacuations: {events}")
def step_events(context, events):
    evacuations = context.evacuations
    for event in events.split(", "):
        at_s, _, text = event.partition(": ")
        match text.split():
            case ["end"]:
                evacuations.end_forgotten(float(at_s))
            case ["all", *zones]:
                evacuations.apply_all(_rows(zones), False, float(at_s))
            case ["later", *zones]:
                evacuations.apply_all(_rows(zones), True, float(at_s))
            case zones:
                evacuations.apply(_rows(zones))


@then("the evacuated zones are {zones}")
def step_zones(context, zones):
    expected = set() if zones == "none" else set(zones.split(", "))
    assert context.evacuations.zones == expected, context.evacuations


@given(
    "{count:d} nodes on the platform, with a worker of each service in north and in "
    "east"
)
def step_two_zones(context, count):
    start_nodes(context, count)
    for instance, service in (("d2", "desk"), ("m2", "models")):
        context.fleet.list_worker(instance, service, zone="east")

    def check() -> None:
        for node in context.fleet.nodes:
            url = f"http://127.0.0.1:{node.operator_port}/state"
            listed = json.decode(http("GET", url).body)["upstreams"]
            zones = {name: listed[name]["zone"] for name in ("d2", "m2")}
            assert set(zones.values()) == {"east"}, zones

    eventually(check)


@when(
    "{zones} evacuated, and {rate:d} requests a second are sent to {target} for {s:d} s"
)
def step_evacuate(context, zones, rate, target, s):
    for zone in zones.split():
        if zone in ("north", "east"):
            context.fleet.put_row(OPERATOR_TABLE, EVACUATION_PREFIX + zone, b"{}")
    context.evacuated_s = monotonic()
    send_requests(context, rate, s, target)
    context.ended_s = monotonic()


@when(
    "it is taken back, and {rate:d} requests a second are sent to {target} for {s:d} s"
)
def step_take_back(context, rate, target, s):
    context.fleet.drop_row(OPERATOR_TABLE, EVACUATION_PREFIX + "north")
    answers = context.answers
    send_requests(context, rate, s, target)
    context.answers = answers + context.answers


def _arrivals_s(context, worker: str) -> list[float]:
    return context.fleet.worker_record(worker)["arrivals_s"]


@then("{worker} got no request from 2 s after the evacuation until it was taken back")
def step_no_request(context, worker):
    late_s = [
        at_s - context.evacuated_s
        for at_s in _arrivals_s(context, worker)
        if context.evacuated_s + KNOWN_S < at_s < context.ended_s
    ]
    assert not late_s, late_s


@then("{worker} got a request after it was taken back")
def step_back(context, worker):
    assert _arrivals_s(context, worker)[-1] > context.ended_s


@then("no worker got a request from 2 s after the evacuation")
def step_no_worker(context):
    for worker in context.fleet.workers:
        step_no_request(context, worker)
