"""One send of a request to an upstream, and the way of its answer to the caller."""

from asyncio import timeout
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.attempts import (
    AttemptFailure,
    Declined,
    Failed,
    Lost,
    NotDelivered,
)
from lagoonhinge_core.forwarding.event_splitter import EventSplitter
from lagoonhinge_core.forwarding.messages import EngineMemory, Helper, SendOptions
from lagoonhinge_core.forwarding.routes import EventStream
from lagoonhinge_core.forwarding.timeouts import answer_timeout_s, event_gap_timeout_s
from lagoonhinge_node.forwarding.choosing import Choice
from lagoonhinge_node.forwarding.forwarding_metrics import (
    ForwardingMetrics,
    kind_label,
    size_label,
)
from lagoonhinge_node.forwarding.held_memory import HeldMemory
from lagoonhinge_node.forwarding.patience import Patience
from lagoonhinge_node.forwarding.request_job import CallerSink, Job, JobLog
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
)

FIRST_FAILURE_STATUS = 500
FIRST_REDIRECT_STATUS = 300


@dataclass
class Send:
    """One send on its way.

    Attributes:
        job: The request.
        choice: Where it goes.
        number: Number of its prompt at this node.
        sink: The caller's end.
        patience: Limit on the upstream's silence.
        longest_pause_s: Longest pause between events so far, in seconds.
    """

    job: Job
    choice: Choice
    number: int
    sink: CallerSink
    patience: Patience
    longest_pause_s: float = 0.0


