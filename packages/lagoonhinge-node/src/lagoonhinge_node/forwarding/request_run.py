"""One request's way: choose an upstream, send, relay, and send elsewhere on trouble."""

from asyncio import sleep, timeout
from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.event_splitter import EventSplitter
from lagoonhinge_core.forwarding.messages import (
    AnswerHead,
    CallerRequest,
    EngineMemory,
    Helper,
    SendOptions,
)
from lagoonhinge_core.forwarding.patience import answer_limit_s, pause_limit_s
from lagoonhinge_core.forwarding.routes import EventStream, Route
from lagoonhinge_core.forwarding.sends import (
    Declined,
    Failed,
    Lost,
    NotDelivered,
    RequestHistory,
    SendFailure,
    Verdict,
    after_failure,
)
from lagoonhinge_node.forwarding.choosing import Choice, Chooser
from lagoonhinge_node.forwarding.held_memory import HeldMemory
from lagoonhinge_node.forwarding.patience import Patience
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
)
from lagoonhinge_node.logs import PartLogger

SHORT_RETRY_AFTER_S = 0.25  # another node, or the next entry of an upstream, may serve
ERROR_STATUS = 500
ROOM_WAIT_SHARE = 0.5  # of the target time; beyond it the answer would be late anyway
ROOM_CHECK_S = 0.03  # less than an engine's pass, in which room may become free
# A request is not moved from a silent upstream to one that is as busy.
MOST_WAIT_AFTER_MOVE_S = 0.3

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class CallerSink(Protocol):
    """The caller's end of a request."""

    begun: bool

    async def begin(self, head: AnswerHead) -> None:
        """Pass on the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Pass on bytes of a stream."""

    async def finish(self) -> None:
        """End a stream as complete."""

    async def reply(self, head: AnswerHead, body: bytes) -> None:
        """Pass on a whole answer."""

    async def refuse(self, status: int, retry_after_s: float | None) -> None:
        """Answer for this system itself."""

    def break_off(self) -> None:
        """Cut a stream so that it can't look complete."""


@dataclass
class Job:
    """A request and what it has been through.

    Attributes:
        request: The request.
        route: Its route.
        service: The service that the split gave it.
        account: Name of its client account.
        deadline_s: When its time is over, in seconds of the node's clock.
        arrived_s: When it arrived.
        tried: Instances that it was sent to.
        sends: Sends so far.
        runs: Sends that may have run.
        declined: Sends that upstreams declined.
        not_delivered: Sends that reached no upstream.
        may_be_running: Whether a send is open that may run.
        last_event: Last event passed on, or the one that the caller had.
        failed_answer: An upstream's failure to pass on if no other will do.
    """

    request: CallerRequest
    route: Route
    service: str
    account: str | None
    deadline_s: float
    arrived_s: float
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    declined: int = 0
    not_delivered: int = 0
    may_be_running: bool = False
    last_event: str | None = None
    failed_answer: tuple[AnswerHead, bytes] | None = None


@dataclass
class Relay:
    """One stream on its way to the caller.

    Attributes:
        job: The request.
        choice: Where it was sent.
        number: Number of its prompt.
        answer: The upstream's answer.
        sink: The caller's end.
        patience: Limit on the upstream's silence.
        longest_pause_s: Longest pause between events so far, in seconds.
    """

    job: Job
    choice: Choice
    number: int
    answer: UpstreamAnswer
    sink: CallerSink
    patience: Patience
    longest_pause_s: float = 0.0


