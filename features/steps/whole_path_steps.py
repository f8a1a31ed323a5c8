"""Steps for requests from caller to upstream through real processes."""

from behave import given, then, when
from msgspec import json

from features.support.callers import (
    SEED,
    Completion,
    completion_text,
    post_completion,
    send_plain,
)
from features.support.fleet import ZONES, Fleet, base_text, http, overlay_text
from features.support.shared_fleets import shared_fleet
from stand_ins.answers import whole_answer

PROMPT = "Winding specification of core 76-12, please."
LOW_LIMITS = """
[limits]
max_body_bytes = 100_000
"""


def build_fleet(nodes: int, engines: int) -> Fleet:
    """Return a running fleet with low limits in its configuration."""
    fleet = Fleet()
    fleet.start_platform()
    for _ in range(engines):
        fleet.start_engine()
    fleet.start_service()
    fleet.start_nodes([ZONES[0]] * nodes)
    overlay = overlay_text(fleet) + LOW_LIMITS
    base = base_text().replace("1_000_000", "20_000")
    applied = fleet.ctl("config", "apply", str(fleet.write_config(base, overlay)))
    assert applied.returncode == 0, applied.stderr
    return fleet


@given("a running fleet of {nodes:d} nodes, {engines:d} engines and 1 plain service")
def step_fleet(context, nodes, engines):
    context.running = shared_fleet(
        (nodes, engines), lambda: build_fleet(nodes, engines)
    )


@when("a caller sends a {kind} request to each node")
def step_send_each(context, kind):
    context.answers = []
    for number, node in enumerate(context.running.nodes):
        prompt = f"{PROMPT} {number}"
        if kind == "plain service":
            answer = send_plain(node, "POST", "/orders/7", b"{}", f"key-{number}")
            context.answers.append((answer.json()["path"], "/orders/7"))
            continue
        completion = Completion(
            prompt, is_chat="chat" in kind, is_streamed="streamed" in kind
        )
        answer = post_completion(node, completion)
        assert answer.status == 200, answer
        sent = f"user: {prompt}\nassistant: " if completion.is_chat else prompt
        expected = whole_answer(sent, completion.max_tokens, SEED)
        context.answers.append((completion_text(completion, answer), expected))


@then("every answer is complete and belongs to its request")
def step_complete_answers(context):
    assert len(context.answers) == len(context.running.nodes)
    for text, expected in context.answers:
        assert text == expected, (text, expected)


@when("a caller sends a request with {defect}")
def step_bad_request(context, defect):
    node = context.running.nodes[0]
    valid = Completion(PROMPT)
    match defect:
        case "no key":
            context.answer = http("POST", f"{node.url}/v1/completions", b"{}")
        case "a wrong key":
            context.answer = post_completion(node, valid, account="nobody")
        case "broken JSON":
            context.answer = post_completion(node, valid, body=b'{"model": ')
        case "an unknown field":
            context.answer = post_completion(node, valid, body=_body(n=2))
        case "an unknown model":
            context.answer = post_completion(node, valid, body=_body(model="none"))
        case "an over-long prompt":
            context.answer = post_completion(node, Completion("x" * 90_000))
        case "a bad timeout":
            headers = {"X-Timeout-Seconds": "soon"}
            context.answer = post_completion(node, valid, headers=headers)
        case "max_tokens of 0":
            context.answer = post_completion(node, valid, body=_body(max_tokens=0))
        case "an oversize body":
            context.answer = post_completion(node, Completion("x" * 200_000))
        case "an unknown service":
            context.answer = send_plain(node, "GET", "/x", None, None, service="none")
        case _:
            raise AssertionError(defect)


@then("the answer has status {status:d} and code {code}")
def step_status(context, status, code):
    assert context.answer.status == status, context.answer
    error = context.answer.json()["error"]
    assert error["code"] == code, error
    assert error["outcome"] == "not-run", error


@then("the next valid request is served")
def step_next_served(context):
    completion = Completion(PROMPT)
    answer = post_completion(context.running.nodes[0], completion)
    expected = whole_answer(PROMPT, completion.max_tokens, SEED)
    assert completion_text(completion, answer) == expected, answer


def _body(**fields) -> bytes:
    return json.encode({"model": "compliance", "prompt": PROMPT, **fields})
