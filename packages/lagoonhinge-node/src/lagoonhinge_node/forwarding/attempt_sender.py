"""Attempts: send a request to an upstream and forward its answer to the caller."""

from collections.abc import Callable
from http import HTTPStatus

from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.attempts import (
    AttemptFailure,
    Declined,
    NotDelivered,
    NotSent,
)
from lagoonhinge_core.forwarding.messages import (
    AttemptOptions,
    EngineMemory,
    Helper,
)
from lagoonhinge_core.forwarding.timeouts import answer_timeout_s
from lagoonhinge_node.forwarding.answer_forwarder import AnswerForwarder, Attempt
from lagoonhinge_node.forwarding.attempt_memory import AttemptMemory
from lagoonhinge_node.forwarding.forwarding_metrics import (
    ForwardingMetrics,
)
from lagoonhinge_node.forwarding.request_context import (
    RequestContext,
    RequestLog,
    ResponseWriter,
)
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.silence_timeout import SilenceTimeout
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChoice
from lagoonhinge_node.forwarding.upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
)


class AttemptSender:
    """Makes attempts and forwards the answers.

    Args:
        serving: State shared by all requests.
        client: Sends requests to upstreams.
        memory: Reserves memory on engines.
        metrics: The metrics.
        log: Log lines of requests.
    """

    def __init__(
        self,
        serving: ServingState,
        client: UpstreamClient,
        memory: EngineMemory,
        metrics: ForwardingMetrics,
        log: RequestLog,
    ):
        self.serving = serving
        self.client = client
        self.memory = memory
        self.log = log
        self.forwarder = AnswerForwarder(serving, metrics, log)

    async def send(
        self,
        context: RequestContext,
        choice: UpstreamChoice,
        writer: ResponseWriter,
        silence_timeout: SilenceTimeout,
        claim_answer: Callable[[], None],
    ) -> Result[None, AttemptFailure]:
        """Send a request once and forward its answer.

        Args:
            context: The request.
            choice: The upstreams.
            writer: Writes the answer to the caller.
            silence_timeout: Timeout for a silent upstream.
            claim_answer: Called when the upstream has answered with a part of the
                answer; cancels the request's other open attempts.

        Returns:
            Success once the answer is forwarded, else the failure.
        """
        serving, instance = self.serving, choice.upstream.instance
        context.attempts += 1
        context.tried.add(instance)
        prompt_number = serving.load.next_prompt_number()
        attempt_memory = AttemptMemory(
            serving,
            self.memory,
            self._reservation_id(prompt_number),
            choice.upstream,
        )
        try:
            if choice.reservations and not await attempt_memory.reserve(
                choice.reservations
            ):
                return Failure(Declined(HTTPStatus.SERVICE_UNAVAILABLE.value))
            if choice.reservations and serving.any_closed(choice.upstreams()):
                context.attempts -= 1
                context.tried.discard(instance)
                return Failure(NotSent())
            # An earlier attempt that just ended may be neither a run nor declined yet.
            if context.attempts - 1 > context.not_delivered:
                serving.retry_window(context.service).count_retry(serving.clock())
            context.runs += 1
            serving.load.start_request(instance, choice.tokens)
            for prefill in choice.prefills(prompt_number):
                serving.load.add_prefill(prefill, serving.clock())
            self._log_attempt(context, choice)
            not_run = False
            try:
                result = await self._exchange(
                    Attempt(
                        context,
                        choice,
                        prompt_number,
                        writer,
                        silence_timeout,
                        claim_answer,
                        sent_s=serving.clock(),
                    )
                )
                not_run = isinstance(result, Failure) and isinstance(
                    result.failure(), NotDelivered | Declined
                )
                if not_run:
                    context.runs -= 1
            finally:
                serving.load.finish_request(instance, choice.tokens)
                if not_run:
                    serving.load.finish_prefill(prompt_number, choice.instances())
                else:
                    serving.load.cancel_prefill(
                        prompt_number, choice.instances(), serving.clock()
                    )
        finally:
            attempt_memory.release()
        return result

    def _reservation_id(self, prompt_number: int) -> str:
        return f"{self.serving.load.node}.{prompt_number}"

    def _log_attempt(self, context: RequestContext, choice: UpstreamChoice) -> None:
        load = self.serving.load.load(choice.upstream.instance, self.serving.clock())
        self.log.log_event(
            context,
            "Sent.",
            upstream=choice.upstream.instance,
            tokens=choice.tokens,
            helpers=len(choice.helpers),
            holdings=len(choice.reservations),
            waiting_s=choice.waiting_s,
            part_s=choice.prefill_s,
            open=load.requests,
            list_age_s=self.serving.upstreams_age_s(),
            send=context.attempts,
        )

    def _attempt_options(
        self, context: RequestContext, choice: UpstreamChoice, prompt_number: int
    ) -> AttemptOptions:
        reserved_instances = {
            reservation.instance for reservation in choice.reservations
        }
        # Reservations are filled in this order, so helpers with one come first.
        ordered = sorted(
            choice.helpers, key=lambda h: h.instance not in reserved_instances
        )
        helpers = tuple(
            Helper(
                helper.address(),
                self._reservation_id(prompt_number)
                if helper.instance in reserved_instances
                else "",
            )
            for helper in ordered
        )
        return AttemptOptions(
            choice.upstream.instance,
            context.account,
            self.log.remaining_s(context),
            helpers,
            context.last_event_id,
        )

    async def _exchange(self, attempt: Attempt) -> Result[None, AttemptFailure]:
        context, choice = attempt.context, attempt.choice
        predicted_s = choice.ready_s()
        attempt.silence_timeout.restart(answer_timeout_s(context.route, predicted_s))
        answer: UpstreamAnswer | None = None
        try:
            match await self.client.send(
                choice.upstream,
                context.request,
                self._attempt_options(context, choice, attempt.prompt_number),
            ):
                case Failure(failure):
                    return Failure(failure)
                case Success(received):
                    answer = received
                    self.serving.record_contact(choice.upstream)
            assert answer is not None
            return await self.forwarder.forward(attempt, answer)
        finally:
            attempt.silence_timeout.stop()
            if answer is not None:
                answer.close()
