"""Steps that fail real processes and connections in the middle of an answer."""

from asyncio import run
from time import sleep

from behave import given, then, when
from returns.result import Success

from features.support.attempt_fleet import AttemptFleet, ask, last_event
from features.support.callers import SEED, completion_text
from features.support.fleet import Fleet, HttpAnswer
from features.support.shared_fleets import shared_fleet
from features.support.silent_callers import serve_silent_caller
from lagoonhinge_core.engine_messages import EngineCall
from lagoonhinge_node.engine_client import HttpEngineClient
from stand_ins.answers import whole_answer

# Admission has learnt slow answers from the faults before, and refuses short bounds.
BOUND = {"X-Timeout-Seconds": "8"}
PAUSE_PAST_BOUND_S = 9.0
MIDDLE_S = 0.5


@given("a node and 2 engines behind relays")
def step_attempt_fleet(context):
    context.attempt_fleet = shared_fleet("attempts", AttemptFleet)


def _start(context, form, headers=None):
    opened = ask(context.attempt_fleet.node, form, headers)
    if form == "streamed":
        opened.read_head()
        return opened, opened.read_some()
    sleep(MIDDLE_S)
    return opened, b""


@when("{fault} happens in the middle of a {form} answer")
def step_fault(context, fault, form):
    opened, first = _start(context, form)
    context.attempt_fleet.fail(fault)
    if form == "whole":
        opened.read_head()
    answer = HttpAnswer(opened.response.status, {}, first + opened.read_rest())
    context.opened, context.answer = opened, answer


@then("the caller has the whole answer")
def step_has_whole(context):
    completion = context.opened.completion
    expected = whole_answer(completion.prompt, completion.max_tokens, SEED)
    assert completion_text(completion, context.answer) == expected, context.answer


@when("the node is paused past the bound of a streamed answer")
def step_paused(context):
    opened, first = _start(context, "streamed", BOUND)
    context.attempt_fleet.pause_node(PAUSE_PAST_BOUND_S)
    context.answer = HttpAnswer(200, {}, first + opened.read_rest())


@then("the caller is told {code} without an end mark")
def step_told(context, code):
    assert last_event(context.answer.body)["error"]["code"] == code, context.answer
    assert b"[DONE]" not in context.answer.body


@when("the caller goes away in the middle of a streamed answer")
def step_goes_away(context):
    opened, _ = _start(context, "streamed")
    opened.response.close()
    opened.connection.close()


@then("no engine and no node holds anything after mending")
def step_nothing_held(context):
    context.attempt_fleet.mend()
    context.attempt_fleet.wait_empty()


@given("a caller's listener over a model path with endless answers")
def step_listener(context):
    pass


@when("a caller asks for a {form} answer and reads nothing")
def step_reads_nothing(context, form):
    context.form = form


@then("its connection is dropped soon after the bound")
def step_dropped(context):
    run(serve_silent_caller(context.form == "streamed"))


@given("an engine client and a running engine")
def step_engine_alone(context):
    context.fleet = Fleet()
    context.engine = context.fleet.start_engine()
    context.fleet.wait_started()


async def _drop_and_resume(url):
    client = HttpEngineClient()
    call = EngineCall("vm-1-1", "vm/1", "m", "prompt", 50, SEED, 0, 30.0)
    streams = [(await client.open_stream(url, call, 5.0)).unwrap()]
    for _ in range(5):
        await client.drop_connections(url)
        streams.append((await client.resume_stream(url, "vm-1-1", 0, 5.0)).unwrap())
        await client.load(url, 5.0)
    retired = [*client.pools.retired]
    assert len(retired) == 6, retired
    for stream in streams:
        assert isinstance(await stream.next_chunks(5.0), Success)
        await stream.close()
    assert not client.pools.retired, client.pools.retired
    assert all(pool.session.closed for pool in retired)
    await client.close()


@when("the pool is dropped 5 times during a stream and 5 streams are resumed")
def step_drop(context):
    run(_drop_and_resume(context.engine.url))


@then("every retired connection is closed at the end")
def step_closed(context):
    pass
