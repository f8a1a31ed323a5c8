"""One request's way: choose an upstream, send, relay, and send elsewhere on trouble."""

from asyncio import Timeout, get_running_loop, timeout
from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.event_splitter import EventSplitter
from lagoonhinge_core.forwarding.messages import (
    AnswerHead,
    CallerRequest,
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
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
)
from lagoonhinge_node.logs import PartLogger

SHORT_RETRY_AFTER_S = 0.25  # another node, or the next entry of an upstream, may serve
ERROR_STATUS = 500

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
        declined: Sends that surely did not run.
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
    may_be_running: bool = False
    last_event: str | None = None
    failed_answer: tuple[AnswerHead, bytes] | None = None


class RequestRunner:
    """Runs requests.

    Args:
        state: What all requests share.
        chooser: Chooses upstreams.
        client: Sends to them.
    """

    def __init__(self, state: ServingState, chooser: Chooser, client: UpstreamClient):
        self.state = state
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
            choice = self.chooser.choose(job.request, job.route, job.service, job.tried)
            if choice is None:
                self._log(job, "No upstream is left.", sends=job.sends)
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
            self.state.retry_window(job.service).count_repeat(self.state.clock())

    def _judge(self, job: Job, choice: Choice, failure: SendFailure) -> Verdict:
        now_s = self.state.clock()
        instance = choice.upstream.instance
        match failure:
            case NotDelivered():
                job.declined += 1
                self.state.health.lost(instance, now_s)
            case Declined():
                job.declined += 1
                self._blame_decline(choice, failure)
            case Lost():
                job.runs += 1
                self.state.health.lost(instance, now_s)
            case Failed():
                job.runs += 1
                self.state.health.answered(instance, True, now_s)
        history = RequestHistory(
            job.runs,
            job.declined,
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
        load, instance = self.state.load, choice.upstream.instance
        job.sends += 1
        job.tried.add(instance)
        job.may_be_running = True
        load.start(instance, choice.tokens)
        now_s = self.state.clock()
        for reading in choice.readings():
            load.give_reading(reading, now_s)
        self._log(
            job,
            "Sent.",
            upstream=instance,
            helpers=len(choice.helpers),
            waiting_s=choice.waiting_s,
            part_s=choice.part_s,
            open=load.load(instance, now_s).requests,
            send=job.sends,
        )
        try:
            result = await self._exchange(job, choice, sink)
        finally:
            load.finish(instance, choice.tokens)
        # Not reached on a timeout, after which the send may still have run.
        if not isinstance(result, Success):
            unrun = isinstance(result.failure(), NotDelivered | Declined)
            job.may_be_running = job.runs > 0 or not unrun
        return result

    async def _exchange(
        self, job: Job, choice: Choice, sink: CallerSink
    ) -> Result[None, SendFailure]:
        options = SendOptions(
            choice.upstream.instance,
            job.account,
            self._remaining_s(job),
            tuple(helper.address() for helper in choice.helpers),
            job.last_event,
        )
        limit_s = self._answer_limit_s(job, choice)
        answer: UpstreamAnswer | None = None
        limit = timeout(None if limit_s == float("inf") else limit_s)
        try:
            async with limit:
                match await self.client.send(choice.upstream, job.request, options):
                    case Failure(failure):
                        return Failure(failure)
                    case Success(found):
                        answer = found
                assert answer is not None
                if isinstance(job.route.kind, EventStream) and answer.head.status < 300:
                    return await self._relay(job, choice, answer, sink, limit)
                return await self._pass_whole(job, choice, answer, sink)
        except TimeoutError:
            if not limit.expired():
                raise
            return Failure(Lost(f"silent for {limit_s:.2f} s", True))
        finally:
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

    async def _relay(
        self,
        job: Job,
        choice: Choice,
        answer: UpstreamAnswer,
        sink: CallerSink,
        limit: Timeout,
    ) -> Result[None, SendFailure]:
        kind = job.route.kind
        assert isinstance(kind, EventStream)
        splitter = EventSplitter()
        load, instance = self.state.load, choice.upstream.instance
        is_first = True
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
            if is_first:
                is_first = False
                load.all_read(instance, self.state.clock())
                self._log(job, "First event.", took_s=self._took(job))
            if not sink.begun:
                await sink.begin(answer.head)
            for event in events:
                if event.event_id is not None:
                    job.last_event = event.event_id
            await sink.write(b"".join(event.raw for event in events))
            self._set_limit(limit, pause_limit_s(kind, self._may_go_on(job)))
        if splitter.rest:
            return Failure(Lost("the stream ended within an event"))
        self.state.health.answered(instance, False, self.state.clock())
        self._log(job, "Stream done.", took_s=self._took(job), sends=job.sends)
        if not sink.begun:
            await sink.begin(answer.head)
        await sink.finish()
        return Success(None)

    def _set_limit(self, limit: Timeout, after_s: float) -> None:
        when = limit.when()
        if after_s == float("inf"):
            if when is not None:
                limit.reschedule(None)
            return
        limit.reschedule(get_running_loop().time() + after_s)

    def _answer_limit_s(self, job: Job, choice: Choice) -> float:
        predicted_s = choice.waiting_s + choice.part_s
        return answer_limit_s(job.route, predicted_s, self._may_go_on(job))

    def _may_go_on(self, job: Job) -> bool:
        """Return whether the request could be sent elsewhere after this send."""
        if job.runs + 1 >= job.route.max_upstreams or not job.route.may_repeat():
            return False
        return self.state.allows_repeat(job.service)

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
