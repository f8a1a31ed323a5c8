"""Random attempts of one request at upstreams that may be silent, in virtual time."""

from asyncio import all_tasks, sleep
from dataclasses import dataclass, field, replace

from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from features.support.serving import build_serving_state
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.forwarding.attempts import Declined, Lost, NotDelivered
from lagoonhinge_core.forwarding.messages import AnswerHead, CallerRequest
from lagoonhinge_core.forwarding.retry_window import RetryBound
from lagoonhinge_core.forwarding.routes import (
    AtMostOnce,
    EventStream,
    Idempotent,
    Route,
    RouteKind,
    WeightedService,
)
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.attempt_sender import AttemptSender
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_node.forwarding.request_context import RequestContext, RequestLog
from lagoonhinge_node.forwarding.request_runner import RequestRunner
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChooser

EVENTS = 4
UPSTREAMS = 4
MAX_UPSTREAMS = 2
TIMEOUT_S = 8.0
TARGET_S = 0.2
GAPS_S = st.sampled_from((0.0, 0.02, 0.02, 0.3, 1.0, 1.2, 2.5, 60.0))
NOT_RUN_HEADS = ("declined", "not delivered")


@dataclass(frozen=True)
class UpstreamScript:
    """What one upstream does with an attempt.

    Attributes:
        head: Its answer: ok, declined, not delivered, reset or error.
        head_s: Time until then, in seconds.
        gaps_s: Time before each event, in seconds.
        break_at: Number of the event at which it breaks off; 0 for none.
    """

    head: str
    head_s: float
    gaps_s: tuple[float, ...]
    break_at: int

    def answers_within(self, limit_s: float) -> bool:
        """Return whether a first attempt is answered in full within a time."""
        is_sound = self.head == "ok" and not self.break_at
        return is_sound and self.head_s + sum(self.gaps_s) < limit_s


SCRIPTS = st.builds(
    UpstreamScript,
    st.sampled_from(("ok", "ok", "ok", "declined", "not delivered", "reset", "error")),
    GAPS_S,
    st.tuples(*[GAPS_S] * EVENTS),
    st.sampled_from((0, 0, 0, 1, 3)),
)
KINDS = st.sampled_from(
    (EventStream(True, 0.25), EventStream(False, 0.25), Idempotent(), AtMostOnce())
)


@dataclass
class ScriptedAnswer:
    """An answer, whether any of it was forwarded, and whether it was closed."""

    attempt: int
    head: AnswerHead
    script: UpstreamScript
    number: int
    forwarded: bool = False
    closed: bool = False

    async def next_data(self) -> Result[bytes, Lost]:
        """Return the next event; empty at the end."""
        if self.number > EVENTS:
            return Success(b"")
        number, self.number = self.number, self.number + 1
        await sleep(self.script.gaps_s[number - 1])
        if number == self.script.break_at:
            return Failure(Lost("reset"))
        self.forwarded = True
        return Success(f"id: {number}\n\n".encode())

    async def whole_body(self) -> Result[bytes, Lost]:
        """Return all events."""
        body = b""
        while True:
            match await self.next_data():
                case Success(b""):
                    return Success(body)
                case Success(data):
                    body += data
                case Failure(lost):
                    return Failure(lost)

    def hold(self, held_bytes: int) -> bool:
        """Return that there is memory."""
        return True

    def close(self) -> None:
        """Record that the attempt ended."""
        self.closed = True


@dataclass
class ScriptedClient:
    """Upstreams that follow scripts, one for each attempt."""

    scripts: tuple[UpstreamScript, ...]
    sends: int = 0
    runs: int = 0
    answers: list[ScriptedAnswer] = field(default_factory=list)

    async def send(self, upstream, request, options):
        """Answer an attempt as its script says."""
        attempt, script = self.sends, self.scripts[self.sends]
        self.sends += 1
        self.runs += script.head not in NOT_RUN_HEADS
        await sleep(script.head_s)
        match script.head:
            case "declined":
                return Failure(Declined(503))
            case "not delivered":
                return Failure(NotDelivered("refused"))
            case "reset":
                return Failure(Lost("reset"))
        status = 500 if script.head == "error" else 200
        head = AnswerHead(status, "", (), None, True, False, "", False)
        first = int(options.last_event_id or 0) + 1
        answer = ScriptedAnswer(attempt, head, script, first)
        self.answers.append(answer)
        return Success(answer)


