"""Steps for limits that separate nodes share."""

from time import monotonic, sleep

from behave import given, then, when

from features.support.callers import Completion, post_completion
from features.support.fleet import ZONES, Fleet, base_text, overlay_text

LIMIT_TOKENS_PER_S = 4000.0
BURST_S = 2.0
PROMPT_TOKENS = 484
REQUEST_TOKENS = 500
GOSSIP_TIMEOUT_S = 20.0
LOAD_DURATION_S = 5.0


@given("3 nodes whose account tube-mills has 4000 tokens per second and a burst of 2 s")
def step_limited_nodes(context):
    context.fleet = fleet = Fleet()
    fleet.start_platform()
    fleet.start_engine("--decode-tokens-per-s=2000")
    fleet.start_nodes([ZONES[0]] * 3)
    overlay = overlay_text(fleet).replace(
        "[accounts.tube-mills]",
        f"[accounts.tube-mills]\ntokens_per_s = {LIMIT_TOKENS_PER_S}\n"
        f"burst_s = {BURST_S}",
    )
    folder = fleet.write_config(base_text(), overlay)
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr


@when("every node has received the demand of the others")
def step_demand_received(context):
    fleet = context.fleet
    deadline_s = monotonic() + GOSSIP_TIMEOUT_S
    received = []
    while monotonic() < deadline_s:
        states = [fleet.state(node) for node in fleet.nodes]
        received = [state["DemandSection"]["heard"] for state in states]
        if all(
            len(numbers) == 2 and min(numbers.values()) >= 0 for numbers in received
        ):
            return
        sleep(0.2)
    raise AssertionError(received)


@when("the account sends requests of 500 tokens to the nodes in turn for 5 s")
def step_send_in_turn(context):
    started_s = monotonic()
    context.answers = []
    number = 0
    while monotonic() < started_s + LOAD_DURATION_S:
        node = context.fleet.nodes[number % 3]
        prompt = f"{number:04}" + "core" * (PROMPT_TOKENS - 1)
        context.answers.append(post_completion(node, Completion(prompt)))
        number += 1
    context.elapsed_s = monotonic() - started_s


@then("it is served at most the limit and at least a third of it")
def step_served_tokens(context):
    served = sum(answer.status == 200 for answer in context.answers)
    tokens = served * REQUEST_TOKENS
    upper_limit = LIMIT_TOKENS_PER_S * (context.elapsed_s + BURST_S) + REQUEST_TOKENS
    lower_limit = LIMIT_TOKENS_PER_S * context.elapsed_s / 3
    assert lower_limit <= tokens <= upper_limit, (
        lower_limit,
        tokens,
        upper_limit,
        len(context.answers),
    )


@then("requests over the limit are refused with over_limit and Retry-After")
def step_over_limit(context):
    refused = [answer for answer in context.answers if answer.status == 429]
    assert refused
    for answer in refused:
        error = answer.json()["error"]
        assert error["code"] == "over_limit", error
        assert error["outcome"] == "not-run", error
        assert int(answer.headers["Retry-After"]) >= 1
