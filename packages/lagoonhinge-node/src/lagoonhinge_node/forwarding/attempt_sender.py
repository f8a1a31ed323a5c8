"""Attempts: send a request to an upstream and forward its answer to the caller."""

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
    NotSent,
)
from lagoonhinge_core.forwarding.crash_causes import part_causes
from lagoonhinge_core.forwarding.event_splitter import MAX_EVENT_BYTES, EventSplitter
from lagoonhinge_core.forwarding.messages import (
    AttemptOptions,
    EngineMemory,
    Helper,
    RelayOptions,
)
from lagoonhinge_core.forwarding.routes import EventStream
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_core.forwarding.timeouts import answer_timeout_s, event_gap_timeout_s
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.attempt_memory import AttemptMemory
from lagoonhinge_node.forwarding.forwarding_metrics import (
    ForwardingMetrics,
    kind_label,
    length_label,
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

MIN_FAILURE_STATUS = 500
MIN_REDIRECT_STATUS = 300


@dataclass
class Attempt:
    """An attempt in progress.

    Attributes:
        context: The request.
        choice: The upstreams.
        prompt_number: Number of its prompt at this node.
        writer: Writes the answer to the caller.
        silence_timeout: Timeout for a silent upstream.
        claim_answer: Called when this attempt has a part of the answer; cancels the
            request's other open attempts.
        longest_gap_s: Longest gap between events so far, in seconds.
    """

    context: RequestContext
    choice: UpstreamChoice
    prompt_number: int
    writer: ResponseWriter
    silence_timeout: SilenceTimeout
    claim_answer: Callable[[], None]
    longest_gap_s: float = 0.0

    def begin_write(self) -> None:
        """Prepare to write a part of the answer, for which only this attempt remains.

        A caller that reads slowly is no silence of the upstream.
        """
        self.claim_answer()
        self.silence_timeout.stop()


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
        self.metrics = metrics
        self.log = log

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

    async def relay(
        self, context: RequestContext, node: NodeEntry, writer: ResponseWriter
    ) -> Result[None, AttemptFailure]:
        """Let another node serve a request, and forward its answer.

        Args:
            context: The request.
            node: The node.
            writer: Writes the answer to the caller.

        Returns:
            Success once the answer is forwarded, else the failure.
        """
        options = RelayOptions(self.log.remaining_s(context), context.last_event_id)
        earlier_runs = context.runs
        context.runs += 1
        match await self.client.relay(node, context.request, options, earlier_runs):
            case Failure(failure):
                if isinstance(failure, NotDelivered | Declined):
                    context.runs = earlier_runs
                return Failure(failure)
            case Success(answer):
                pass
        # The node itself watches the upstreams for silence.
        attempt = Attempt(
            context,
            UpstreamChoice(_as_upstream(node, context.service)),
            self.serving.load.next_prompt_number(),
            writer,
            SilenceTimeout(lambda _: False, lambda _: None),
            lambda: None,
        )
        try:
            return await self._forward(attempt, answer)
        finally:
            attempt.silence_timeout.stop()
            answer.close()

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
        predicted_s = choice.waiting_s + choice.prefill_s
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
            return await self._forward(attempt, answer)
        finally:
            attempt.silence_timeout.stop()
            if answer is not None:
                answer.close()

    async def _forward(
        self, attempt: Attempt, answer: UpstreamAnswer
    ) -> Result[None, AttemptFailure]:
        kind = attempt.context.route.kind
        is_success = answer.head.status < MIN_REDIRECT_STATUS
        if isinstance(kind, EventStream) and is_success:
            return await self._forward_stream(attempt, answer, kind)
        return await self._forward_whole(attempt, answer)

    async def _forward_whole(
        self, attempt: Attempt, answer: UpstreamAnswer
    ) -> Result[None, AttemptFailure]:
        context = attempt.context
        match await answer.whole_body():
            case Failure(lost):
                return Failure(lost)
            case Success(body):
                pass
        # A stream that has begun can't be followed by a whole answer.
        if answer.head.status >= MIN_FAILURE_STATUS or attempt.writer.started:
            context.failed_answer = (answer.head, body)
            return Failure(Failed(answer.head.status))
        attempt.begin_write()
        self._record_success(attempt)
        self._record_first_event(attempt, "Answered.")
        await attempt.writer.reply(answer.head, body)
        return Success(None)

    async def _forward_stream(
        self, attempt: Attempt, answer: UpstreamAnswer, kind: EventStream
    ) -> Result[None, AttemptFailure]:
        context, writer = attempt.context, attempt.writer
        splitter = EventSplitter()
        last_event_s: float | None = None
        # Forwarded with the next new event, as another attempt may be forwarding.
        waiting = b""
        while True:
            match await answer.next_data():
                case Failure(lost):
                    return Failure(lost)
                case Success(data):
                    pass
            if not data:
                break
            events = splitter.feed(data)
            waiting += events.raw
            # Comments and repetitions don't show that the upstream makes progress.
            if events.ids and events.ids[-1] != context.last_event_id:
                attempt.begin_write()
                now_s = self.serving.clock()
                if last_event_s is None:
                    self._record_first_event(attempt, "First event.")
                else:
                    gap_s = now_s - last_event_s
                    attempt.longest_gap_s = max(attempt.longest_gap_s, gap_s)
                last_event_s = context.last_event_s = now_s
                context.last_event_id = events.ids[-1]
                if not writer.started:
                    await writer.start(answer.head)
                await writer.write(waiting)
                waiting = b""
                attempt.silence_timeout.restart(event_gap_timeout_s(kind))
            held_bytes = len(waiting) + len(splitter.buffer)
            if held_bytes > MAX_EVENT_BYTES:
                return Failure(Lost(f"{held_bytes} bytes without a new event"))
            if not answer.hold(held_bytes):
                return Failure(Lost(f"too large, {held_bytes} bytes"))
        if splitter.buffer:
            return Failure(Lost("the stream ended within an event"))
        attempt.begin_write()
        self._record_success(attempt)
        self._record_stream_end(attempt)
        if not writer.started:
            await writer.start(answer.head)
        if waiting:
            await writer.write(waiting)
        await writer.finish()
        return Success(None)

    def _record_success(self, attempt: Attempt) -> None:
        instance, now_s = attempt.choice.upstream.instance, self.serving.clock()
        self.serving.health.record_answer(instance, False, now_s)
        crashes, context = self.serving.crashes, attempt.context
        # Without crashes, as usual, no digest is computed.
        if not crashes.is_empty():
            crashes.record_answer((context.crash_causes.digest,), now_s)
        crashes.record_answer(part_causes(context.request), now_s)

    def _record_first_event(self, attempt: Attempt, message: str) -> None:
        """Record the end of the prefill and the time to the first event."""
        context, choice = attempt.context, attempt.choice
        self.serving.load.finish_prefill(attempt.prompt_number, choice.instances())
        took_s = self.log.took_s(context)
        predicted_s = choice.waiting_s + choice.prefill_s
        self.log.log_event(context, message, took_s=took_s, predicted_s=predicted_s)
        labels = (kind_label(context.route.kind), length_label(context.request))
        self.metrics.first_event.labels(*labels).observe(took_s)

    def _record_stream_end(self, attempt: Attempt) -> None:
        context, gap_s = attempt.context, attempt.longest_gap_s
        took_s = self.log.took_s(context)
        self.log.log_event(
            context,
            "Stream done.",
            took_s=took_s,
            sends=context.attempts,
            longest_pause_s=gap_s,
        )
        self.metrics.longest_gap.labels(length_label(context.request)).observe(gap_s)


def _as_upstream(node: NodeEntry, service: str) -> Upstream:
    """Return a node in the place of the upstream that answers."""
    return Upstream(f"node {node.name}", service, node.host, node.port, node.zone, 0)
