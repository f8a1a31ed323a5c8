"""Steps over the request path with fake engines in virtual time."""

from dataclasses import replace

from behave import given, then, when

from features.support.request_faults import STEPS, FaultAtStep
from features.support.request_machine import run_request_machine
from features.support.request_rig import RecordingSink, RequestRig, verdict
from lagoonhinge_core.sections import ConfigSection
from stand_ins.answers import whole_answer

NAMES = {
    "deadline_exceeded/unknown": "late",
    "deadline_exceeded/not-run": "late-not-run",
    "overloaded/not-run": "refused",
    "upstream_failed/failed": "failed",
    "upstream_failed/unknown": "unknown",
}


@given("a request path over {engines:d} fake engines")
def step_rig(context, engines):
    context.prepare = []

    def build():
        rig = RequestRig(engines)
        for prepare in context.prepare:
            prepare(rig)
        context.rig = rig
        return rig

    context.build_rig = build


@given("the answers of every engine are {damage}")
def step_damage(context, damage):
    def prepare(rig):
        for engine in rig.engines:
            engine.corrupt = damage

    context.prepare.append(prepare)


@given("the engines give unlike answers")
def step_unlike(context):
    def prepare(rig):
        rig.engines[1].salt = "other"

    context.prepare.append(prepare)


@given("the engines take {seconds:d} s before the first token")
def step_prefill(context, seconds):
    def prepare(rig):
        for engine in rig.engines:
            engine.prefill_s = float(seconds)

    context.prepare.append(prepare)


@given(
    "the retry limits are at most {attempts:d} attempts with {saved:d} saved retries"
)
def step_retries(context, attempts, saved):
    def prepare(rig):
        section = rig.board.read(ConfigSection)
        retries = replace(section.config.retries, max_attempts=attempts)
        config = replace(section.config, retries=retries)
        rig.config.post(replace(section, config=config))
        rig.path.budget.saved["assistant"] = float(saved)

    context.prepare.append(prepare)


def _run(context, fault, step, form) -> str:
    rig = context.build_rig()
    try:
        got = FaultAtStep(rig, fault, step, form == "streamed").run()
    finally:
        rig.close()
    return NAMES.get(got, got)


@when('"{fault}" happens at each step of a {form} answer')
def step_each(context, fault, form):
    context.verdicts = [_run(context, fault, step, form) for step in STEPS]


@then("the verdicts are {expected}")
def step_verdicts(context, expected):
    assert context.verdicts == expected.split(", "), context.verdicts


@when('"{fault}" happens mid-stream of a {form} answer')
def step_mid_stream(context, fault, form):
    rig = context.build_rig()
    sink = RecordingSink(form == "streamed")
    run = FaultAtStep(rig, fault, "mid-stream", sink.is_streamed)
    rig.port.on_step = run.reach
    result = rig.finish(rig.start(sink))
    rig.settle()
    rig.close()
    other = whole_answer("A winding specificationother", 8, 7)
    if sink.text() == other:
        context.verdict = "whole-other"
        return
    context.verdict = NAMES.get(verdict(result, sink), verdict(result, sink))


@when("a {form} answer is asked for once")
def step_once(context, form):
    context.verdict = _run(context, "no fault", "never", form)


@then("the verdict is {expected}")
def step_verdict(context, expected):
    assert context.verdict == expected, context.verdict


@then("{count:d} attempts were accepted")
def step_accepted(context, count):
    assert len(context.rig.accepted()) == count, context.rig.accepted()


@then("the request state machine holds for {examples:d} examples")
def step_machine(context, examples):
    run_request_machine(examples)
