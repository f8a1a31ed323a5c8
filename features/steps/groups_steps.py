"""Steps for groups over simulated engines in virtual time."""

from dataclasses import replace

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from features.support.group_engines import StepFault
from features.support.group_rig import GroupRig, expected_answer
from lagoonhinge_core.engine_messages import ReservationRequest
from lagoonhinge_core.groups import (
    MIN_SPAN_TOKENS,
    GroupMember,
    GroupPlan,
    plan_group,
    split_prompt,
)
from lagoonhinge_core.tokens import TokenEstimate
from stand_ins.answers import BYTES_PER_TOKEN

REQUEST_TIMEOUT_S = 120.0
MANY_CALLS = 200
LETTERS = "aé漢🙂"


def make_prompt(tokens: int) -> str:
    """Return a prompt of about `tokens` tokens, with characters of all UTF-8 widths."""
    line = "core record 76-12 é漢🙂 "
    count = tokens * BYTES_PER_TOKEN // len(line.encode())
    rest = tokens * BYTES_PER_TOKEN - count * len(line.encode())
    return line * count + "x" * rest


@when(
    "a prompt of {prompt:d} tokens and an answer of {answer:d} are planned over {free}"
)
def step_plan(context, prompt, answer, free):
    members = []
    for entry in free.split(", "):
        name, tokens = entry.split()
        members.append(GroupMember(name, int(tokens)))
    estimate = TokenEstimate(prompt, answer)
    context.plan = plan_group(members, estimate)


@then("the group plan is {plan}")
def step_plan_is(context, plan):
    if not isinstance(context.plan, GroupPlan):
        assert plan == "insufficient memory", context.plan
        return
    planned_members = ", ".join(span.member for span in context.plan.spans)
    assert planned_members == plan, context.plan


