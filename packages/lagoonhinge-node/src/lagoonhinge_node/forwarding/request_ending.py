"""Ends of requests that get no complete answer from an upstream."""

from http import HTTPStatus
from math import inf

from lagoonhinge_core.forwarding.attempts import FailureAction
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.forwarding_metrics import (
    ForwardingMetrics,
    failure_label,
)
from lagoonhinge_node.forwarding.request_context import (
    RequestContext,
    RequestLog,
    ResponseWriter,
)
from lagoonhinge_node.forwarding.serving_state import ServingState

SHORT_RETRY_AFTER_S = 0.25  # another node or a newly listed upstream may serve it


class RequestEnding:
    """Ends requests with a true outcome: refused as not run, failed, or interrupted.

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

    async def end_without_capacity(
        self, context: RequestContext, writer: ResponseWriter, closed_s: float | None
    ) -> str:
        """End a request for which no upstream has capacity; return how it ended.

        Args:
            context: The request.
            writer: Writes the answer to the caller.
            closed_s: How long the untried upstreams take no request, in seconds; `None`
                if one takes it now, or there is none.
        """
        self.log.log_failure(
            context,
            "No upstream has capacity; ending the request.",
            sends=context.attempts,
            closed_s=closed_s,
        )
        if closed_s == inf:
            closed_s = self.log.remaining_s(context)
        retry_after_s = max(SHORT_RETRY_AFTER_S, closed_s or 0.0)
        return await self.end_failed(
            context, writer, FailureAction.REFUSE, retry_after_s
        )

    async def end_unreachable_deadline(
        self, context: RequestContext, writer: ResponseWriter, ready_s: float
    ) -> str:
        """End a request whose deadline no upstream can meet; return how it ended.

        Args:
            context: The request.
            writer: Writes the answer to the caller.
            ready_s: Predicted time until its first event, in seconds.
        """
        remaining_s = self.log.remaining_s(context)
        self.log.log_failure(
            context,
            "No upstream can meet the deadline; ending the request.",
            ready_s=ready_s,
            remaining_s=remaining_s,
        )
        # A retry before the deadline would fail for the same reason.
        retry_after_s = max(remaining_s, SHORT_RETRY_AFTER_S)
        return await self.end_failed(
            context, writer, FailureAction.REFUSE, retry_after_s
        )

    async def end_failed(
        self,
        context: RequestContext,
        writer: ResponseWriter,
        action: FailureAction,
        retry_after_s: float = SHORT_RETRY_AFTER_S,
    ) -> str:
        """End a request after its last failure; return how it ended.

        Args:
            context: The request.
            writer: Writes the answer to the caller.
            action: Action after the failure.
            retry_after_s: When the caller may return if it is refused, in seconds.
        """
        took_s = self.log.took_s(context)
        if writer.started:
            self._abort(context, writer)
            return "broke_off"
        if context.failed_answer is not None:
            head, body = context.failed_answer
            self.log.log_failure(context, "Passed on a failure.", status=head.status)
            await writer.reply(head, body)
            return "failure_passed_on"
        if action is FailureAction.REFUSE and not context.runs:
            self.log.log_failure(context, "Refused, not run.", took_s=took_s)
            await writer.refuse(HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s)
            return "refused"
        self.log.log_failure(context, "Failed.", took_s=took_s, runs=context.runs)
        await writer.refuse(HTTPStatus.BAD_GATEWAY, None)
        return "failed"

    def _abort(self, context: RequestContext, writer: ResponseWriter) -> None:
        """Interrupt a stream, and record why."""
        config = self.serving.board.read(SiteConfigSection).config
        self.log.log_failure(
            context,
            "Broke off.",
            took_s=self.log.took_s(context),
            runs=context.runs,
            cause=repr(context.last_failure),
            silent_s=self.log.silent_s(context),
            config_version=None if config is None else config.version,
        )
        self.metrics.interrupted.labels(failure_label(context.last_failure)).inc()
        writer.abort()

    async def time_out(self, context: RequestContext, writer: ResponseWriter) -> None:
        """End a request at its deadline."""
        took_s = self.log.took_s(context)
        self.log.log_failure(
            context, "Out of time.", took_s=took_s, sends=context.attempts
        )
        if writer.started:
            writer.abort()
        elif context.runs:
            await writer.refuse(HTTPStatus.GATEWAY_TIMEOUT, None)
        else:
            await writer.refuse(HTTPStatus.SERVICE_UNAVAILABLE, SHORT_RETRY_AFTER_S)
