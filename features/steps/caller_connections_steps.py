"""Steps about the connections of callers to nodes on the platform."""

from signal import SIGTERM
from time import monotonic, sleep

from behave import then, when

from features.steps.platform_node_steps import WHOLE_STREAM
from features.support.fleet import STOP_TIMEOUT_S
from features.support.raw_callers import RawCaller

PIECES = 10
PIECE = b"x" * 200
LIMIT_MS = 8000  # longer than the whole stop


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