@dataclass
class RecordingWriter:
    """What the caller got."""

    write_s: float
    body: bytes = b""
    started: bool = False
    status: int | None = None
    ended: str = ""

    async def start(self, head) -> None:
        """Record the head of a stream."""
        self.started, self.status = True, head.status
        await sleep(self.write_s)

    async def write(self, data) -> None:
        """Record a part of a stream."""
        assert not self.ended, "written after the end"
        self.body += data
        await sleep(self.write_s)

    async def finish(self) -> None:
        """Record a complete stream."""
        assert not self.ended
        self.ended = "whole"

    async def reply(self, head, body) -> None:
        """Record a whole answer."""
        assert not self.started and not self.ended
        self.started, self.status, self.body = True, head.status, body
        await sleep(self.write_s)
        self.ended = "whole"

    async def refuse(self, status, retry_after_s) -> None:
        """Record an answer of the node itself."""
        assert not self.started and not self.ended
        self.started, self.status, self.ended = True, int(status), "refused"

    def abort(self) -> None:
        """Record an interrupted stream."""
        self.ended = "aborted"


async def run_request(
    serving: ServingState,
    kind: RouteKind,
    client: ScriptedClient,
    writer: RecordingWriter,
    shared_parts: tuple[str, ...] = (),
) -> None:
    """Run one request at a node with `UPSTREAMS` upstreams."""
    serving.board.writer(SiteConfigSection(), "test")
    names = [f"u{number}" for number in range(UPSTREAMS)]
    serving.directory.update(
        [Upstream(name, "desk", name, 1, "north", 8) for name in names], ()
    )
    log, metrics = RequestLog(serving), ForwardingMetrics()
    sender = AttemptSender(serving, client, None, metrics, log)
    runner = RequestRunner(serving, UpstreamChooser(serving), sender, metrics, log)
    service = (WeightedService("desk", 1.0),)
    route = Route("r", "h", "/", kind, service, TIMEOUT_S, TARGET_S, MAX_UPSTREAMS)
    request = CallerRequest("a", "POST", "/", "h", (), b"", None, None, None, None)
    request = replace(request, shared_parts=shared_parts)
    arrived_s = serving.clock()
    context = RequestContext(
        request, route, "desk", None, arrived_s + TIMEOUT_S, arrived_s
    )
    await runner.run(context, writer)


def check_request(
    kind: RouteKind,
    scripts: tuple[UpstreamScript, ...],
    retry_extra: float,
    write_s: float,
) -> None:
    """Run one request, and check what its caller and its upstreams got.

    Args:
        kind: Kind of its route.
        scripts: What the upstreams do with its attempts, in their order.
        retry_extra: Retries that the retry budget allows.
        write_s: Time for which the caller delays each part, in seconds.
    """
    loop = VirtualLoop()
    serving = build_serving_state(loop.time, retries=RetryBound(10.0, 0.0, retry_extra))
    client, writer = ScriptedClient(scripts), RecordingWriter(write_s)
    loop.run_until_complete(run_request(serving, kind, client, writer))
    open_tasks = all_tasks(loop)
    loop.close()
    assert not open_tasks, open_tasks
    assert all(answer.closed for answer in client.answers), client.answers
    max_runs = 1 if kind in (AtMostOnce(), EventStream(False, 0.25)) else MAX_UPSTREAMS
    assert client.runs <= max_runs, client
    assert writer.ended, "no end"
    if writer.status == 503:
        assert client.runs == 0, client
    if writer.status == 200:
        _check_events(writer)
    answer_limit_s = TIMEOUT_S - (EVENTS + 1) * write_s
    is_taken_over = any(a.forwarded for a in client.answers if a.attempt)
    if scripts[0].answers_within(answer_limit_s) and not is_taken_over:
        # The other upstream's failure is an answer as well.
        assert writer.ended == "whole" and writer.status in (200, 500), writer


def _check_events(writer: RecordingWriter) -> None:
    numbers = [int(line[4:]) for line in writer.body.split(b"\n") if line]
    assert numbers == list(range(1, len(numbers) + 1)), writer
    assert writer.ended != "whole" or len(numbers) == EVENTS, writer
