"""Runs a request: chooses upstreams, makes attempts and retries failed ones."""

from asyncio import Timeout, get_running_loop, sleep, timeout
from functools import partial

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
from lagoonhinge_node.forwarding.attempt_sender import AttemptSender
from lagoonhinge_node.forwarding.forwarding_metrics import (
    ForwardingMetrics,
    failure_label,
    kind_label,
    length_label,
)
from lagoonhinge_node.forwarding.open_attempts import (
    AttemptEnded,
    HedgeDue,
    OpenAttempts,
    UpstreamSilent,
)
from lagoonhinge_node.forwarding.request_context import (
    RequestContext,
    RequestLog,
    ResponseWriter,
)
from lagoonhinge_node.forwarding.request_ending import (
    SHORT_RETRY_AFTER_S,
    RequestEnding,
)
from lagoonhinge_node.forwarding.request_hedging import RequestHedging
from lagoonhinge_node.forwarding.request_relay import RequestRelay
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.silence_timeout import SilenceTimeout
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChoice, UpstreamChooser

CAPACITY_WAIT_SHARE = 0.5  # of the target time; an answer after a longer wait is late
CAPACITY_POLL_INTERVAL_S = 0.03  # less than an engine pass, which may free capacity
# Longest predicted wait for a failover, which must not move a request from a silent
# upstream to one that is as busy.
MAX_FAILOVER_WAIT_S = 0.3
# Leaves time for a failover before callers abandon a stream, after 2 s.
MAX_PREFILL_SILENCE_S = 1.6


