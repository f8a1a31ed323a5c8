"""Steps about the connections of callers to nodes on the platform."""

from contextlib import suppress
from signal import SIGTERM
from time import monotonic, sleep

from behave import given, then, when

from features.steps.platform_node_steps import WHOLE_STREAM
from features.support.fleet import STOP_TIMEOUT_S
from features.support.platform_fleet import BOUNDS, config
from features.support.raw_callers import RawCaller
from features.support.waiting import eventually
from lagoonhinge_platform.names import RETRY_AFTER
from stand_ins.platform_worker import (
    LARGE_BODY,
    LARGE_EVENT_COUNT,
    LARGE_EVENT_DATA,
)

LONG_S = 20.0  # longer than the whole stop
PIECES = 10
PIECE = b"x" * 200
LIMIT_MS = 8000
STREAM_PAUSE_S = 1.0  # before each of 5 events, so the stream ends late in the stop
RECEIVE_BYTES = 1 << 18
QUIET_S = 0.5  # time in which a second answer would arrive


@when(
    "the node is stopped, and a client sends {target} with a body {framing}"
    " from {start:g} s to {end:g} s later"
)
def step_upload_while_stopping(context, target, framing, start, end):
    context.target, chunked = target, framing == "in chunks"
    context.caller = caller = RawCaller(context.node)
    context.node.popen.send_signal(SIGTERM)
    sleep(start)
    length = {"Content_Length": str(PIECES * len(PIECE))}
    frame = {"Transfer_Encoding": "chunked"} if chunked else length
    caller.send_head("POST", target, LIMIT_MS, **frame)
    caller.send_body([PIECE] * PIECES, chunked, (end - start) / PIECES)
    context.sent_s = monotonic()


@then(
    "it gets the worker's own answer within {limit:g} s, and the connection is closed"
)
def step_answer_and_close(context, limit):
    answer = context.caller.read_answer()
    took_s = monotonic() - context.sent_s
    log = context.node.log.read_text()
    assert answer is not None, (took_s, log)
    is_stream = context.target.startswith("/stream/")
    expected = WHOLE_STREAM if is_stream else f"answer of {context.target}"
    assert answer.status == 200 and answer.body.decode() == expected, (answer, log)
    assert took_s < limit, took_s
    assert context.caller.read_rest() == b""
    assert answer.headers["Connection"] == "close", answer
    (run,) = context.fleet.runs()
    assert run["body"].encode() == PIECE * PIECES, run


@then("the node exits with status 0")
def step_exits(context):
    assert context.node.popen.wait(STOP_TIMEOUT_S) == 0


@when(
    "its workers give large answers, and a client sends {target} and reads"
    " after {pause:g} s"
)
def step_slow_reader(context, target, pause):
    for worker in context.fleet.workers.values():
        worker.put_faults(how="large")
    context.caller = RawCaller(context.node, RECEIVE_BYTES)
    context.caller.send_head("GET", target, LIMIT_MS)
    sleep(pause)
    context.answer = context.caller.read_answer()


@then("it gets {answer} of the worker and nothing else")
def step_large_answer(context, answer):
    expected = LARGE_BODY
    if answer == "the whole stream":
        events = range(1, LARGE_EVENT_COUNT + 1)
        expected = b"".join(
            b"id: %d\ndata: %s\n\n" % (n, LARGE_EVENT_DATA) for n in events
        )
    got, log = context.answer, context.node.log.read_text()
    assert got is not None and got.status == 200, log
    assert got.body == expected, (len(got.body), len(expected), log)
    context.caller.socket.settimeout(QUIET_S)
    with suppress(TimeoutError):
        rest = context.caller.socket.recv(1)
        raise AssertionError((rest, log))


@then("one worker ran the request")
def step_one_run(context):
    assert len(context.fleet.runs()) == 1, context.node.log.read_text()


