"""Steps for the request path with fake engines in virtual time."""

from dataclasses import replace

from behave import given, then, when

from features.support.request_faults import STEPS, FaultAtStep
from features.support.request_machine import run_request_machine
from features.support.request_rig import RecordingSink, RequestRig, verdict
from lagoonhinge_core.sections import ConfigSection
from stand_ins.answers import whole_answer

VERDICT_NAMES = {
    "deadline_exceeded/unknown": "expired",
    "deadline_exceeded/not-run": "expired-not-run",
    "overloaded/not-run": "refused",
    "upstream_failed/failed": "failed",
    "upstream_failed/unknown": "unknown",
}


@given("a request path over {engines:d} fake engines")
def step_request_rig(context, engines):
    context.rig_setups = []

    def build():
        rig = RequestRig(engines)
        for configure_rig in context.rig_setups:
            configure_rig(rig)
        context.rig = rig
        return rig

    context.build_rig = build


@given("the answers of every engine are {damage}")
def step_damage(context, damage):
    def configure_rig(rig):
        for engine in rig.engines:
            engine.corruption = damage

    context.rig_setups.append(configure_rig)


@given("the engines generate different answers")
def step_different_answers(context):
    def configure_rig(rig):
        rig.engines[1].salt = "other"

    context.rig_setups.append(configure_rig)


@given("the engines take {seconds:d} s before the first token")
def step_prefill(context, seconds):
    def configure_rig(rig):
        for engine in rig.engines:
            engine.prefill_s = float(seconds)

    context.rig_setups.append(configure_rig)


@given(
    "the retry limits are at most {attempts:d} attempts"
    " with {budget:d} retries in the budget"
)
def step_retries(context, attempts, budget):
    def configure_rig(rig):
        section = rig.board.read(ConfigSection)
        retries = replace(section.config.retries, max_attempts=attempts)
        config = replace(section.config, retries=retries)
        rig.config.post(replace(section, config=config))
        rig.path.budget.remaining["assistant"] = float(budget)

    context.rig_setups.append(configure_rig)


def _run(context, fault, step, form) -> str:
    rig = context.build_rig()
    try:
        found = FaultAtStep(rig, fault, step, form == "streamed").run()
    finally:
        rig.close()
    return VERDICT_NAMES.get(found, found)


@when('"{fault}" happens at each step of a {form} answer')
def step_fault_at_each_step(context, fault, form):
    context.verdicts = [_run(context, fault, step, form) for step in STEPS]


@then("the verdicts are {expected}")
def step_verdicts(context, expected):
    assert context.verdicts == expected.split(", "), context.verdicts


@when('"{fault}" happens mid-stream of a {form} answer')
def step_mid_stream(context, fault, form):
    rig = context.build_rig()
    sink = RecordingSink(form == "streamed")
    run = FaultAtStep(rig, fault, "mid-stream", sink.is_streamed)
    rig.port.on_step = run.on_step
    result = rig.finish(rig.start(sink))
    rig.settle()
    rig.close()
    other = whole_answer("A winding specificationother", 8, 7)
    if sink.text() == other:
        context.verdict = "whole-other"
        return
    context.verdict = VERDICT_NAMES.get(verdict(result, sink), verdict(result, sink))


@when("a {form} answer is requested once")
def step_single_request(context, form):
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
