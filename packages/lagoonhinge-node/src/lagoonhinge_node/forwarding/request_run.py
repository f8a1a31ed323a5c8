"""One request's way: choose an upstream, send, and send elsewhere on trouble."""

from asyncio import sleep, timeout
from functools import partial
from http import HTTPStatus

from returns.result import Failure, Success

from lagoonhinge_core.forwarding.attempts import (
    AttemptFailure,
    Declined,
    Failed,
    FailureAction,
    Lost,
    NotDelivered,
    RequestHistory,
    decide_after_failure,
)
from lagoonhinge_core.forwarding.prompt_placement import DeadlineUnreachable
from lagoonhinge_node.forwarding.choosing import Choice, Chooser
from lagoonhinge_node.forwarding.forwarding_metrics import (
    ForwardingMetrics,
    kind_label,
    size_label,
)
from lagoonhinge_node.forwarding.request_job import CallerSink, Job, JobLog
from lagoonhinge_node.forwarding.sending import Sender
from lagoonhinge_node.forwarding.serving_state import ServingState

SHORT_RETRY_AFTER_S = 0.25  # another node, or the next entry of an upstream, may serve
ROOM_WAIT_SHARE = 0.5  # of the target time; beyond it the answer would be late anyway
ROOM_CHECK_S = 0.03  # less than an engine's pass, in which room may become free
# A request is not moved from a silent upstream to one that is as busy.
MOST_WAIT_AFTER_MOVE_S = 0.3
MOST_BUSY_SILENCE_S = 1.6  # leaves time to move before callers leave, after 2 s