def _put_time_limit(context, limit_s: float) -> None:
    routes = config()["routes"]
    limits = {"timeoutMs": limit_s * 1000, "targetLatencyMs": limit_s * 1000}
    routes = [{**route, **limits} for route in routes]
    context.fleet.put_config(version=2, routes=routes)

    def in_force() -> None:
        log = context.node.log.read_text()
        assert '"A configuration is in force.","version":2' in log, log

    eventually(in_force)


@given("its routes have a time limit of {limit:g} s")
def step_time_limit(context, limit):
    _put_time_limit(context, limit)


@when(
    "the node is stopped, and a client sends {target} with {limit:d} ms"
    " on a kept connection {moment}"
)
def step_late_request(context, target, limit, moment):
    context.target = target
    context.caller = caller = RawCaller(context.node)
    caller.send_head("GET", "/read/first")
    assert caller.read_answer().status == 200
    if moment == "at the end of a stream":
        for worker in context.fleet.workers.values():
            worker.put_faults(pause_s=STREAM_PAUSE_S)
        caller.send_head("GET", "/stream/once/first", LIMIT_MS)
        sleep(1.5 * STREAM_PAUSE_S)  # the head of the answer keeps the connection
        context.node.popen.send_signal(SIGTERM)
        assert caller.read_answer().status == 200
    else:
        context.node.popen.send_signal(SIGTERM)
        sleep(float(moment.split()[0]))
    context.runs_before = len(context.fleet.runs())
    with suppress(OSError):
        caller.send_head("GET", target, limit)


@then("it gets {answer}, and the connection is closed")
def step_late_answer(context, answer):
    got, log = context.caller.read_answer(), context.node.log.read_text()
    runs = len(context.fleet.runs()) - context.runs_before
    match answer:
        case "the worker's answer":
            assert got is not None and got.status == 200 and runs == 1, (got, log)
        case "a refusal or no answer" if got is None:
            assert runs == 0, log
            return
        case _:
            assert got is not None and got.status == 503 and runs == 0, (got, log)
            assert float(got.headers[RETRY_AFTER]) > 0, got
    assert got.headers["Connection"] == "close", got
    assert context.caller.read_rest() == b""


@when("the node is stopped while a client's {target} takes longer than the stop")
def step_outlast_stop(context, target):
    fleet = context.fleet
    for worker in fleet.workers.values():
        worker.put_faults(pause_s=LONG_S)
    _put_time_limit(context, LONG_S)
    context.caller = RawCaller(context.node)
    context.caller.send_head("GET", target, int(LONG_S * 1000))

    def running() -> None:
        assert fleet.runs()

    eventually(running)
    context.stopped_s = monotonic()
    context.node.popen.send_signal(SIGTERM)


@then(
    "the client gets status {status:d} before the node is killed,"
    " and the connection is closed"
)
def step_status_before_kill(context, status):
    answer = context.caller.read_answer()
    took_s = monotonic() - context.stopped_s
    assert answer is not None, (took_s, context.node.log.read_text())
    assert answer.status == status, answer
    assert took_s < BOUNDS["graceS"], took_s
    assert context.caller.read_rest() == b""


@when("the head of a POST arrives with Expect {expect} and headers of {size:d} bytes")
def step_expect(context, expect, size):
    context.caller = RawCaller(context.node)
    fields = {"X_Long": "x" * size, "Content_Length": str(len(PIECE))}
    if expect != "nothing":
        fields["Expect"] = expect
    context.caller.send_head("POST", "/order/1", **fields)


@then("it gets status {status:d}, and the connection is {end} after it")
def step_refusal_end(context, status, end):
    answer = context.caller.read_answer("POST")
    assert answer is not None and answer.status == status, answer
    is_closed = answer.headers.get("Connection") == "close"
    assert is_closed == (end == "closed"), answer
    if not is_closed:
        context.caller.send_body([PIECE], False, 0.0)
        context.caller.send_head("GET", "/read/1")
        answer = context.caller.read_answer()
        assert answer is not None and answer.status == 200, answer
