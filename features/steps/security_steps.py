"""Steps about secrets, header limits and logs, with one real node."""

from hashlib import sha256

from behave import given, then, when
from msgspec import json

from features.support.callers import Completion, post_completion
from features.support.fleet import (
    OPERATOR_TOKEN,
    PEER_SECRET,
    ZONES,
    Fleet,
    account_key,
    base_text,
    http,
    overlay_text,
)
from features.support.shared_fleets import shared_fleet

KEY = account_key("tube-mills")
SECRETS = {
    "no secret": None,
    "a wrong token": "operator-token-for-test",
    "the peer secret": PEER_SECRET,
    "an account's key": KEY,
    "the operator token": OPERATOR_TOKEN,
}
OVERSIZE_BYTES = 100_000


def build_secure_fleet() -> Fleet:
    """Return one node with JSON logs and a configuration in force."""
    fleet = Fleet()
    fleet.start_platform()
    fleet.start_engine()
    fleet.start_nodes(ZONES[:1], "--log-json=true")
    folder = fleet.write_config(base_text(), overlay_text(fleet))
    assert fleet.ctl("config", "apply", str(folder)).returncode == 0
    return fleet


def control_get(context, path: str, secret: str | None):
    """Return the answer of a path of the control listener."""
    headers = {} if secret is None else {"Authorization": f"Bearer {secret}"}
    return http(
        "GET", f"http://{context.secure_node.control_address}{path}", None, headers
    )


@given("a node with its secrets")
def step_secure(context):
    fleet = shared_fleet("secure", build_secure_fleet)
    context.secure_node = fleet.nodes[0]


@then("{path} with {secret} answers {status:d}")
def step_guarded(context, path, secret, status):
    assert control_get(context, path, SECRETS[secret]).status == status


@when("a caller and an operator have been answered")
def step_answered(context):
    answer = post_completion(context.secure_node, Completion("prompt"))
    assert answer.status == 200, answer


@then("no secret is in the state dump, the metrics or the logs")
def step_no_secret(context):
    exposed_bytes = (
        control_get(context, "/state", OPERATOR_TOKEN).body
        + control_get(context, "/metrics", OPERATOR_TOKEN).body
        + context.secure_node.log.read_bytes()
    )
    digest = sha256(KEY.encode()).hexdigest()
    for secret in (OPERATOR_TOKEN, PEER_SECRET, KEY, digest):
        assert secret.encode() not in exposed_bytes, secret


@when("a caller sends a header of 100000 bytes")
def step_long_header(context):
    headers = {"X-Filler": "x" * OVERSIZE_BYTES}
    completion = Completion("prompt")
    context.refusal = post_completion(context.secure_node, completion, headers=headers)


@when("a caller sends a path of 100000 bytes")
def step_long_path(context):
    path = "/services/registry/" + "x" * OVERSIZE_BYTES
    context.refusal = http("GET", context.secure_node.url + path)


@then("the answer is a client error")
def step_client_error(context):
    assert 400 <= context.refusal.status < 500, context.refusal


@then("a good request to that node is answered")
def step_good(context):
    answer = post_completion(context.secure_node, Completion("prompt"))
    assert answer.status == 200, answer


@when("a request fails")
def step_fails(context):
    completion = Completion("prompt")
    body = json.encode({"model": "none", "prompt": "x"})
    context.refusal = post_completion(context.secure_node, completion, body=body)


@then(
    'a log line of part "{part}" carries the request\'s id, and no line is without part'
)
def step_log_line(context, part):
    request_id = context.refusal.json()["error"]["request_id"]
    lines = context.secure_node.log.read_bytes().splitlines()
    entries = [json.decode(line) for line in lines if line]
    assert request_id not in ("", "-"), context.refusal
    parts = {entry["part"] for entry in entries}
    services = {part for part in parts if part.startswith(("mode", "lagoonhinge_"))}
    assert not services and "" not in parts, parts
    assert any(
        entry["part"] == part and entry["request_id"] == request_id for entry in entries
    ), entries
