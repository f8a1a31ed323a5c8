"""Steps that let a marked prompt kill real engine processes."""

from concurrent.futures import ThreadPoolExecutor
from time import sleep

from behave import given, then, when

from features.support.callers import SEED, Completion, completion_text, post_completion
from features.support.fleet import ZONES, Fleet, base_text, overlay_text
from stand_ins.answers import whole_answer

MARKER = "kills engines"
INNOCENTS = 8
RESENDS_OF_INNOCENTS = 6


@given("a node before {count:d} engines that a marked prompt kills")
def step_marked(context, count):
    fleet = context.fleet = Fleet()
    fleet.start_platform()
    for _ in range(count):
        fleet.start_engine("--decode-tokens-per-s=30")
    fleet.start_nodes([ZONES[0]])
    folder = fleet.write_config(base_text(), overlay_text(fleet))
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr
    for engine in fleet.engines:
        engine.put_faults(crash_marker=MARKER)
    sleep(2.0)  # each engine's run is known to the node


def _ask_innocent(node, number):
    completion = Completion(f"innocent {number}", 30)
    for _ in range(RESENDS_OF_INNOCENTS):
        answer = post_completion(node, completion)
        if answer.status == 200:
            expected = whole_answer(completion.prompt, completion.max_tokens, SEED)
            assert completion_text(completion, answer) == expected
            return True
        sleep(1.0)
    return False


@when("the marked prompt is resent {times:d} times beside innocent prompts")
def step_resend_marked(context, times):
    node = context.fleet.nodes[0]
    with ThreadPoolExecutor(INNOCENTS) as pool:
        innocents = pool.map(lambda n: _ask_innocent(node, n), range(INNOCENTS))
        sleep(0.3)
        marked = Completion(f"This one {MARKER}.")
        context.answers = [post_completion(node, marked) for _ in range(times)]
        context.innocents = list(innocents)


@then("at most {count:d} engines were killed")
def step_killed(context, count):
    dead = [e.name for e in context.fleet.engines if e.popen.poll() is not None]
    assert 0 < len(dead) <= count, (dead, context.answers)


@then("the marked prompt ends as quarantined and not-run with Retry-After")
def step_ends(context):
    last = context.answers[-1]
    error = last.json()["error"]
    assert (error["code"], error["outcome"]) == ("quarantined", "not-run"), last
    assert int(last.headers["Retry-After"]) > 0, last


@then("every innocent prompt is answered")
def step_all_answered(context):
    assert all(context.innocents), context.innocents
