"""Queued and admitted requests, and the lanes of each service."""

from asyncio import Future
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from returns.result import Result

from lagoonhinge_core.admission_policy import (
    DecodeTimeEstimate,
    DispatchRate,
    Prediction,
)
from lagoonhinge_core.fair_queue import FairQueue
from lagoonhinge_core.outcome import Failure
from lagoonhinge_core.placement import PlacementRequest
from lagoonhinge_core.request import ModelRequest

IDLE_CREDIT_TOKENS = 16_000.0


@dataclass(frozen=True)
class Ticket:
    """Permission to serve one request; released exactly once."""

    request_id: str


@dataclass
class Lane:
    """The queue of one length class of one service.

    Lanes are dispatched independently, as they need different capacity.
    """

    queue: FairQueue = field(default_factory=lambda: FairQueue(IDLE_CREDIT_TOKENS))
    dispatch_rate: DispatchRate = field(default_factory=DispatchRate)
    decode_time: DecodeTimeEstimate = field(default_factory=DecodeTimeEstimate)

    def wait_s(self) -> float:
        """Return the time to dispatch the whole lane, in seconds."""
        return self.dispatch_rate.wait_s(self.queue.tokens)


@dataclass
class ServiceLanes:
    """The lanes of one service."""

    short: Lane = field(default_factory=Lane)
    long: Lane = field(default_factory=Lane)

    def both(self) -> tuple[Lane, Lane]:
        """Return the lanes, short first."""
        return self.short, self.long

    def queued_count(self) -> int:
        """Return the number of queued requests."""
        return len(self.short.queue) + len(self.long.queue)


@dataclass(frozen=True)
class QueuedRequest:
    """A queued request.

    Attributes:
        request: The request.
        lane: The lane that it is queued in.
        placement: Its input to placement.
        is_long: Whether it is of the long class.
        prefill_s: Prefill time of its prompt on an idle upstream, in seconds.
        arrived_s: Time when it was queued, in seconds.
        result: Resolves to the ticket or the refusal.
    """

    request: ModelRequest
    lane: Lane
    placement: PlacementRequest
    is_long: bool
    prefill_s: float
    arrived_s: float
    result: "Future[Result[Ticket, Failure]]"

    def late_by_s(self, tokens_ahead: float, now_s: float) -> float:
        """Return by how much it misses its deadline, in seconds; negative if met.

        Args:
            tokens_ahead: Work dispatched before it, in tokens.
            now_s: The time, in seconds.
        """
        decode_s = self.lane.decode_time.estimate_s(self.placement.output_tokens)
        start_s = self.lane.dispatch_rate.wait_s(tokens_ahead)
        prediction = Prediction(start_s, self.prefill_s, decode_s)
        return prediction.late_by_s(self.request.deadline_s - now_s)

    def record_service_time(self, service_time_s: float) -> None:
        """Record the time between dispatch and end, in seconds."""
        decode_s = max(0.0, service_time_s - self.prefill_s)
        self.lane.decode_time.record(decode_s, max(1, self.placement.output_tokens))


@dataclass(frozen=True)
class QueueDepth:
    """Queued requests of one account in one lane, for the state dump.

    Attributes:
        service: Name of the service.
        is_long: Whether the lane is that of long requests.
        account: Name of the client account.
        requests: Number of queued requests.
        tokens: Their work, in tokens.
    """

    service: str
    is_long: bool
    account: str
    requests: int
    tokens: int


def queue_depths(queued: Iterable[QueuedRequest]) -> tuple[QueueDepth, ...]:
    """Return the queued requests and tokens by service, lane and account."""
    depths: dict[tuple[str, bool, str], QueueDepth] = {}
    for entry in queued:
        request = entry.request
        key = (request.service, entry.is_long, request.account)
        previous = depths.get(key, QueueDepth(*key, requests=0, tokens=0))
        tokens = previous.tokens + request.estimate.total()
        depths[key] = replace(previous, requests=previous.requests + 1, tokens=tokens)
    return tuple(depths[key] for key in sorted(depths))


@dataclass
class AdmittedRequest:
    """A request that holds a ticket.

    Attributes:
        upstream: Upstream reserved for its first attempt, until that is placed.
        queued: Its entry while queued; `None` if it bypassed the queue.
        granted_s: Time when it got the ticket, in seconds.
    """

    upstream: str | None
    queued: QueuedRequest | None = None
    granted_s: float = 0.0

    def waited_s(self) -> float:
        """Return the time that it was queued, in seconds."""
        return 0.0 if self.queued is None else self.granted_s - self.queued.arrived_s
