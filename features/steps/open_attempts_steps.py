"""Steps for requests with several open attempts, in virtual time."""

from asyncio import CancelledError, sleep

from behave import given, then, when
from returns.result import Failure, Success

from features.support.serving import build_serving_state
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.forwarding.attempts import Declined, Lost
from lagoonhinge_core.forwarding.hedging import (
    LATE_FACTOR,
    MIN_OBSERVATIONS,
    HedgeBound,
    HedgeGroup,
)
from lagoonhinge_core.forwarding.messages import AnswerHead, CallerRequest
from lagoonhinge_core.forwarding.prompt_placement import MemoryReservation
from lagoonhinge_core.forwarding.routes import (
    AtMostOnce,
    EventStream,
    Idempotent,
    Route,
    WeightedService,
)
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.attempt_sender import AttemptSender
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_node.forwarding.request_context import RequestContext, RequestLog
from lagoonhinge_node.forwarding.request_runner import RequestRunner
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChoice

KINDS = {
    "stream": EventStream(True, 0.25),
    "once": EventStream(False, 0.25),
    "call": Idempotent(),
    "order": AtMostOnce(),
}
LIMIT_S = 4.0
WRITE_S = 0.01


class ScriptFault(Exception):
    """An unexpected exception within an attempt."""


class FakeAnswer:
    """Answer that follows the rest of a script."""

    def __init__(self, upstreams, status, steps):
        self.upstreams = upstreams
        self.steps = steps
        self.head = AnswerHead(status, "", (), None, True, False, "", False)

    async def next_data(self):
        while self.steps:
            step, _, value = self.steps.pop(0).partition(" ")
            match step:
                case "wait":
                    await sleep(float(value))
                case "event":
                    return Success(f"id: {value}\ndata: {value}\n\n".encode())
                case "lost":
                    return Failure(Lost("reset"))
                case "end":
                    return Success(b"")
        return Success(b"")

    async def whole_body(self):
        return Success(b"body")

    def hold(self, held_bytes):
        return True

    def close(self):
        self.upstreams.open -= 1


class FakeUpstreams:
    """Upstreams that follow scripts; also chooses them and reserves their memory."""

    def __init__(self, scripts):
        self.scripts = [[s.strip() for s in text.split(";")] for text in scripts]
        self.entries = [
            Upstream(f"u{n}", "s", f"h{n}", 1, "north", 8) for n in range(len(scripts))
        ]
        self.sends = []
        self.open = 0
        self.reserved = set()

    def choose(self, request, route, service, tried, remaining_s):
        for entry, script in zip(self.entries, self.scripts, strict=True):
            if entry.instance in tried:
                continue
            reservations = ()
            if script[0].startswith("reserve"):
                reservations = (MemoryReservation(entry.instance, 10),)
            return UpstreamChoice(entry, reservations=reservations)
        return None

    def tried_all(self, service, tried):
        return len(tried) == len(self.entries)

    def closed_for_s(self, service, tried):
        return None

    async def reserve(self, address, reservation_id, tokens, lease_s):
        if address in self.reserved:
            return Success(None)
        script = next(
            script
            for entry, script in zip(self.entries, self.scripts, strict=True)
            if entry.address() == address
        )
        self.reserved.add(address)
        await sleep(float(script[0].split()[1]))
        return Success(None)

    async def release(self, address, reservation_id):
        self.reserved.discard(address)
        return Success(None)

    async def send(self, upstream, request, options):
        number = int(upstream.instance[1:])
        self.sends.append(number)
        steps = [s for s in self.scripts[number] if not s.startswith("reserve")]
        self.open += 1
        try:
            while True:
                step, _, value = steps[0].partition(" ")
                match step:
                    case "wait":
                        await sleep(float(value))
                    case "refuse":
                        self.open -= 1
                        return Failure(Declined(503))
                    case "lost":
                        self.open -= 1
                        return Failure(Lost("reset"))
                    case "fault":
                        raise ScriptFault
                    case "status":
                        return Success(FakeAnswer(self, int(value), []))
                    case _:
                        return Success(FakeAnswer(self, 200, steps))
                del steps[0]
        except (CancelledError, ScriptFault):
            self.open -= 1
            raise


