"""Context of a request in progress, its response writer, and its log lines."""

from dataclasses import dataclass, field
from functools import cached_property
from typing import Protocol

from lagoonhinge_core.forwarding.attempts import AttemptFailure
from lagoonhinge_core.forwarding.crash_causes import (
    PossibleCauses,
    digest_request,
    part_causes,
)
from lagoonhinge_core.forwarding.crashes import CrashTracker
from lagoonhinge_core.forwarding.messages import AnswerHead, CallerRequest
from lagoonhinge_core.forwarding.routes import Route
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger


class ResponseWriter(Protocol):
    """Writes the answer to a request's caller."""

    started: bool

    async def start(self, head: AnswerHead) -> None:
        """Write the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Write bytes of a stream."""

    async def finish(self) -> None:
        """Complete a stream."""

    async def reply(self, head: AnswerHead, body: bytes) -> None:
        """Write a whole answer."""

    async def refuse(self, status: int, retry_after_s: float | None) -> None:
        """Write an answer of this system itself, which refuses the request."""

    def abort(self) -> None:
        """Abort the connection, so that the stream is visibly incomplete."""


# Log lines of requests without failure; a node under usual load writes some tens.
MAX_LINES_PER_S = 200


@dataclass(frozen=True)
class Refusal:
    """Refusal of a request by this system itself, before any attempt.

    Attributes:
        status: HTTP status.
        reason: Reason, for the log.
        retry_after_s: Time until a retry may succeed, in seconds; `None` if a retry is
            of no use.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass
class RequestContext:
    """A request in progress and its attempts so far.

    Attributes:
        request: The request.
        route: Its route.
        service: Service selected by the traffic split.
        account: Name of its client account.
        deadline_s: Its deadline, in seconds of the node's clock.
        arrived_s: When it arrived, in seconds of the node's clock.
        tried: Instances of its attempts.
        attempts: Attempts so far.
        runs: Attempts in which the upstream may have run it, or may be running it.
        declined: Attempts that upstreams declined.
        helper_faults: Declined attempts that a helper caused.
        not_delivered: Attempts that reached no upstream.
        last_event_id: Id of the last event forwarded; at first, of the last event that
            the caller has.
        failed_answer: An upstream's failure, forwarded if no attempt succeeds.
        last_failure: Failure of the last attempt that failed.
        last_event_s: When the last event was forwarded, in seconds of the node's clock.
        deferred_lines: Log lines above the rate limit, written only on failure.
        is_relayed: Whether another node, which reaches no upstream, sent it.
        asked_nodes: Nodes that were asked to serve it.
        hedged_instance: Upstream of its second attempt while both are open; empty
            without one.
        is_trial: Whether it is in quarantine, and tried nevertheless to tell what
            crashed upstreams; it has one attempt.
    """

    request: CallerRequest
    route: Route
    service: str
    account: str | None
    deadline_s: float
    arrived_s: float
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    runs: int = 0
    declined: int = 0
    helper_faults: int = 0
    not_delivered: int = 0
    last_event_id: str | None = None
    failed_answer: tuple[AnswerHead, bytes] | None = None
    last_failure: AttemptFailure | None = None
    last_event_s: float | None = None
    deferred_lines: list["DeferredLine"] = field(default_factory=list)
    is_relayed: bool = False
    asked_nodes: set[str] = field(default_factory=set)
    hedged_instance: str = ""
    is_trial: bool = False

    @cached_property
    def crash_causes(self) -> PossibleCauses:
        """Return what in the request may crash an upstream."""
        digest = digest_request(self.request, self.account)
        return PossibleCauses(digest, part_causes(self.request))

    def quarantine_s(self, crashes: CrashTracker, now_s: float) -> float:
        """Return the rest of the request's quarantine, in seconds; 0 if none."""
        # Without crashes, as usual, no digest is computed.
        if crashes.is_empty():
            return 0.0
        return crashes.remaining_quarantine_s(self.crash_causes, now_s)


@dataclass(frozen=True)
class DeferredLine:
    """A log line that is written only if its request fails."""

    at_s: float
    message: str
    inputs: dict[str, object]


class RequestLog:
    """Times of requests, and their log lines at a limited rate.

    Above the rate limit, the lines of a request are deferred. They are written if it
    fails, and otherwise dropped and counted.

    Args:
        serving: State shared by all requests.
    """

    def __init__(self, serving: ServingState):
        self.serving = serving
        self.log_part = PartLogger("request")
        self.second = 0
        self.line_count = 0
        self.dropped = 0

    def remaining_s(self, context: RequestContext) -> float:
        """Return the time until a request's deadline, in seconds."""
        return context.deadline_s - self.serving.clock()

    def took_s(self, context: RequestContext) -> float:
        """Return the time since a request arrived, in seconds."""
        return self.serving.clock() - context.arrived_s

    def silent_s(self, context: RequestContext) -> float | None:
        """Return the time since a stream's last event, in seconds; `None` if none."""
        last_event_s = context.last_event_s
        return None if last_event_s is None else self.serving.clock() - last_event_s

    def log_event(
        self, context: RequestContext, message: str, **inputs: object
    ) -> None:
        """Log an event of a request, or defer the line above the rate limit."""
        now_s = self.serving.clock()
        if self._is_within_limit(now_s):
            self.log_part.info(message, context.request.request_id, **inputs)
        else:
            context.deferred_lines.append(DeferredLine(now_s, message, inputs))

    def log_failure(
        self, context: RequestContext, message: str, **inputs: object
    ) -> None:
        """Log a failure of a request, after its deferred lines."""
        request_id = context.request.request_id
        now_s = self.serving.clock()
        for line in context.deferred_lines:
            ago_s = now_s - line.at_s
            self.log_part.info(line.message, request_id, **line.inputs, ago_s=ago_s)
        context.deferred_lines.clear()
        self.log_part.info(message, request_id, **inputs)

    def discard_deferred(self, context: RequestContext) -> None:
        """Drop and count the deferred lines of a request that ended."""
        self.dropped += len(context.deferred_lines)
        context.deferred_lines.clear()

    def _is_within_limit(self, now_s: float) -> bool:
        second = int(now_s)
        if second != self.second:
            if self.dropped:
                count, self.dropped = self.dropped, 0
                self.log_part.info(
                    "Dropped log lines of requests above the rate limit.",
                    count=count,
                )
            self.second, self.line_count = second, 0
        self.line_count += 1
        return self.line_count <= MAX_LINES_PER_S
