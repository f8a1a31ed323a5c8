"""Forwards the answer of an attempt to the caller."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.attempts import AttemptFailure, Failed, Lost
from lagoonhinge_core.forwarding.crash_causes import PROGRESS_INTERVAL_S, part_causes
from lagoonhinge_core.forwarding.event_splitter import (
    MAX_EVENT_BYTES,
    MAX_STALE_EVENTS,
    EventSplitter,
    has_fields,
    may_follow,
)
from lagoonhinge_core.forwarding.routes import EventStream
from lagoonhinge_core.forwarding.timeouts import event_gap_timeout_s
from lagoonhinge_node.forwarding.forwarding_metrics import (
    ForwardingMetrics,
    kind_label,
    length_label,
)
from lagoonhinge_node.forwarding.hedge_groups import hedge_group
from lagoonhinge_node.forwarding.request_context import (
    RequestContext,
    RequestLog,
    ResponseWriter,
)
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.silence_timeout import SilenceTimeout
from lagoonhinge_node.forwarding.upstream_choice import UpstreamChoice
from lagoonhinge_node.forwarding.upstream_client import UpstreamAnswer

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
        progress_due_s: From when an event shows that the parts of its prompt crash no
            upstream, in seconds of the node's clock.
        sent_s: When it was sent to an upstream, in seconds of the node's clock; `None`
            for one that another node makes.
    """

    context: RequestContext
    choice: UpstreamChoice
    prompt_number: int
    writer: ResponseWriter
    silence_timeout: SilenceTimeout
    claim_answer: Callable[[], None]
    longest_gap_s: float = 0.0
    progress_due_s: float = float("inf")
    sent_s: float | None = None

    def begin_write(self) -> None:
        """Prepare to write a part of the answer, for which only this attempt remains.

        A caller that reads slowly is no silence of the upstream.
        """
        self.claim_answer()
        self.silence_timeout.stop()


class AnswerForwarder:
    """Forwards answers.

    Args:
        serving: State shared by all requests.
        metrics: The metrics.
        log: Log lines of requests.
    """

    def __init__(
        self, serving: ServingState, metrics: ForwardingMetrics, log: RequestLog
    ):
        self.serving = serving
        self.metrics = metrics
        self.log = log

    async def forward(
        self, attempt: Attempt, answer: UpstreamAnswer
    ) -> Result[None, AttemptFailure]:
        """Forward an answer whose head has arrived.

        Returns:
            Success once it is forwarded whole, else the failure.
        """
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
        waiting, stale_events = b"", 0
        # The caller has the events up to the last ID, from an earlier attempt.
        must_follow = writer.started
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
            stale_events += events.count
            if must_follow and events.ids:
                last_id = context.last_event_id or ""
                if not may_follow(events.ids[0], last_id):
                    text = f"event {events.ids[0]!r} does not follow {last_id!r}"
                    return Failure(Lost(text))
                must_follow = False
            # Comments and repetitions don't show that the upstream makes progress.
            if events.ids and events.ids[-1] != context.last_event_id:
                attempt.begin_write()
                now_s = self.serving.clock()
                if last_event_s is None:
                    self._record_first_event(attempt, "First event.")
                    attempt.progress_due_s = now_s + PROGRESS_INTERVAL_S
                else:
                    gap_s = now_s - last_event_s
                    attempt.longest_gap_s = max(attempt.longest_gap_s, gap_s)
                    self._record_progress(attempt, now_s)
                last_event_s = context.last_event_s = now_s
                context.last_event_id = events.ids[-1]
                if not writer.started:
                    await writer.start(answer.head)
                await writer.write(waiting)
                waiting, stale_events = b"", 0
                attempt.silence_timeout.restart(event_gap_timeout_s(kind))
            held_bytes = len(waiting) + len(splitter.buffer)
            if stale_events > MAX_STALE_EVENTS:
                return Failure(Lost(f"{stale_events} events without a new one"))
            if held_bytes > MAX_EVENT_BYTES:
                return Failure(Lost(f"{held_bytes} bytes without a new event"))
            if not answer.hold(held_bytes):
                return Failure(Lost(f"too large, {held_bytes} bytes"))
        if splitter.buffer:
            return Failure(Lost("the stream ended within an event"))
        if must_follow and has_fields(waiting):
            return Failure(Lost("no part of the stream, but other text"))
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

    def _record_progress(self, attempt: Attempt, now_s: float) -> None:
        """Record that a stream goes on, long before its end for long answers.

        The digest is left out: a request may crash its upstream at any time.
        """
        if now_s >= attempt.progress_due_s:
            attempt.progress_due_s = now_s + PROGRESS_INTERVAL_S
            self.serving.crashes.record_answer(
                part_causes(attempt.context.request), now_s
            )

    def _record_first_event(self, attempt: Attempt, message: str) -> None:
        """Record the end of the prefill and the time to the first event."""
        context, choice = attempt.context, attempt.choice
        self.serving.load.finish_prefill(attempt.prompt_number, choice.instances())
        took_s = self.log.took_s(context)
        predicted_s = choice.ready_s()
        if attempt.sent_s is not None:
            delay_s = self.serving.clock() - attempt.sent_s - predicted_s
            self.serving.hedges.record_delay(hedge_group(context), delay_s)
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
