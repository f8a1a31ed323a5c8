"""Steps for workers that are silent for a while and go on."""

from concurrent.futures import ThreadPoolExecutor
from time import monotonic

from behave import then, when
from hypothesis import given
from hypothesis import strategies as st

from features.steps.platform_node_steps import BODY, WHOLE_STREAM
from features.support.fuzz import run_examples
from features.support.platform_fleet import PlatformFleet, client_headers, send
from features.support.silence_fuzz import KINDS, SCRIPTS, UPSTREAMS, check_request
from features.support.waiting import eventually

REACTION_LIMIT_S = 0.5
REQUESTS = {
    "call": ("GET", "/read/1"),
    "order": ("POST", "/order/1", BODY),
    "stream": ("POST", "/stream/1", BODY),
    "stream to run once": ("POST", "/stream/once/1", BODY),
}

# Faults of the other worker; it gets a request when the first one was silent for 0.4 s.
OTHER_FAULTS = {
    "answers": {},
    "streams": {},
    "declines": {"how": "shed"},
    "breaks off": {"how": "cut"},
    "answers with 404": {"how": "not found"},
    "answers with 500": {"how": "error"},
    "is silent": {"how": "silent"},
}


def _wait_for_run(fleet: PlatformFleet, workers: tuple[str, str]) -> tuple[str, str]:
    """Return the worker that got a request, and the other one."""

    def find() -> tuple[str, str]:
        first, second = workers
        if not fleet.worker_record(first)["runs"]:
            first, second = second, first
        assert fleet.worker_record(first)["runs"]
        return first, second

    return eventually(find)


@when(
    "a worker is silent {when} a {kind} for {silence_s:g} s, and the other one {other}"
)
def step_silence(context, when, kind, silence_s, other):
    fleet = context.fleet
    is_stream = kind == "stream"
    workers = ("m1", "m2") if is_stream else ("d1", "d2")
    how = "stall" if when == "within" else "silent"
    for name in workers:
        fleet.workers[name].put_faults(how=how, silence_s=silence_s)
    request = ("POST", "/stream/1", BODY) if is_stream else ("GET", "/read/1")
    with ThreadPoolExecutor() as executor:
        sent = executor.submit(send, context.node, *request)
        _, second = _wait_for_run(fleet, workers)
        if other == "is gone":
            fleet.workers[second].popen.kill()
        else:
            fleet.workers[second].put_faults(**OTHER_FAULTS[other])
        context.answer = sent.result()


@then("the client gets a whole stream")
def step_whole_stream(context):
    answer = context.answer
    assert answer is not None, "the stream was interrupted"
    assert answer.body.decode() == WHOLE_STREAM, answer


@then("the client gets a whole answer")
def step_whole_answer(context):
    answer = context.answer
    assert answer is not None and answer.status == 200, answer
    assert answer.body.decode() == "answer of /read/1", answer


def _silence_all(fleet: PlatformFleet, when: str) -> None:
    how = "stall" if when == "within" else "silent"
    for worker in fleet.workers.values():
        worker.put_faults(how=how, silence_s=30)


@when("a {kind} with {limit_ms:d} ms is sent, and both workers are silent {when:w} it")
def step_all_silent(context, kind, limit_ms, when):
    _silence_all(context.fleet, when)
    headers = client_headers(limit_ms=limit_ms)
    context.answer = send(context.node, *REQUESTS[kind], headers=headers)
    context.ended_s = monotonic()


@when(
    "a client leaves a {kind:w} after {after_s:g} s while two workers are silent "
    "{when:w} it"
)
def step_leave(context, kind, after_s, when):
    _silence_all(context.fleet, when)
    assert send(context.node, *REQUESTS[kind], timeout_s=after_s) is None
    context.ended_s = monotonic()


@then("no worker is at work 0.5 s later")
def step_no_work(context):
    fleet = context.fleet

    def check() -> None:
        for name in fleet.workers:
            record = fleet.worker_record(name)
            assert record["ended"] == len(record["runs"]), (name, record)

    eventually(check)
    assert monotonic() - context.ended_s < REACTION_LIMIT_S


@then("the client gets {answer} and {count:d} workers ran it")
def step_ended(context, answer, count):
    found = context.answer
    status = "no answer" if found is None else f"status {found.status}"
    assert status == answer, found
    step_runs(context, count)


@then("{count:d} workers ran it")
def step_runs(context, count):
    assert len(context.fleet.runs()) == count, context.fleet.runs()


@when("{examples:d} requests meet upstreams with random silences and failures")
def step_fuzz(context, examples):
    run_examples(
        given(
            KINDS,
            st.tuples(*[SCRIPTS] * UPSTREAMS),
            st.sampled_from((0.0, 1.0, 2.0, 100.0)),
            st.sampled_from((0.0, 0.0, 0.5)),
        )(check_request),
        examples,
    )


@then(
    "each sound first attempt was answered, and no answer was mixed up or run too often"
)
def step_checked(context):
    """Each example was checked as it ran."""