class RequestRunner:
    """Runs requests.

    Args:
        state: What all requests share.
        chooser: Chooses upstreams.
        client: Sends to them.
        memory: Sets memory of engines aside.
    """

    def __init__(
        self,
        state: ServingState,
        chooser: Chooser,
        client: UpstreamClient,
        memory: EngineMemory,
    ):
        self.state = state
        self.memory = memory
        self.chooser = chooser
        self.client = client
        self.log_part = PartLogger("request")

    async def run(self, job: Job, sink: CallerSink) -> None:
        """Serve a request to its end within its time."""
        self.state.retry_window(job.service).count_request(self.state.clock())
        job.last_event = job.request.last_event
        try:
            async with timeout(max(0.0, self._remaining_s(job))):
                await self._send_until_done(job, sink)
        except TimeoutError:
            await self._time_out(job, sink)

    async def _send_until_done(self, job: Job, sink: CallerSink) -> None:
        while True:
            choice = await self._choose(job)
            if choice is None:
                self._log(job, "No upstream has room.", sends=job.sends)
                await self._give_up(job, sink, Verdict.REFUSE)
                return
            match await self._send(job, choice, sink):
                case Success(_):
                    return
                case Failure(failure):
                    verdict = self._judge(job, choice, failure)
            if verdict is not Verdict.SEND_AGAIN:
                await self._give_up(job, sink, verdict)
                return
            if job.runs or job.declined:
                self.state.retry_window(job.service).count_repeat(self.state.clock())

    def _choose_now(self, job: Job) -> Choice | None:
        return self.chooser.choose(
            job.request, job.route, job.service, job.tried, self._remaining_s(job)
        )

    async def _choose(self, job: Job) -> Choice | None:
        """Return where to send a request; waits a little for room."""
        until_s = self.state.clock() + ROOM_WAIT_SHARE * job.route.target_s
        while True:
            choice = self._choose_now(job)
            if choice is not None or self.state.clock() >= until_s:
                return choice
            await sleep(ROOM_CHECK_S)

    def _judge(self, job: Job, choice: Choice, failure: SendFailure) -> Verdict:
        now_s = self.state.clock()
        instance = choice.upstream.instance
        match failure:
            case NotDelivered():
                job.not_delivered += 1
                self.state.note_not_reached(choice.upstream)
            case Declined():
                job.declined += 1
                self._blame_decline(choice, failure)
            case Lost(timed_out=True):
                job.runs += 1
                self.state.health.silent(instance, now_s)
            case Lost():
                job.runs += 1
                self.state.health.lost(instance, now_s)
            case Failed():
                job.runs += 1
                self.state.health.answered(instance, True, now_s)
        history = RequestHistory(
            job.runs,
            job.declined,
            job.not_delivered,
            self.state.allows_repeat(job.service),
            self._remaining_s(job),
        )
        verdict = after_failure(job.route, history, failure)
        self._log(
            job,
            "A send failed.",
            upstream=instance,
            failure=repr(failure),
            runs=job.runs,
            declined=job.declined,
            verdict=verdict.value,
        )
        return verdict

    def _blame_decline(self, choice: Choice, failure: Declined) -> None:
        """Avoid the upstream that caused a decline, if one is named."""
        now_s = self.state.clock()
        if failure.misdirected and not failure.culprit:
            self.state.health.lost(choice.upstream.instance, now_s)
        for upstream in (choice.upstream, *choice.helpers):
            if failure.culprit and upstream.address() == failure.culprit:
                self.state.health.lost(upstream.instance, now_s)

    async def _send(
        self, job: Job, choice: Choice, sink: CallerSink
    ) -> Result[None, SendFailure]:
        state, instance = self.state, choice.upstream.instance
        job.sends += 1
        job.tried.add(instance)
        number = state.load.next_number()
        held = HeldMemory(state, self.memory, f"{state.load.node}.{number}")
        try:
            if choice.holdings and not await held.take(choice.holdings):
                return Failure(Declined(UNAVAILABLE))
            job.may_be_running = True
            state.load.start(instance, choice.tokens)
            for reading in choice.readings(number):
                state.load.give_reading(reading, state.clock())
            self._log_send(job, choice)
            try:
                result = await self._exchange(job, choice, sink, number)
            finally:
                state.load.finish(instance, choice.tokens)
                state.load.end_reading(number, choice.instances())
        finally:
            held.free()
        # Not reached on a timeout, after which the send may still have run.
        if not isinstance(result, Success):
            unrun = isinstance(result.failure(), NotDelivered | Declined)
            job.may_be_running = job.runs > 0 or not unrun
        return result

    def _log_send(self, job: Job, choice: Choice) -> None:
        load = self.state.load.load(choice.upstream.instance, self.state.clock())
        self._log(
            job,
            "Sent.",
            upstream=choice.upstream.instance,
            helpers=len(choice.helpers),
            holdings=len(choice.holdings),
            waiting_s=choice.waiting_s,
            part_s=choice.part_s,
            open=load.requests,
            send=job.sends,
        )

    async def _exchange(
        self, job: Job, choice: Choice, sink: CallerSink, number: int
    ) -> Result[None, SendFailure]:
        tickets = {
            h.instance: f"{self.state.load.node}.{number}" for h in choice.holdings
        }
        options = SendOptions(
            choice.upstream.instance,
            job.account,
            self._remaining_s(job),
            # Tickets are filled in turn, so they stand first.
            tuple(
                Helper(helper.address(), tickets.get(helper.instance, ""))
                for helper in sorted(
                    choice.helpers, key=lambda h: h.instance not in tickets
                )
            ),
            job.last_event,
        )
        limit = timeout(None)
        patience = Patience(limit, lambda: self._may_move(job))
        predicted_s = choice.waiting_s + choice.part_s
        patience.expect_within(answer_limit_s(job.route, predicted_s))
        answer: UpstreamAnswer | None = None
        try:
            async with limit:
                match await self.client.send(choice.upstream, job.request, options):
                    case Failure(failure):
                        return Failure(failure)
                    case Success(found):
                        answer = found
                assert answer is not None
                if isinstance(job.route.kind, EventStream) and answer.head.status < 300:
                    relay = Relay(job, choice, number, answer, sink, patience)
                    return await self._relay(relay)
                return await self._pass_whole(job, choice, answer, sink)
        except TimeoutError:
            if not limit.expired():
                raise
            return Failure(Lost("silent for too long", True))
        finally:
            patience.stop()
            if answer is not None:
                answer.close()

    async def _pass_whole(
        self, job: Job, choice: Choice, answer: UpstreamAnswer, sink: CallerSink
    ) -> Result[None, SendFailure]:
        match await answer.whole_body():
            case Failure(lost):
                return Failure(lost)
            case Success(body):
                pass
        if answer.head.status >= ERROR_STATUS:
            job.failed_answer = (answer.head, body)
            return Failure(Failed(answer.head.status))
        now_s = self.state.clock()
        self.state.health.answered(choice.upstream.instance, False, now_s)
        self._log(job, "Answered.", status=answer.head.status, took_s=self._took(job))
        await sink.reply(answer.head, body)
        return Success(None)

    async def _relay(self, relay: Relay) -> Result[None, SendFailure]:
        job, sink, kind = relay.job, relay.sink, relay.job.route.kind
        assert isinstance(kind, EventStream)
        splitter = EventSplitter()
        last_s: float | None = None
        while True:
            match await relay.answer.next_data():
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
                self._note_first_event(relay)
            else:
                relay.longest_pause_s = max(relay.longest_pause_s, now_s - last_s)
            last_s = now_s
            if not sink.begun:
                await sink.begin(relay.answer.head)
            for event in events:
                if event.event_id is not None:
                    job.last_event = event.event_id
            await sink.write(b"".join(event.raw for event in events))
            relay.patience.expect_within(pause_limit_s(kind))
        if splitter.rest:
            return Failure(Lost("the stream ended within an event"))
        self.state.health.answered(
            relay.choice.upstream.instance, False, self.state.clock()
        )
        self._log(
            job,
            "Stream done.",
            took_s=self._took(job),
            sends=job.sends,
            longest_pause_s=relay.longest_pause_s,
        )
        if not sink.begun:
            await sink.begin(relay.answer.head)
        await sink.finish()
        return Success(None)

    def _note_first_event(self, relay: Relay) -> None:
        """Count the prompt as read."""
        self.state.load.end_reading(relay.number, relay.choice.instances())
        predicted_s = relay.choice.waiting_s + relay.choice.part_s
        took_s = self._took(relay.job)
        self._log(relay.job, "First event.", took_s=took_s, predicted_s=predicted_s)

    def _may_move(self, job: Job) -> bool:
        """Return whether another upstream could go on with the request soon."""
        if job.runs + 1 >= job.route.max_upstreams or not job.route.may_repeat():
            return False
        if not self.state.allows_repeat(job.service):
            return False
        choice = self._choose_now(job)
        return choice is not None and choice.waiting_s <= MOST_WAIT_AFTER_MOVE_S

    async def _give_up(self, job: Job, sink: CallerSink, verdict: Verdict) -> None:
        if sink.begun:
            self._log(job, "Broke off.", runs=job.runs)
            sink.break_off()
            return
        if job.failed_answer is not None:
            head, body = job.failed_answer
            self._log(job, "Passed on a failure.", status=head.status)
            await sink.reply(head, body)
            return
        if verdict is Verdict.REFUSE and not job.runs:
            self._log(job, "Refused, not run.", took_s=self._took(job))
            await sink.refuse(UNAVAILABLE, SHORT_RETRY_AFTER_S)
            return
        self._log(job, "Failed.", took_s=self._took(job), runs=job.runs)
        await sink.refuse(BAD_GATEWAY, None)

    async def _time_out(self, job: Job, sink: CallerSink) -> None:
        self._log(job, "Out of time.", took_s=self._took(job), sends=job.sends)
        if sink.begun:
            sink.break_off()
        elif job.may_be_running or job.runs:
            await sink.refuse(GATEWAY_TIMEOUT, None)
        else:
            await sink.refuse(UNAVAILABLE, SHORT_RETRY_AFTER_S)

    def _remaining_s(self, job: Job) -> float:
        return job.deadline_s - self.state.clock()

    def _took(self, job: Job) -> float:
        return self.state.clock() - job.arrived_s

    def _log(self, job: Job, sentence: str, **inputs: object) -> None:
        self.log_part.info(sentence, job.request.request_id, **inputs)
