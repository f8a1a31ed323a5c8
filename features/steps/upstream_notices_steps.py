"""Steps for what workers say of themselves in their answers."""

from asyncio import sleep
from dataclasses import replace
from logging import Handler
from random import Random
from time import monotonic

from absl import logging
from behave import given, then, when

from features.steps.request_limits_steps import send_requests
from features.support.notice_fleet import (
    DESK,
    LONG_PROMPT,
    MODELS,
    FakeUpstream,
    NoticeFleet,
)
from features.support.notice_machine import run_notice_machine
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.forwarding.pauses import UpstreamPauses
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_platform.names import RETRY_AFTER


def _arrivals_s(context, worker: str) -> list[float]:
    return context.fleet.worker_record(worker)["arrivals_s"]


def _put_faults(context, workers: str, **faults) -> None:
    for name in workers.split():
        if name in context.fleet.workers:
            context.fleet.workers[name].put_faults(**faults)


@when(
    "{worker} says that it leaves, and {rate:d} requests a second are sent to {target} "
    "for {duration:d} s"
)
def step_leaving(context, worker, rate, target, duration):
    _put_faults(context, worker, leaving=True)
    send_requests(context, rate, duration, target)


@when(
    "its entry has a later start, and {rate:d} requests a second are sent to {target} "
    "for {duration:d} s"
)
def step_started_again(context, rate, target, duration):
    _put_faults(context, "d1")
    context.restarted_s = monotonic()
    context.fleet.list_worker("d1", "desk", born=2)
    send_requests(context, rate, duration, target)


@when(
    "{workers} 503 with Retry-After {retry_after}, and {rate:d} requests a second are "
    "sent to {target} for {duration:d} s"
)
def step_turns_away(context, workers, retry_after, rate, target, duration):
    _put_faults(context, workers, how="shed", retry_after=retry_after)
    send_requests(context, rate, duration, target)


@then("{worker} got a request, and none later than {most_s:g} s after its first answer")
def step_none_later(context, worker, most_s):
    arrivals_s = _arrivals_s(context, worker)
    assert arrivals_s[-1] - arrivals_s[0] <= most_s, arrivals_s


@then("{worker} got a request after its later start")
def step_again(context, worker):
    assert _arrivals_s(context, worker)[-1] > context.restarted_s


@then(
    "{worker} got at most {most:d} requests from {from_s:g} s to {to_s:g} s after its "
    "first answer"
)
def step_at_most_between(context, worker, most, from_s, to_s):
    arrivals_s = _arrivals_s(context, worker)
    passed_s = [at_s - arrivals_s[0] for at_s in arrivals_s]
    assert sum(from_s < at_s < to_s for at_s in passed_s) <= most, passed_s


@then("{worker} got a request later than {least_s:g} s after its first answer")
def step_later(context, worker, least_s):
    arrivals_s = _arrivals_s(context, worker)
    assert arrivals_s[-1] - arrivals_s[0] > least_s, arrivals_s


@then("the last Retry-After is between {least_s:g} and {most_s:g} s")
def step_last_retry_after(context, least_s, most_s):
    answer, _ = context.answers[-1]
    assert least_s <= float(answer.headers[RETRY_AFTER]) <= most_s, answer


@given("a node in virtual time to which an upstream said that it {notice}")
def step_told(context, notice):
    context.loop = loop = VirtualLoop()
    upstreams = {name: FakeUpstream(DESK) for name in ("d0", "d1")}
    context.virtual_fleet = fleet = NoticeFleet(loop, Random(1), ("n0",), upstreams)
    loop.run_until_complete(fleet.start_node("n0"))
    context.node = node = fleet.nodes["n0"]
    context.upstream = node.serving.directory.by_instance["d0"]
    if notice == "leaves":
        node.serving.leaving_notices.record(context.upstream)
    else:
        node.serving.pauses.record(context.upstream, 60.0, loop.time())


@when("{event}, 2 s pass, and its row of then comes back")
def step_row_back(context, event):
    fleet, node, loop = context.virtual_fleet, context.node, context.loop
    upstream, rows = fleet.upstreams["d0"], fleet.rows()
    if event == "its row is removed":
        fleet.upstreams["d0"] = replace(upstream, row=None)
    if event == "it is listed with a later start":
        fleet.upstreams["d0"] = replace(upstream, started_ms=2)
    node.apply(fleet.rows(), True)
    loop.run_until_complete(sleep(2.0))
    node.apply(rows, True)
    assert context.upstream in node.serving.directory.usable(DESK)


class LogRecorder(Handler):
    """Keeps what is logged."""

    def __init__(self):
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record):
        """Keep a record."""
        self.lines.append(record.getMessage())