class Sender:
    """Sends requests and passes answers on.

    Args:
        state: What all requests share.
        client: Sends to upstreams.
        memory: Sets memory of engines aside.
        metrics: The metrics.
        log: Log lines of requests.
    """

    def __init__(
        self,
        state: ServingState,
        client: UpstreamClient,
        memory: EngineMemory,
        metrics: ForwardingMetrics,
        log: JobLog,
    ):
        self.state = state
        self.client = client
        self.memory = memory
        self.metrics = metrics
        self.log = log

    async def send(
        self,
        job: Job,
        choice: Choice,
        sink: CallerSink,
        may_move: Callable[[float], bool],
    ) -> Result[None, AttemptFailure]:
        """Send a request once and pass its answer on.

        Args:
            job: The request.
            choice: Where it goes.
            sink: The caller's end.
            may_move: Tells, after a silence in seconds, whether another upstream
                should go on with it now.

        Returns:
            Success once the caller has the answer, or why it has not.
        """
        state, instance = self.state, choice.upstream.instance
        job.sends += 1
        job.tried.add(instance)
        number = state.load.next_prompt_number()
        held = HeldMemory(state, self.memory, self._ticket(number))
        try:
            if choice.holdings and not await held.take(choice.holdings):
                return Failure(Declined(HTTPStatus.SERVICE_UNAVAILABLE.value))
            job.may_be_running = True
            state.load.start_request(instance, choice.tokens)
            for reading in choice.readings(number):
                state.load.add_prefill(reading, state.clock())
            self._log_send(job, choice)
            unrun = False
            try:
                result = await self._exchange(job, choice, number, sink, may_move)
                unrun = isinstance(result, Failure) and isinstance(
                    result.failure(), NotDelivered | Declined
                )
            finally:
                state.load.finish_request(instance, choice.tokens)
                if unrun:
                    state.load.finish_prefill(number, choice.instances())
                else:
                    state.load.cancel_prefill(number, choice.instances(), state.clock())
        finally:
            held.free()
        # Not reached on a timeout, after which the send may still have run.
        if not isinstance(result, Success):
            job.may_be_running = job.runs > 0 or not unrun
        return result

    def _ticket(self, number: int) -> str:
        return f"{self.state.load.node}.{number}"

    def _log_send(self, job: Job, choice: Choice) -> None:
        load = self.state.load.load(choice.upstream.instance, self.state.clock())
        self.log.tell(
            job,
            "Sent.",
            upstream=choice.upstream.instance,
            tokens=choice.tokens,
            helpers=len(choice.helpers),
            holdings=len(choice.holdings),
            waiting_s=choice.waiting_s,
            part_s=choice.part_s,
            open=load.requests,
            send=job.sends,
        )

    def _options(self, job: Job, choice: Choice, number: int) -> SendOptions:
        holders = {holding.instance for holding in choice.holdings}
        # Tickets are filled in turn, so they stand first.
        ordered = sorted(choice.helpers, key=lambda h: h.instance not in holders)
        helpers = tuple(
            Helper(
                helper.address(),
                self._ticket(number) if helper.instance in holders else "",
            )
            for helper in ordered
        )
        return SendOptions(
            choice.upstream.instance,
            job.account,
            self.log.remaining_s(job),
            helpers,
            job.last_event,
        )

    async def _exchange(
        self,
        job: Job,
        choice: Choice,
        number: int,
        sink: CallerSink,
        may_move: Callable[[float], bool],
    ) -> Result[None, AttemptFailure]:
        limit = timeout(None)
        send = Send(job, choice, number, sink, Patience(limit, may_move))
        predicted_s = choice.waiting_s + choice.part_s
        send.patience.expect_within(answer_timeout_s(job.route, predicted_s))
        answer: UpstreamAnswer | None = None
        try:
            async with limit:
                match await self.client.send(
                    choice.upstream, job.request, self._options(job, choice, number)
                ):
                    case Failure(failure):
                        return Failure(failure)
                    case Success(found):
                        answer = found
                assert answer is not None
                is_good = answer.head.status < FIRST_REDIRECT_STATUS
                if isinstance(job.route.kind, EventStream) and is_good:
                    return await self._relay(send, answer, job.route.kind)
                return await self._pass_whole(send, answer)
        except TimeoutError:
            if not limit.expired():
                raise
            return Failure(Lost("silent for too long", True))
        finally:
            send.patience.stop()
            if answer is not None:
                answer.close()

    async def _pass_whole(
        self, send: Send, answer: UpstreamAnswer
    ) -> Result[None, AttemptFailure]:
        job = send.job
        match await answer.whole_body():
            case Failure(lost):
                return Failure(lost)
            case Success(body):
                pass
        if answer.head.status >= FIRST_FAILURE_STATUS:
            job.failed_answer = (answer.head, body)
            return Failure(Failed(answer.head.status))
        self._note_health(send)
        self._note_first_event(send, "Answered.")
        await send.sink.reply(answer.head, body)
        return Success(None)

    async def _relay(
        self, send: Send, answer: UpstreamAnswer, kind: EventStream
    ) -> Result[None, AttemptFailure]:
        job, sink = send.job, send.sink
        splitter = EventSplitter()
        last_s: float | None = None
        while True:
            match await answer.next_data():
                case Failure(lost):
                    return Failure(lost)
                case Success(data):
                    pass
            if not data:
                break
            events = splitter.feed(data)
            if not events:
                continue
            now_s = self.state.clock()
            if last_s is None:
                self._note_first_event(send, "First event.")
            else:
                send.longest_pause_s = max(send.longest_pause_s, now_s - last_s)
            last_s = now_s
            if not sink.begun:
                await sink.begin(answer.head)
            for event in events:
                if event.event_id is not None:
                    job.last_event = event.event_id
            await sink.write(b"".join(event.raw for event in events))
            send.patience.expect_within(event_gap_timeout_s(kind))
        if splitter.buffer:
            return Failure(Lost("the stream ended within an event"))
        self._note_health(send)
        self._note_end(send)
        if not sink.begun:
            await sink.begin(answer.head)
        await sink.finish()
        return Success(None)

    def _note_health(self, send: Send) -> None:
        instance = send.choice.upstream.instance
        self.state.health.record_answer(instance, False, self.state.clock())
        if not self.state.crashes.is_empty():
            self.state.crashes.clear_request(send.job.digest)

    def _note_first_event(self, send: Send, sentence: str) -> None:
        """Count the prompt as read."""
        job, choice = send.job, send.choice
        self.state.load.finish_prefill(send.number, choice.instances())
        took_s = self.log.took_s(job)
        predicted_s = choice.waiting_s + choice.part_s
        self.log.tell(job, sentence, took_s=took_s, predicted_s=predicted_s)
        labels = (kind_label(job.route.kind), size_label(job.request))
        self.metrics.first_event.labels(*labels).observe(took_s)

    def _note_end(self, send: Send) -> None:
        job, pause_s = send.job, send.longest_pause_s
        took_s = self.log.took_s(job)
        self.log.tell(
            job,
            "Stream done.",
            took_s=took_s,
            sends=job.sends,
            longest_pause_s=pause_s,
        )
        self.metrics.pause.labels(size_label(job.request)).observe(pause_s)
