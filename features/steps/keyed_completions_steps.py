"""Steps of completions with idempotency keys, in real processes."""

from itertools import count

from behave import given, then, when
from msgspec import json

from features.support.callers import Completion, completion_text, post_completion
from features.support.fleet import ZONES, Fleet, base_text, overlay_text
from features.support.shared_fleets import shared_fleet

CRASH_MARKER = "poison"
NUMBERS = count(1)


def completions_fleet() -> Fleet:
    fleet = Fleet()
    fleet.start_platform()
    for _ in range(2):
        fleet.start_engine()
    fleet.start_nodes([ZONES[0]] * 2)
    folder = fleet.write_config(base_text(), overlay_text(fleet))
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr
    return fleet


def send(context, node: int, key: str, kind: str = "completion", prompt: str = "Core"):
    """Send a completion without a seed, so that a second run returns other text."""
    completion = Completion(
        prompt, is_chat="chat" in kind, is_streamed="streamed" in kind
    )
    body = json.decode(completion.body())
    del body["seed"]
    answer = post_completion(
        context.running.nodes[node],
        completion,
        body=json.encode(body),
        headers={"Idempotency-Key": key},
    )
    return completion, answer


def text_of(sent) -> str:
    completion, answer = sent
    assert answer.status == 200, answer
    return completion_text(completion, answer)


@given("a fleet of two nodes and two engines for keyed completions")
def step_shared_completions(context):
    context.running = shared_fleet("keyed completions", completions_fleet)


@given("a separate fleet of two nodes and two engines for keyed completions")
def step_own_completions(context):
    context.fleet = context.running = completions_fleet()


@when("a {first} request with a key and no seed is sent, and a {second} one after it")
def step_two_completions(context, first, second):
    key = f"completion-{next(NUMBERS)}"
    context.texts = [
        text_of(send(context, node, key, kind))
        for node, kind in enumerate((first, second))
    ]


@then("both have the same complete text")
def step_same_text(context):
    assert context.texts[0], context.texts
    assert context.texts[0] == context.texts[1], context.texts


@when("a completion is sent with a key that {defect}")
def step_bad_key(context, defect):
    key = f"completion-{next(NUMBERS)}"
    match defect:
        case "was used for another prompt":
            text_of(send(context, 0, key, prompt="Tube"))
        case "was used for a chat":
            text_of(send(context, 0, key, kind="chat"))
        case "has 201 characters":
            key = "k" * 201
    context.answer = send(context, 1, key)[1]


@then("the completion is refused with {status:d} and {code}")
def step_key_refused(context, status, code):
    assert context.answer.status == status, context.answer
    error = context.answer.json()["error"]
    assert (error["code"], error["outcome"]) == (code, "not-run"), error


@when("a completion with a key crashes its engine")
def step_crash_engine(context):
    for engine in context.running.engines:
        engine.put_faults(crash_marker=CRASH_MARKER)
    context.errors = [
        send(context, node, "fatal", prompt=f"{CRASH_MARKER} prompt")[1].json()["error"]
        for node in (0, 1, 0)
    ]


@then("its outcome is unknown, also when sent again, and one engine still runs")
def step_one_engine_runs(context):
    assert [error["outcome"] for error in context.errors] == ["unknown"] * 3
    codes = [error["code"] for error in context.errors[1:]]
    assert codes == ["outcome_unknown"] * 2, codes
    running_engines = [e for e in context.running.engines if e.popen.poll() is None]
    assert len(running_engines) == 1, len(running_engines)