@given("two nodes in virtual time, one of which an upstream tells that it leaves")
def step_two_nodes(context):
    context.loop = loop = VirtualLoop()
    upstreams = {name: FakeUpstream(DESK) for name in ("d0", "d1")}
    names = ("n0", "n1")
    context.virtual_fleet = fleet = NoticeFleet(loop, Random(1), names, upstreams)
    for name in names:
        loop.run_until_complete(fleet.start_node(name))
    serving = fleet.nodes["n0"].serving
    serving.leaving_notices.record(serving.directory.by_instance["d0"])


@when("{seconds:g} s pass in which the nodes send each other updates")
def step_updates(context, seconds):
    context.log = LogRecorder()
    logger = logging.get_absl_logger()
    level = logging.get_verbosity()
    logging.set_verbosity(logging.INFO)
    logger.addHandler(context.log)
    try:
        context.loop.run_until_complete(sleep(seconds))
    finally:
        logger.removeHandler(context.log)
        logging.set_verbosity(level)


@then("the log of the other node says once that a peer was told that it leaves")
def step_logged_once(context):
    fleet = context.virtual_fleet
    for name in ("n0", "n1"):
        context.loop.run_until_complete(fleet.stop_node(name))
    lines = [line for line in context.log.lines if "leaves" in line]
    assert len(lines) == 1 and "d0" in lines[0], context.log.lines
    assert "A peer was told that an upstream leaves." in lines[0], lines


@then("its metrics count {leaving:d} leaving and {paused:d} paused upstreams")
def step_notice_metrics(context, leaving, paused):
    metrics = ForwardingMetrics()
    metrics.add_gauges(context.node.serving)
    read = metrics.registry.get_sample_value
    assert read("lagoonhinge_leaving_upstreams") == leaving
    assert read("lagoonhinge_paused_upstreams") == paused
    context.loop.run_until_complete(context.virtual_fleet.stop_node("n0"))


@then("the node sends it nothing")
def step_nothing(context):
    serving = context.node.serving
    assert context.upstream not in serving.allowed(serving.usable(DESK))
    context.loop.run_until_complete(context.virtual_fleet.stop_node("n0"))


@given("an upstream that asks one node for pauses {pauses}")
def step_pauses(context, pauses):
    context.pauses = UpstreamPauses()
    context.upstream = Upstream("d0", DESK, "h", 1, "north", 8)
    for pause in pauses.split(", "):
        at_s, _, pause_s = pause.partition(": ")
        context.pauses.record(context.upstream, float(pause_s), float(at_s))


@then("the node sends it nothing for {rest_s:g} s from {at_s:g} s on")
def step_pause_rest(context, rest_s, at_s):
    remaining_s = context.pauses.remaining_s(context.upstream, at_s)
    assert round(remaining_s, 6) == rest_s, remaining_s


@given(
    "a node in virtual time before {count:d} engines, on which memory is reserved in "
    "{reserve_s:g} s"
)
def step_engines(context, count, reserve_s):
    context.loop = loop = VirtualLoop()
    engines = {f"e{number}": FakeUpstream(MODELS) for number in range(count)}
    context.virtual_fleet = fleet = NoticeFleet(
        loop, Random(1), ("n0",), engines, reserve_s
    )
    loop.run_until_complete(fleet.start_node("n0"))
    context.node = fleet.nodes["n0"]


@when("{engine} of a long prompt {notice} {after_s:g} s after the choice")
def step_closes(context, engine, notice, after_s):
    context.loop.run_until_complete(_close_meanwhile(context, engine, notice, after_s))


async def _close_meanwhile(context, engine, notice, after_s) -> None:
    fleet, node = context.virtual_fleet, context.node
    serving = node.serving
    context.request, context.writer = node.start_request(LONG_PROMPT)
    await sleep(after_s)
    (answering,) = context.request.tried
    name = answering if engine == "the answering engine" else node.reserving[0]
    upstream = serving.directory.by_instance[name]
    match notice.split():
        case ["says", *_]:
            serving.leaving_notices.record(upstream)
        case ["told", *_]:
            serving.leaving_notices.merge((upstream.run(),))
        case ["turns", *_]:
            serving.pauses.record(upstream, 60.0, fleet.loop.time())
        case ["is", "draining", *_]:
            fleet.upstreams[name].row = True
        case ["is", "no", *_]:
            fleet.upstreams[name].row = None
    node.apply(fleet.rows(), True)
    node.told_leaving.add(upstream.run())
    await sleep(3.0)


@then("the prompt is answered by others after one attempt, and no retry is counted")
def step_answered_by_others(context):
    fleet, request = context.virtual_fleet, context.request
    context.loop.run_until_complete(fleet.stop_node("n0"))
    assert not fleet.wrong_sends, fleet.wrong_sends
    assert context.writer.status == 200 and len(fleet.sends) == 1, fleet.sends
    assert request.attempts == len(request.tried) == 1, request
    window = context.node.serving.retry_window(MODELS)
    assert not window.retries, window


@then("the state machine of upstreams' notices holds for {examples:d} examples")
def step_notice_machine(context, examples):
    run_notice_machine(examples)
