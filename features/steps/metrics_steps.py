"""Steps that read a node's metrics."""

from behave import given, then, when
from msgspec import json

from features.steps.security_steps import build_secure_fleet
from features.support.callers import Completion, post_completion
from features.support.fleet import OPERATOR_TOKEN, http
from features.support.shared_fleets import shared_fleet


def read_metrics(node) -> str:
    """Return the metrics as text."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    return http(
        "GET", f"http://{node.control_address}/metrics", None, headers
    ).body.decode()


def metric_value(text: str, metric: str) -> float:
    """Return one value, 0 while the metric has none."""
    for line in text.splitlines():
        if line.startswith(f"{metric} "):
            return float(line.rsplit(" ", 1)[1])
    return 0.0


@given("a node whose metrics are read")
def step_metrics(context):
    context.metrics_node = shared_fleet("secure", build_secure_fleet).nodes[0]
    context.metrics_before = read_metrics(context.metrics_node)


@when("a caller of that node gets a whole completion")
def step_completion(context):
    assert post_completion(context.metrics_node, Completion("prompt")).status == 200


@when("a caller of that node gets an unknown model error")
def step_error(context):
    body = json.encode({"model": "none", "prompt": "x"})
    answer = post_completion(context.metrics_node, Completion("prompt"), body=body)
    assert answer.status == 404, answer


@then("{metric} has grown by {amount:d}")
def step_increase(context, metric, amount):
    after = metric_value(read_metrics(context.metrics_node), metric)
    before = metric_value(context.metrics_before, metric)
    assert after - before == amount, (before, after)


@then("no account and no upstream is named in the metrics")
def step_bounded_labels(context):
    text = read_metrics(context.metrics_node)
    assert "tube-mills" not in text and "engine-0" not in text, text