@then(
    "any plan covers the prompt, fits the free memory, and orders the members by name"
)
def step_any_plan(context):
    check_any_plan()


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@hypothesis_given(
    free=st.lists(st.integers(0, 500), max_size=8),
    prompt=st.text(LETTERS, min_size=1, max_size=1000)
    | st.text("ab", min_size=1, max_size=1000),
    answer=st.integers(1, 100),
)
def check_any_plan(free, prompt, answer):
    """Check the invariants of one plan."""
    members = [GroupMember(f"engine-{i}", tokens) for i, tokens in enumerate(free)]
    estimate = TokenEstimate(max(1, len(prompt.encode()) // BYTES_PER_TOKEN), answer)
    plan = plan_group(members, estimate)
    if not isinstance(plan, GroupPlan):
        most_free = max(free, default=0)
        unusable_tokens = MIN_SPAN_TOKENS * len(free)
        assert sum(free) < estimate.total() + unusable_tokens or most_free <= answer + 1
        return
    by_name = {member.name: member.free_tokens for member in members}
    names = [span.member for span in plan.spans]
    texts = split_prompt(prompt, plan)
    assert "".join(texts) == prompt
    assert all(texts[:-1]), texts
    assert len(set(names)) == len(names)
    assert names[:-1] == sorted(names[:-1])
    for span in plan.spans:
        assert 0 < span.reserve_tokens <= by_name[span.member]
    assert plan.spans[-1].estimate.output_tokens == answer
    ordered = [span.member for span in plan.reservation_order()]
    assert ordered == sorted(names)


@given("a zone of engines with {memory} tokens and {nodes:d} nodes")
def step_zone_nodes(context, memory, nodes):
    context.rig = GroupRig([int(size) for size in memory.split(", ")], nodes)
    context.add_cleanup(context.rig.close)


@given("a zone of engines with {memory} tokens")
def step_zone(context, memory):
    step_zone_nodes(context, memory, 1)


@given("at call {call:d} of {step} the fault {fault}")
def step_fault(context, call, step, fault):
    context.rig.engines.faults.append(StepFault(step, call, fault))


@given("from call {call:d} of {step} on the fault {fault}")
def step_later_faults(context, call, step, fault):
    context.rig.engines.faults += [
        StepFault(step, later, fault) for later in range(call, MANY_CALLS)
    ]


@given("at every call of {step} the fault {fault}")
def step_every_fault(context, step, fault):
    context.rig.engines.faults += [
        StepFault(step, call, fault) for call in range(1, MANY_CALLS)
    ]


@given("at call {call:d} of {step} the caller disconnects")
def step_caller_disconnects(context, call, step):
    _run_at_call(context, step, call, lambda: context.task.cancel())


@given("at call {call:d} of {step} the deadline passes")
def step_deadline_passes(context, call, step):
    _run_at_call(
        context, step, call, lambda: context.rig.loop.freeze(REQUEST_TIMEOUT_S + 1)
    )


def _run_at_call(context, step, call, action):
    def run_action(at_step, at_call):
        if (at_step, at_call) == (step, call):
            action()

    context.rig.engines.on_step = run_action


@given("the engines of the zone process {rate:d} tokens a second")
def step_prefill_rate(context, rate):
    for engine in context.rig.engines.engines.values():
        engine.rates = replace(engine.rates, prefill_tokens_per_s=float(rate))


@then("{count:d} calls of {step} were made")
def step_calls(context, count, step):
    assert context.rig.engines.calls[step] == count, context.rig.engines.calls


@given("another owner holds {tokens:d} tokens of {engine}")
def step_other_owner(context, tokens, engine):
    request = ReservationRequest("other", "vm-other/1", tokens, 1000.0)
    assert context.rig.engines.engines[engine].reserve(request) is None


@when("a prompt of {tokens:d} tokens is sent to the zone")
def step_send(context, tokens):
    context.prompt = make_prompt(tokens)
    context.task = context.rig.start(context.prompt)
    context.outcome = context.rig.finish(context.task)


@then("the request to the zone is {expected}")
def step_request_outcome(context, expected):
    match expected.split(": "):
        case ["cancelled"]:
            assert context.outcome is None, context.outcome
        case ["answered"]:
            result, text, _ = context.outcome
            assert isinstance(result, Success), result
            assert text == expected_answer(context.prompt), text
        case ["refused", expected_failure]:
            _check_refused(context.outcome[0], *expected_failure.split(", "))


def _check_refused(result, code, outcome="not-run"):
    assert isinstance(result, Failure), result
    failure = result.failure()
    assert (failure.code, failure.outcome) == (code, outcome), failure
    if code != "prompt_too_long":
        assert failure.retry_after_s, failure


@then("the group request ended within {bound:d} s")
def step_ended_within(context, bound):
    assert context.outcome[2] <= bound, context.outcome


@then("the zone holds nothing afterwards")
def step_nothing_held(context):
    context.rig.settle()


@when("each node sends a prompt of {tokens:d} tokens to the zone at once")
def step_send_each(context, tokens):
    prompts = [make_prompt(tokens - n) for n in range(len(context.rig.nodes))]
    tasks = [context.rig.start(prompt, n) for n, prompt in enumerate(prompts)]
    context.outcomes = [
        (prompt, context.rig.finish(task))
        for prompt, task in zip(prompts, tasks, strict=True)
    ]


@then("every request to the zone is answered before its deadline")
def step_all_answered(context):
    for prompt, (result, text, elapsed_s) in context.outcomes:
        assert isinstance(result, Success), result
        assert text == expected_answer(prompt)
        assert elapsed_s <= REQUEST_TIMEOUT_S


@then("the slowest took at most {ratio:f} times as long as the fastest")
def step_duration_ratio(context, ratio):
    times = [elapsed_s for _, (_, _, elapsed_s) in context.outcomes]
    assert max(times) <= ratio * min(times), times


CALL_NUMBERS = st.integers(1, 8)
STEP_FAULTS = st.builds(
    StepFault,
    step=st.sampled_from(("reserve", "prefill", "open", "read", "release")),
    call=st.integers(1, 8),
    fault=st.sampled_from(("refuse", "unreachable", "crash", "cut", "silent")),
)


@then("every request ends correctly under random faults during two groups")
def step_random_faults(context):
    check_faults()


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@hypothesis_given(
    faults=st.lists(STEP_FAULTS, min_size=1, max_size=5),
    cancel_at=st.none()
    | st.tuples(st.sampled_from(("reserve", "prefill", "read")), CALL_NUMBERS),
    sizes=st.tuples(st.integers(300, 2800), st.integers(300, 2800)),
)
def check_faults(faults, cancel_at, sizes):
    """Run two requests under faults; check their outcomes and the holdings."""
    rig = GroupRig([1000, 1000, 1000], 2)
    rig.engines.faults += faults
    prompts = [make_prompt(size) for size in sizes]
    tasks = [rig.start(prompt, node) for node, prompt in enumerate(prompts)]
    if cancel_at is not None:
        rig.engines.on_step = lambda *at: tasks[0].cancel() if at == cancel_at else None
    for node, (prompt, task) in enumerate(zip(prompts, tasks, strict=True)):
        outcome = rig.finish(task)
        if outcome is None:
            continue
        result, text, elapsed_s = outcome
        assert elapsed_s <= REQUEST_TIMEOUT_S + 1, elapsed_s
        if isinstance(result, Success):
            assert text == expected_answer(prompt)
        elif result.failure().outcome == "not-run":
            assert f"vm-{node}/1" not in rig.engines.started_owners, result
    rig.settle()
    rig.close()
