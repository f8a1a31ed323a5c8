"""Steps on limits that separate nodes share."""

from time import monotonic, sleep

from behave import given, then, when

from features.support.callers import Completion, post_completion
from features.support.fleet import ZONES, Fleet, base_text, overlay_text

LIMIT_TOKENS_PER_S = 4000.0
SAVED_S = 2.0
PROMPT_TOKENS = 484
REQUEST_TOKENS = 500
ACQUAINTED_S = 20.0
ASKING_S = 5.0


@given("3 nodes whose account tube-mills has 4000 tokens per second, saved up for 2 s")
def step_limited_site(context):
    context.fleet = fleet = Fleet()
    fleet.start_platform()
    fleet.start_engine("--decode-tokens-per-s=2000")
    fleet.start_nodes([ZONES[0]] * 3)
    overlay = overlay_text(fleet).replace(
        "[accounts.tube-mills]",
        f"[accounts.tube-mills]\ntokens_per_s = {LIMIT_TOKENS_PER_S}\n"
        f"burst_s = {SAVED_S}",
    )
    folder = fleet.write_config(base_text(), overlay)
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr


@when("every node knows what the others hold of its demand")
def step_acquainted(context):
    fleet = context.fleet
    until = monotonic() + ACQUAINTED_S
    heard = []
    while monotonic() < until:
        states = [fleet.state(node) for node in fleet.nodes]
        heard = [state["DemandSection"]["heard"] for state in states]
        if all(len(h) == 2 and min(h.values()) >= 0 for h in heard):
            return
        sleep(0.2)
    raise AssertionError(heard)


@when("the account asks each node in turn for 500 tokens at a time, for 5 s")
def step_ask_in_turn(context):
    started = monotonic()
    context.answers = []
    number = 0
    while monotonic() < started + ASKING_S:
        node = context.fleet.nodes[number % 3]
        prompt = f"{number:04}" + "core" * (PROMPT_TOKENS - 1)
        context.answers.append(post_completion(node, Completion(prompt)))
        number += 1
    context.asked_s = monotonic() - started


@then("it gets at most the limit and at least a third of it")
def step_got(context):
    served = sum(answer.status == 200 for answer in context.answers)
    tokens = served * REQUEST_TOKENS
    most = LIMIT_TOKENS_PER_S * (context.asked_s + SAVED_S) + REQUEST_TOKENS
    least = LIMIT_TOKENS_PER_S * context.asked_s / 3
    assert least <= tokens <= most, (least, tokens, most, len(context.answers))


@then("it is told over_limit with Retry-After when it has used it up")
def step_told(context):
    refused = [answer for answer in context.answers if answer.status == 429]
    assert refused
    for answer in refused:
        error = answer.json()["error"]
        assert error["code"] == "over_limit", error
        assert error["outcome"] == "not-run", error
        assert int(answer.headers["Retry-After"]) >= 1