class RequestRunner:
    """Runs requests.

    Args:
        state: What all requests share.
        chooser: Chooses upstreams.
        sender: Sends to them.
        metrics: The metrics.
        log: Log lines of requests.
    """

    def __init__(
        self,
        state: ServingState,
        chooser: Chooser,
        sender: Sender,
        metrics: ForwardingMetrics,
        log: JobLog,
    ):
        self.state = state
        self.chooser = chooser
        self.sender = sender
        self.metrics = metrics
        self.log = log

    async def run(self, job: Job, sink: CallerSink) -> None:
        """Serve a request to its end within its time."""
        self.state.retry_window(job.service).count_request(self.state.clock())
        job.last_event = job.request.last_event_id
        end = "caller_left"
        try:
            async with timeout(max(0.0, self.log.remaining_s(job))):
                end = await self._send_until_done(job, sink)
        except TimeoutError:
            end = "timeout"
            await self._time_out(job, sink)
        finally:
            labels = (kind_label(job.route.kind), size_label(job.request), end)
            self.metrics.ends.labels(*labels).inc()
            self.log.end(job)

    async def _send_until_done(self, job: Job, sink: CallerSink) -> str:
        while True:
            choice = await self._choose(job)
            match choice:
                case None:
                    self.log.tell_failure(job, "No upstream has room.", sends=job.sends)
                    return await self._give_up(job, sink, FailureAction.REFUSE)
                case DeadlineUnreachable(ready_s):
                    return await self._give_up_late(job, sink, ready_s)
            sent = await self.sender.send(
                job, choice, sink, partial(self._may_move, job, choice)
            )
            match sent:
                case Success(_):
                    self._count_send(choice, "answered")
                    return "answered"
                case Failure(failure):
                    verdict = self._judge(job, choice, failure)
            if verdict is not FailureAction.RETRY:
                return await self._give_up(job, sink, verdict)
            if job.runs or job.declined:
                self.state.retry_window(job.service).count_retry(self.state.clock())

    def _choose_now(self, job: Job) -> Choice | DeadlineUnreachable | None:
        return self.chooser.choose(
            job.request, job.route, job.service, job.tried, self.log.remaining_s(job)
        )

    async def _choose(self, job: Job) -> Choice | DeadlineUnreachable | None:
        """Return where to send a request; waits a little for room."""
        until_s = self.state.clock() + ROOM_WAIT_SHARE * job.route.target_s
        while True:
            choice = self._choose_now(job)
            if choice is not None or self.state.clock() >= until_s:
                return choice
            if self.chooser.tried_all(job.service, job.tried):
                return None
            await sleep(ROOM_CHECK_S)

    def _may_move(self, job: Job, choice: Choice, silent_s: float) -> bool:
        """Return whether another upstream should go on with the request."""
        load = self.state.load.load(choice.upstream.instance, self.state.clock())
        if load.prefill_s > 0 and silent_s < MOST_BUSY_SILENCE_S:
            # It is silent because it reads a prompt, and will go on soon.
            return False
        if not job.route.may_run_again(job.runs + 1):
            return False
        if not self.state.allows_repeat(job.service):
            return False
        other = self._choose_now(job)
        return isinstance(other, Choice) and other.waiting_s <= MOST_WAIT_AFTER_MOVE_S

    def _judge(
        self, job: Job, choice: Choice, failure: AttemptFailure
    ) -> FailureAction:
        now_s = self.state.clock()
        instance = choice.upstream.instance
        match failure:
            case NotDelivered():
                result = "not_delivered"
                job.not_delivered += 1
                self.state.note_not_reached(choice.upstream)
            case Declined():
                result = "declined"
                job.declined += 1
                self._blame_decline(job, choice, failure)
            case Lost(timed_out=True):
                result = "silent"
                job.runs += 1
                self.state.health.record_timeout(instance, now_s)
            case Lost():
                result = "lost"
                job.runs += 1
                self.state.crashes.add_suspect(job.digest, instance, now_s)
                self.state.health.record_loss(instance, now_s)
            case Failed():
                result = "failed"
                job.runs += 1
                self.state.health.record_answer(instance, True, now_s)
        self._count_send(choice, result)
        history = RequestHistory(
            job.runs,
            job.declined,
            job.blamed,
            job.not_delivered,
            self.state.allows_repeat(job.service),
            self.log.remaining_s(job),
        )
        verdict = decide_after_failure(job.route, history, failure)
        if verdict is FailureAction.RETRY and self._is_harmful(job):
            verdict = FailureAction.FAIL
        self.log.tell_failure(
            job,
            "A send failed.",
            upstream=instance,
            failure=repr(failure),
            runs=job.runs,
            declined=job.declined,
            may_repeat=history.within_retry_budget,
            remaining_s=history.remaining_s,
            verdict=verdict.value,
        )
        return verdict

    def _is_harmful(self, job: Job) -> bool:
        crashes = self.state.crashes
        if crashes.is_empty() or not job.runs:
            return False
        return not crashes.may_retry(job.digest, self.state.clock())

    def _count_send(self, choice: Choice, result: str) -> None:
        is_near = "yes" if choice.upstream.zone == self.state.zone else "no"
        self.metrics.sends.labels(result, is_near).inc()

    def _blame_decline(self, job: Job, choice: Choice, failure: Declined) -> None:
        """Avoid the upstream that caused a decline, if one is named."""
        now_s = self.state.clock()
        if failure.misdirected and not failure.culprit:
            self.state.health.record_loss(choice.upstream.instance, now_s)
        for upstream in (choice.upstream, *choice.helpers):
            if failure.culprit and upstream.address() == failure.culprit:
                self.state.health.record_loss(upstream.instance, now_s)
                job.blamed += upstream is not choice.upstream

    async def _give_up_late(self, job: Job, sink: CallerSink, ready_s: float) -> str:
        left_s = self.log.remaining_s(job)
        self.log.tell_failure(
            job, "Too late for any upstream.", ready_s=ready_s, remaining_s=left_s
        )
        # To come back within the time that is left would be in vain.
        after_s = max(left_s, SHORT_RETRY_AFTER_S)
        return await self._give_up(job, sink, FailureAction.REFUSE, after_s)

    async def _give_up(
        self,
        job: Job,
        sink: CallerSink,
        verdict: FailureAction,
        retry_after_s: float = SHORT_RETRY_AFTER_S,
    ) -> str:
        took_s = self.log.took_s(job)
        if sink.begun:
            self.log.tell_failure(job, "Broke off.", took_s=took_s, runs=job.runs)
            sink.break_off()
            return "broke_off"
        if job.failed_answer is not None:
            head, body = job.failed_answer
            self.log.tell_failure(job, "Passed on a failure.", status=head.status)
            await sink.reply(head, body)
            return "failure_passed_on"
        if verdict is FailureAction.REFUSE and not job.runs:
            self.log.tell_failure(job, "Refused, not run.", took_s=took_s)
            await sink.refuse(HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s)
            return "refused"
        self.log.tell_failure(job, "Failed.", took_s=took_s, runs=job.runs)
        await sink.refuse(HTTPStatus.BAD_GATEWAY, None)
        return "failed"

    async def _time_out(self, job: Job, sink: CallerSink) -> None:
        took_s = self.log.took_s(job)
        self.log.tell_failure(job, "Out of time.", took_s=took_s, sends=job.sends)
        if sink.begun:
            sink.break_off()
        elif job.may_be_running or job.runs:
            await sink.refuse(HTTPStatus.GATEWAY_TIMEOUT, None)
        else:
            await sink.refuse(HTTPStatus.SERVICE_UNAVAILABLE, SHORT_RETRY_AFTER_S)
