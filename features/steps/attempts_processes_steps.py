"""Steps that inject faults into real processes and connections during an answer."""

from asyncio import run
from time import sleep

from behave import given, then, when
from returns.result import Success

from features.support.attempt_fleet import AttemptFleet, last_event, send_completion
from features.support.callers import SEED, completion_text
from features.support.fleet import Fleet, HttpAnswer
from features.support.shared_fleets import shared_fleet
from features.support.silent_callers import serve_silent_caller
from lagoonhinge_core.engine_messages import EngineCall
from lagoonhinge_node.engine_client import HttpEngineClient
from stand_ins.answers import whole_answer

# Shorter deadlines are refused: the earlier faults raised the predicted durations.
TIMEOUT_HEADER = {"X-Timeout-Seconds": "8"}
PAUSE_PAST_DEADLINE_S = 9.0
MID_ANSWER_S = 0.5


@given("a node and 2 engines behind relays")
def step_attempt_fleet(context):
    context.attempt_fleet = shared_fleet("attempts", AttemptFleet)


def _start(context, form, headers=None):
    request = send_completion(context.attempt_fleet.node, form, headers)
    if form == "streamed":
        request.read_head()
        return request, request.read_first_event()
    sleep(MID_ANSWER_S)
    return request, b""


@when("{fault} happens in the middle of a {form} answer")
def step_fault(context, fault, form):
    request, first_event = _start(context, form)
    context.attempt_fleet.inject_fault(fault)
    if form == "whole":
        request.read_head()
    answer = HttpAnswer(request.response.status, {}, first_event + request.read_rest())
    context.request, context.answer = request, answer


@then("the caller receives the whole answer")
def step_receives_whole(context):
    completion = context.request.completion
    expected = whole_answer(completion.prompt, completion.max_tokens, SEED)
    assert completion_text(completion, context.answer) == expected, context.answer


@when("the node is paused past the deadline of a streamed answer")
def step_paused(context):
    request, first_event = _start(context, "streamed", TIMEOUT_HEADER)
    context.attempt_fleet.pause_node(PAUSE_PAST_DEADLINE_S)
    context.answer = HttpAnswer(200, {}, first_event + request.read_rest())


@then("the caller receives {code} without an end mark")
def step_receives_error(context, code):
    assert last_event(context.answer.body)["error"]["code"] == code, context.answer
    assert b"[DONE]" not in context.answer.body


@when("the caller disconnects in the middle of a streamed answer")
def step_disconnects(context):
    request, _ = _start(context, "streamed")
    request.response.close()
    request.connection.close()


@then("no engine or node holds anything after recovery")
def step_nothing_held(context):
    context.attempt_fleet.recover()
    context.attempt_fleet.wait_released()


@given("a listener for callers with endless answers")
def step_listener(context):
    pass


@when("a caller requests a {form} answer and reads nothing")
def step_reads_nothing(context, form):
    context.form = form


@then("its connection is closed soon after the deadline")
def step_closed_after_deadline(context):
    run(serve_silent_caller(context.form == "streamed"))


@given("an engine client and a running engine")
def step_engine_alone(context):
    context.fleet = Fleet()
    context.engine = context.fleet.start_engine()
    context.fleet.wait_started()


async def _retire_and_resume(url):
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
def step_retire(context):
    run(_retire_and_resume(context.engine.url))


@then("every retired connection is closed after the streams")
def step_retired_closed(context):
    pass
