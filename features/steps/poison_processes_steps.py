"""Steps in which a marked prompt crashes real engine processes."""

from concurrent.futures import ThreadPoolExecutor
from time import sleep

from behave import given, then, when

from features.support.callers import SEED, Completion, completion_text, post_completion
from features.support.fleet import ZONES, Fleet, base_text, overlay_text
from stand_ins.answers import whole_answer

CRASH_MARKER = "kills engines"
HARMLESS_PROMPTS = 8
MAX_HARMLESS_TRIES = 6


@given("a node and {count:d} engines that a marked prompt crashes")
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
        engine.put_faults(crash_marker=CRASH_MARKER)
    sleep(2.0)  # until the node has a load report of each engine's run


def _send_harmless(node, number):
    completion = Completion(f"harmless {number}", 30)
    for _ in range(MAX_HARMLESS_TRIES):
        answer = post_completion(node, completion)
        if answer.status == 200:
            expected = whole_answer(completion.prompt, completion.max_tokens, SEED)
            assert completion_text(completion, answer) == expected
            return True
        sleep(1.0)
    return False


@when("the marked prompt is resent {times:d} times beside harmless prompts")
def step_resend_marked(context, times):
    node = context.fleet.nodes[0]
    with ThreadPoolExecutor(HARMLESS_PROMPTS) as pool:
        harmless_results = pool.map(
            lambda n: _send_harmless(node, n), range(HARMLESS_PROMPTS)
        )
        sleep(0.3)
        marked = Completion(f"This one {CRASH_MARKER}.")
        context.answers = [post_completion(node, marked) for _ in range(times)]
        context.harmless_results = list(harmless_results)


@then("at most {count:d} engine processes crashed")
def step_crashed(context, count):
    crashed_engines = [
        e.name for e in context.fleet.engines if e.popen.poll() is not None
    ]
    assert 0 < len(crashed_engines) <= count, (crashed_engines, context.answers)


@then("the marked prompt ends as quarantined and not-run with Retry-After")
def step_quarantined(context):
    last = context.answers[-1]
    error = last.json()["error"]
    assert (error["code"], error["outcome"]) == ("quarantined", "not-run"), last
    assert int(last.headers["Retry-After"]) > 0, last


@then("every harmless prompt is answered")
def step_all_answered(context):
    assert all(context.harmless_results), context.harmless_results
