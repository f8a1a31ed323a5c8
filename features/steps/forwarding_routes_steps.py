"""Steps for routes."""

from behave import given, then, when

from lagoonhinge_core.forwarding.routes import (
    Idempotent,
    Route,
    RouteTable,
    WeightedService,
)

HOST = "desk.example"


def _route(prefix: str, services: tuple[WeightedService, ...]) -> Route:
    return Route(prefix, HOST, prefix, Idempotent(), services, 3.0, 0.2)


@given("routes of a host with prefixes {first}, {second} and {third}")
def step_routes(context, first, second, third):
    services = (WeightedService("desk", 1.0),)
    context.routes = RouteTable(_route(p, services) for p in (first, second, third))


@when("a request for {host} {target} arrives")
def step_request(context, host, target):
    context.route = context.routes.find(host, target)


@then("its route is {prefix}")
def step_its_route(context, prefix):
    actual = "none" if context.route is None else context.route.prefix
    assert actual == prefix, actual


@given("a route that is split as {split}")
def step_split(context, split):
    pairs = (entry.split(":") for entry in split.split())
    services = tuple(WeightedService(name, float(weight)) for name, weight in pairs)
    context.route = _route("/a/", services)


@when("a request arrives at the point {point:g} of the split")
def step_point(context, point):
    context.service = context.route.pick_service(point)


@then("the split sends it to {service}")
def step_service(context, service):
    assert context.service == service, context.service