class RequestRunner:
    """Runs requests.

    Args:
        serving: State shared by all requests.
        chooser: Chooses upstreams.
        sender: Makes the attempts.
        metrics: The metrics.
        log: Log lines of requests.
    """

    def __init__(
        self,
        serving: ServingState,
        chooser: UpstreamChooser,
        sender: AttemptSender,
        metrics: ForwardingMetrics,
        log: RequestLog,
    ):
        self.serving = serving
        self.chooser = chooser
        self.sender = sender
        self.metrics = metrics
        self.log = log
        self.ending = RequestEnding(serving, metrics, log)
        self.relay = RequestRelay(serving, sender.client, self.ending, metrics, log)
        self.hedging = RequestHedging(serving, metrics, log)
        self.deadlines: set[Timeout] = set()

    def end_all(self) -> None:
        """End all requests as if their deadlines had passed."""
        now_s = get_running_loop().time()
        for deadline in self.deadlines:
            if not deadline.expired():
                deadline.reschedule(now_s)

    async def run(self, context: RequestContext, writer: ResponseWriter) -> None:
        """Serve a request until it is answered, fails or reaches its deadline."""
        if not context.is_relayed:
            window = self.serving.retry_window(context.service)
            window.count_request(self.serving.clock())
            if self.serving.hedges.budget is not None:
                self.serving.hedges.budget.count_request()
        context.last_event_id = context.request.last_event_id
        end = "caller_left"
        deadline = timeout(max(0.0, self.log.remaining_s(context)))
        self.deadlines.add(deadline)
        try:
            async with deadline:
                end = await self._attempt_until_done(context, writer)
        except TimeoutError:
            end = "timeout"
            await self.ending.time_out(context, writer)
        finally:
            self.deadlines.discard(deadline)
            labels = (
                kind_label(context.route.kind),
                length_label(context.request),
                end,
            )
            self.metrics.requests.labels(*labels).inc()
            self.log.discard_deferred(context)

    async def _attempt_until_done(
        self, context: RequestContext, writer: ResponseWriter
    ) -> str:
        attempts = OpenAttempts(partial(self._record_superseded, context))
        try:
            while True:
                if attempts.is_empty():
                    end = await self.relay.relay(context, writer)
                    if end is not None:
                        return end
                # While an attempt is open, its upstream may still answer.
                match (
                    await self._wait_for_choice(context)
                    if attempts.is_empty()
                    else self._choose_now(context)
                ):
                    case UpstreamChoice() as choice:
                        self._start_attempt(context, writer, attempts, choice)
                    case None if attempts.is_empty():
                        return await self.ending.end_without_capacity(
                            context,
                            writer,
                            self.chooser.closed_for_s(context.service, context.tried),
                        )
                    case DeadlineUnreachable(ready_s) if attempts.is_empty():
                        return await self.ending.end_unreachable_deadline(
                            context, writer, ready_s
                        )
                end = await self._wait_for_retry(context, writer, attempts)
                if end is not None:
                    return end
        finally:
            await attempts.close()

    def _start_attempt(
        self,
        context: RequestContext,
        writer: ResponseWriter,
        attempts: OpenAttempts,
        choice: UpstreamChoice,
    ) -> None:
        for upstream in choice.upstreams():
            self.serving.record_send(upstream)
        if context.is_trial:
            self.serving.crashes.record_trial(
                context.crash_causes, choice.upstream.run(), self.serving.clock()
            )
        silence_timeout = SilenceTimeout(
            partial(self._may_fail_over, context, attempts, choice),
            partial(attempts.report_silence, choice),
        )
        claim_answer = partial(attempts.claim_answer, choice)
        # A hedge would be a second attempt of a trial.
        is_first = not context.attempts and attempts.is_empty() and not context.is_trial
        attempts.start(
            choice,
            self.sender.send(context, choice, writer, silence_timeout, claim_answer),
        )
        if is_first:
            delay_s = self.hedging.due_in_s(context, choice)
            if delay_s is not None:
                attempts.hedge_after(choice, delay_s)

    async def _wait_for_retry(
        self, context: RequestContext, writer: ResponseWriter, attempts: OpenAttempts
    ) -> str | None:
        """Wait until a request ends or needs another attempt.

        Returns:
            How the request ended; `None` if it needs another attempt.
        """
        while True:
            match await attempts.next_update():
                case UpstreamSilent() as silence:
                    self._record_silence(context, silence)
                    if attempts.all_silent():
                        return None
                    continue
                case HedgeDue(first):
                    alternative = self._choose_now(context)
                    hedge = self.hedging.choose(context, first, alternative)
                    if hedge is not None:
                        self._start_attempt(context, writer, attempts, hedge)
                    continue
                case AttemptEnded(choice, Success(_)):
                    self._count_attempt(choice, "answered")
                    return "answered"
                case AttemptEnded(choice, Failure(failure)):
                    action = self._handle_failure(context, choice, failure)
            # The failed attempt itself may have confirmed the crash that starts it.
            quarantine_s = context.quarantine_s(
                self.serving.crashes, self.serving.clock()
            )
            if action is FailureAction.RETRY and quarantine_s:
                # A trial that ran nowhere has shown nothing.
                if not context.is_trial or context.runs:
                    action = FailureAction.REFUSE
            if action is FailureAction.RETRY:
                if attempts.all_silent():
                    return None
                # The other attempt goes on, and may not be counted as a run yet.
                continue
            # An attempt that is not silent may still succeed.
            may_pass_on = action is FailureAction.PASS_ON and not writer.started
            if attempts.is_empty() or (may_pass_on and attempts.all_silent()):
                await attempts.close()
                return await self.ending.end_failed(
                    context, writer, action, quarantine_s or SHORT_RETRY_AFTER_S
                )

    def _choose_now(
        self, context: RequestContext
    ) -> UpstreamChoice | DeadlineUnreachable | None:
        if context.is_trial:
            # With two trials on one upstream, a crash would count for both.
            context.tried |= self.serving.crashes.trial_instances(self.serving.clock())
        return self.chooser.choose(
            context.request,
            context.route,
            context.service,
            context.tried,
            self.log.remaining_s(context),
        )

    async def _wait_for_choice(
        self, context: RequestContext
    ) -> UpstreamChoice | DeadlineUnreachable | None:
        """Return the upstreams of the next attempt; waits a short time for capacity."""
        wait_end_s = self.serving.clock() + CAPACITY_WAIT_SHARE * context.route.target_s
        while True:
            choice = self._choose_now(context)
            if choice is not None or self.serving.clock() >= wait_end_s:
                return choice
            if self.chooser.tried_all(context.service, context.tried):
                return None
            closed_s = self.chooser.closed_for_s(context.service, context.tried)
            if closed_s is not None and self.serving.clock() + closed_s > wait_end_s:
                return None
            await sleep(CAPACITY_POLL_INTERVAL_S)

    def _may_fail_over(
        self,
        context: RequestContext,
        attempts: OpenAttempts,
        choice: UpstreamChoice,
        silent_s: float,
    ) -> bool:
        """Return whether another upstream may take over from a silent one."""
        if not attempts.is_newest(choice) or context.is_trial:
            return False
        load = self.serving.load.load(choice.upstream.instance, self.serving.clock())
        if load.prefill_s > 0 and silent_s < MAX_PREFILL_SILENCE_S:
            # A prefill explains the silence and ends soon.
            return False
        action = decide_after_failure(
            context.route, self._history(context), Lost("silent for too long")
        )
        if action is not FailureAction.RETRY or self._is_crash_suspect(context):
            return False
        alternative = self._choose_now(context)
        return (
            isinstance(alternative, UpstreamChoice)
            and alternative.waiting_s <= MAX_FAILOVER_WAIT_S
        )

    def _handle_failure(
        self, context: RequestContext, choice: UpstreamChoice, failure: AttemptFailure
    ) -> FailureAction:
        now_s = self.serving.clock()
        instance = choice.upstream.instance
        context.last_failure = failure
        match failure:
            case NotDelivered():
                context.not_delivered += 1
                self.serving.record_connect_failure(choice.upstream)
            case Declined():
                context.declined += 1
                self._record_decline_fault(context, choice, failure)
            case Lost():
                self.serving.crashes.add_suspect(
                    context.crash_causes, choice.upstream.run(), now_s
                )
                self.serving.health.record_loss(instance, now_s)
            case Failed():
                self.serving.health.record_answer(instance, True, now_s)
        self._count_attempt(choice, failure_label(failure))
        history = self._history(context)
        action = decide_after_failure(context.route, history, failure)
        if action is FailureAction.RETRY and self._is_crash_suspect(context):
            action = FailureAction.FAIL
        self.log.log_failure(
            context,
            "A send failed.",
            upstream=instance,
            failure=repr(failure),
            runs=context.runs,
            declined=context.declined,
            may_repeat=history.within_retry_budget,
            remaining_s=history.remaining_s,
            digest=context.crash_causes.digest if isinstance(failure, Lost) else None,
            parts=context.request.shared_parts,
            verdict=action.value,
        )
        return action

    def _history(self, context: RequestContext) -> RequestHistory:
        return RequestHistory(
            context.runs,
            context.declined,
            context.helper_faults,
            context.not_delivered,
            self.serving.allows_retry(context.service),
            self.log.remaining_s(context),
        )

    def _record_silence(self, context: RequestContext, silence: UpstreamSilent) -> None:
        instance = silence.choice.upstream.instance
        if silence.is_first:
            self.serving.health.record_timeout(instance, self.serving.clock())
        self.log.log_event(
            context,
            "An upstream is silent; trying another one.",
            upstream=instance,
            silent_s=silence.silent_s,
            runs=context.runs,
            remaining_s=self.log.remaining_s(context),
        )

    def _record_superseded(
        self, context: RequestContext, choice: UpstreamChoice, was_silent: bool
    ) -> None:
        self._count_attempt(choice, "silent" if was_silent else "superseded")
        self.hedging.record_superseded(context, choice)
        self.log.log_event(
            context,
            "Another upstream continues the answer.",
            instead_of=choice.upstream.instance,
            was_silent=was_silent,
        )

    def _is_crash_suspect(self, context: RequestContext) -> bool:
        crashes = self.serving.crashes
        if crashes.is_empty() or not context.runs:
            return False
        return not crashes.may_retry(context.crash_causes, self.serving.clock())

    def _count_attempt(self, choice: UpstreamChoice, result: str) -> None:
        is_same_zone = "yes" if choice.upstream.zone == self.serving.zone else "no"
        self.metrics.attempts.labels(result, is_same_zone).inc()

    def _record_decline_fault(
        self, context: RequestContext, choice: UpstreamChoice, failure: Declined
    ) -> None:
        """Record a fault of the upstream that caused a decline, if it is stated."""
        now_s = self.serving.clock()
        if failure.misdirected and not failure.culprit:
            self.serving.health.record_loss(choice.upstream.instance, now_s)
        for upstream in (choice.upstream, *choice.helpers):
            if failure.culprit and upstream.address() == failure.culprit:
                self.serving.health.record_loss(upstream.instance, now_s)
                context.helper_faults += upstream is not choice.upstream
