"""One request on its way, and the caller's end of it."""

from dataclasses import dataclass, field
from functools import cached_property
from typing import Protocol

from lagoonhinge_core.forwarding.crashes import digest_request
from lagoonhinge_core.forwarding.messages import AnswerHead, CallerRequest
from lagoonhinge_core.forwarding.routes import Route
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger


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


# Of requests without failure; a node's usual load writes some tens.
MAX_LINES_PER_S = 200


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
        blamed: Those of them for which a helper was at fault.
        not_delivered: Sends that reached no upstream.
        may_be_running: Whether a send is open that may run.
        last_event: Last event passed on, or the one that the caller had.
        failed_answer: An upstream's failure to pass on if no other will do.
        kept_lines: Log lines that are written only if the request fails.
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
    blamed: int = 0
    not_delivered: int = 0
    may_be_running: bool = False
    last_event: str | None = None
    failed_answer: tuple[AnswerHead, bytes] | None = None
    kept_lines: list["KeptLine"] = field(default_factory=list)

    @cached_property
    def digest(self) -> str:
        """Return the digest of what is asked, and for whom."""
        return digest_request(self.request, self.account)


@dataclass(frozen=True)
class KeptLine:
    """A log line that is written only if its request fails."""

    at_s: float
    sentence: str
    inputs: dict[str, object]


class JobLog:
    """Times of requests, and their log lines within a bounded volume.

    Beyond the volume, a request's lines are kept back; they are written if it fails
    and counted if it does not.

    Args:
        state: What all requests share.
    """

    def __init__(self, state: ServingState):
        self.state = state
        self.log_part = PartLogger("request")
        self.second = 0
        self.lines = 0
        self.left_out = 0

    def remaining_s(self, job: Job) -> float:
        """Return the time left for a request, in seconds."""
        return job.deadline_s - self.state.clock()

    def took_s(self, job: Job) -> float:
        """Return the time since a request arrived, in seconds."""
        return self.state.clock() - job.arrived_s

    def tell(self, job: Job, sentence: str, **inputs: object) -> None:
        """Log an event of a request with the inputs that decided it."""
        now_s = self.state.clock()
        if self._has_room(now_s):
            self.log_part.info(sentence, job.request.request_id, **inputs)
        else:
            job.kept_lines.append(KeptLine(now_s, sentence, inputs))

    def tell_failure(self, job: Job, sentence: str, **inputs: object) -> None:
        """Log an event that fails a request, and the lines kept back before it."""
        request_id = job.request.request_id
        now_s = self.state.clock()
        for line in job.kept_lines:
            ago_s = now_s - line.at_s
            self.log_part.info(line.sentence, request_id, **line.inputs, ago_s=ago_s)
        job.kept_lines.clear()
        self.log_part.info(sentence, request_id, **inputs)

    def end(self, job: Job) -> None:
        """Count the lines that were kept back and are not needed."""
        self.left_out += len(job.kept_lines)
        job.kept_lines.clear()

    def _has_room(self, now_s: float) -> bool:
        second = int(now_s)
        if second != self.second:
            if self.left_out:
                count, self.left_out = self.left_out, 0
                self.log_part.info("Lines were left out.", count=count)
            self.second, self.lines = second, 0
        self.lines += 1
        return self.lines <= MAX_LINES_PER_S
