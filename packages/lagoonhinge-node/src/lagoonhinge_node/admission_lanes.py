"""Requests in line: the lanes of each service and what one request needs."""

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
    """The right of one request to be served; given back exactly once."""

    request_id: str


@dataclass
class Lane:
    """The queue of one length class of one service.

    Lanes don't wait for each other: they need different room.
    """

    queue: FairQueue = field(default_factory=lambda: FairQueue(IDLE_CREDIT_TOKENS))
    drain: DispatchRate = field(default_factory=DispatchRate)
    finish: DecodeTimeEstimate = field(default_factory=DecodeTimeEstimate)

    def wait_s(self) -> float:
        """Return how long the whole lane takes to be dispatched, in seconds."""
        return self.drain.wait_s(self.queue.tokens)


@dataclass
class ServiceLanes:
    """The lanes of one service."""

    short: Lane = field(default_factory=Lane)
    long: Lane = field(default_factory=Lane)

    def both(self) -> tuple[Lane, Lane]:
        """Return the lanes, short first."""
        return self.short, self.long

    def waiting(self) -> int:
        """Return how many requests are in line."""
        return len(self.short.queue) + len(self.long.queue)


@dataclass(frozen=True)
class Waiting:
    """A request in line.

    Attributes:
        request: The request.
        lane: Where it is in line.
        wanted: What placement needs to know of it.
        is_long: Whether it is of the long class.
        prefill_s: Time that its prompt takes on an idle upstream, in seconds.
        arrived_s: When it got in line.
        granted: Gets the ticket or the refusal.
    """

    request: ModelRequest
    lane: Lane
    wanted: PlacementRequest
    is_long: bool
    prefill_s: float
    arrived_s: float
    granted: "Future[Result[Ticket, Failure]]"

    def late_by_s(self, tokens_ahead: float, now_s: float) -> float:
        """Return by how much the bound would be missed, in seconds; negative if met.

        Args:
            tokens_ahead: Work that is dispatched before it, in tokens.
            now_s: The time, in seconds.
        """
        finish_s = self.lane.finish.estimate_s(self.wanted.output_tokens)
        start_s = self.lane.drain.wait_s(tokens_ahead)
        prediction = Prediction(start_s, self.prefill_s, finish_s)
        return prediction.late_by_s(self.request.deadline_s - now_s)

    def learn_finish(self, took_s: float) -> None:
        """Learn from the time between dispatch and end, in seconds."""
        after_prompt_s = max(0.0, took_s - self.prefill_s)
        self.lane.finish.record(after_prompt_s, max(1, self.wanted.output_tokens))


@dataclass(frozen=True)
class QueueDepth:
    """Requests in line of one account in one lane, for the state dump.

    Attributes:
        service: Name of the service.
        is_long: Whether the lane is that of long requests.
        account: Name of the client account.
        requests: How many are in line.
        tokens: Their work, in tokens.
    """

    service: str
    is_long: bool
    account: str
    requests: int
    tokens: int


def queue_depths(waiting: Iterable[Waiting]) -> tuple[QueueDepth, ...]:
    """Return how much is in line, by service, lane and account."""
    depths: dict[tuple[str, bool, str], QueueDepth] = {}
    for entry in waiting:
        request = entry.request
        key = (request.service, entry.is_long, request.account)
        old = depths.get(key, QueueDepth(*key, requests=0, tokens=0))
        tokens = old.tokens + request.estimate.total()
        depths[key] = replace(old, requests=old.requests + 1, tokens=tokens)
    return tuple(depths[key] for key in sorted(depths))


@dataclass
class Admitted:
    """A request that holds a ticket.

    Attributes:
        upstream: Upstream set aside for its first attempt, until that is placed.
        waiting: How it was in line, unless it passed by.
        granted_s: When it got the ticket.
    """

    upstream: str | None
    waiting: Waiting | None = None
    granted_s: float = 0.0

    def waited_s(self) -> float:
        """Return the time that it spent in line, in seconds."""
        return 0.0 if self.waiting is None else self.granted_s - self.waiting.arrived_s