class RecordingWriter:
    """Records what the caller gets; fails if two answers are mixed."""

    def __init__(self):
        self.started = False
        self.parts = []
        self.is_busy = False

    async def _append(self, part):
        assert not self.is_busy, "two attempts write at once"
        self.is_busy = True
        try:
            await sleep(WRITE_S)
            self.parts.append(part)
        finally:
            self.is_busy = False

    async def start(self, head):
        assert not self.started, "a second answer begins"
        self.started = True

    async def write(self, data):
        for line in data.decode().splitlines():
            if line.startswith("id: "):
                await self._append(line.removeprefix("id: "))

    async def finish(self):
        await self._append("end")

    async def reply(self, head, body):
        assert not self.started, "a second answer begins"
        self.started = True
        await self._append(str(head.status))

    async def refuse(self, status, retry_after_s):
        assert not self.started, "a second answer begins"
        self.started = True
        await self._append(str(status))

    def abort(self):
        self.parts.append("aborted")


@given('upstreams that do "{first}" and "{second}" and "{third}"')
def step_upstreams(context, first, second, third):
    context.loop = loop = VirtualLoop()
    context.upstreams = upstreams = FakeUpstreams([first, second, third])
    context.serving = serving = build_serving_state(loop.time)
    serving.board.writer(SiteConfigSection(), "config")
    serving.directory.update(upstreams.entries, ())
    metrics, log = ForwardingMetrics(), RequestLog(serving)
    sender = AttemptSender(serving, upstreams, upstreams, metrics, log)
    context.runner = RequestRunner(serving, upstreams, sender, metrics, log)
    context.writer = RecordingWriter()


@given("requests are hedged after {after:g} s")
def step_hedged(context, after):
    hedges = context.serving.hedges
    hedges.set_bound(HedgeBound(0.05, 100.0))
    hedges.budget.by_share = hedges.budget.by_rate = 1.0
    for kind in ("idempotent", "at_most_once", "stream"):
        for _ in range(MIN_OBSERVATIONS):
            hedges.record_delay(HedgeGroup("s", kind, "none"), after / LATE_FACTOR)


def _start(context, kind):
    service = (WeightedService("s", 1.0),)
    route = Route("r", "h", "/", KINDS[kind], service, LIMIT_S, 0.2, 2)
    request = CallerRequest("a-1", "GET", "/", "h", (), b"", None, LIMIT_S, None, None)
    now_s = context.loop.time()
    context.request = RequestContext(request, route, "s", None, now_s + LIMIT_S, now_s)
    return context.loop.create_task(context.runner.run(context.request, context.writer))


@when("a caller sends a {kind:w}")
def step_send(context, kind):
    task = _start(context, kind)
    try:
        context.loop.run_until_complete(task)
    except ScriptFault:
        context.writer.parts.append("fault")


@when(
    "a caller sends a {kind:w}, "
    "and the node is suspended from {from_s:g} s to {to_s:g} s"
)
def step_suspended(context, kind, from_s, to_s):
    task = _start(context, kind)
    context.loop.run_until_complete(sleep(from_s))
    context.loop.freeze(to_s - from_s)
    context.loop.run_until_complete(task)


@when("a caller sends a {kind:w} and leaves after {after_s:g} s")
def step_leave(context, kind, after_s):
    task = _start(context, kind)
    context.loop.run_until_complete(sleep(after_s))
    task.cancel()
    try:
        context.loop.run_until_complete(task)
    except CancelledError:
        return
    raise AssertionError("the request went on")


def _check_end(context, sends):
    upstreams, serving = context.upstreams, context.serving
    assert upstreams.sends == [int(n) for n in sends.split()], upstreams.sends
    assert upstreams.open == 0, "an upstream still works"
    context.loop.run_until_complete(sleep(0.1))
    assert not upstreams.reserved, "memory is still reserved"
    assert not serving.load.own_work, serving.load.own_work


@then('the caller gets "{answer}" after sends to "{sends}"')
def step_answer(context, answer, sends):
    assert " ".join(context.writer.parts) == answer, context.writer.parts
    _check_end(context, sends)


@then('nothing is sent to any upstream any more, after sends to "{sends}"')
def step_nothing(context, sends):
    _check_end(context, sends)
    assert not context.writer.parts


@then("{count:d} retry is counted")
def step_retries(context, count):
    assert len(context.serving.retry_window("s").retries) == count
