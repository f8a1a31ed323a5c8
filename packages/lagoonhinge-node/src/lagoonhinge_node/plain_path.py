"""The way of a call to a plain service."""

from dataclasses import dataclass, field
from functools import partial
from typing import TypeAlias

from returns.result import Failure, Result, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.claims import ClaimKey, digest_call
from lagoonhinge_core.config import PlainService
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.plain_messages import CallLimits, PlainAnswer
from lagoonhinge_core.ports import Clock, PlainClient
from lagoonhinge_core.recovery import deadline_failure
from lagoonhinge_core.request import PlainRequest
from lagoonhinge_core.retry_budget import RetryBudget
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_core.upstream_errors import (
    EngineFault,
    Refused,
    UpstreamError,
    surely_not_run,
)
from lagoonhinge_node.candidates import find_candidates
from lagoonhinge_node.claimed_calls import ClaimedCalls

RETRY_AFTER_S = 1.0
FIRST_ATTEMPT_SHARE = 0.5  # of the time left, so that a retry still has a chance

Answer: TypeAlias = Result[PlainAnswer, RequestFailure]


@dataclass
class CallState:
    """What one call has been through; changes with each attempt."""

    attempts: int = 0
    maybe_run: bool = False
    tried: set[str] = field(default_factory=set)
    last_error: UpstreamError | None = None


class PlainPath:
    """Serves calls to plain services."""

    def __init__(
        self,
        board: Blackboard,
        services: PlainClient,
        clock: Clock,
        ledger: InFlightLedger,
        claimed: ClaimedCalls,
        budget: RetryBudget,
    ):
        self.board = board
        self.services = services
        self.clock = clock
        self.ledger = ledger
        self.claimed = claimed
        self.budget = budget
        self.turn = 0

    async def run(self, request: PlainRequest) -> Answer:
        """Serve one call and return its answer or a truthful failure."""
        if request.idempotent or request.idempotency_key is None:
            return await self._attempt_until_done(request)
        key = ClaimKey(request.account, request.service, request.idempotency_key)
        return await self.claimed.run(
            key,
            digest_call(request.call),
            request.deadline_s,
            partial(self._attempt_until_done, request),
        )

    async def _attempt_until_done(self, request: PlainRequest) -> Answer:
        state = CallState()
        while True:
            upstream = self._choose(request, state)
            if upstream is None:
                return Failure(_no_upstream(request, state))
            if self._remaining_s(request) <= 0:
                outcome = Outcome.UNKNOWN if state.maybe_run else Outcome.NOT_RUN
                return Failure(deadline_failure(outcome))
            state.attempts += 1
            state.tried.add(upstream)
            match await self._send(request, state, upstream):
                case Success(answer):
                    share = self.board.read(ConfigSection).config.retries.budget_share
                    self.budget.earn(request.service, share)
                    return Success(answer)
                case Failure(error):
                    state.last_error = error
                    state.maybe_run |= not surely_not_run(error)
            if not self._may_retry(request, state, error):
                return Failure(_attempt_failure(request, state, error))
            self.budget.spend(request.service)

    async def _send(
        self, request: PlainRequest, state: CallState, upstream: str
    ) -> Result[PlainAnswer, UpstreamError]:
        config = self.board.read(ConfigSection).config
        service = config.services[request.service]
        assert isinstance(service, PlainService)
        timeout_s = self._remaining_s(request)
        if request.idempotent and state.attempts < config.retries.max_attempts:
            timeout_s *= FIRST_ATTEMPT_SHARE
        # An idle connection may be dead, which would make the outcome unknown.
        is_new = not request.idempotent or state.attempts > 1
        limits = CallLimits(timeout_s, service.max_answer_bytes, is_new)
        url = config.upstreams[upstream].url
        return await self.services.send(url, request.call, limits)

    def _choose(self, request: PlainRequest, state: CallState) -> str | None:
        candidates = find_candidates(self.board, self.ledger, request.service)
        names = [c.name for c in candidates if c.name not in state.tried]
        if not names and request.idempotent and state.attempts:
            names = [c.name for c in candidates]
        if not names:
            return None
        self.turn += 1
        return names[self.turn % len(names)]

    def _may_retry(
        self, request: PlainRequest, state: CallState, error: UpstreamError
    ) -> bool:
        if not request.idempotent:
            has_claim = request.idempotency_key is not None
            if not has_claim or not surely_not_run(error):
                return False
        if isinstance(error, EngineFault):
            return False
        retries = self.board.read(ConfigSection).config.retries
        if state.attempts >= retries.max_attempts:
            return False
        return self.budget.can_spend(request.service)

    def _remaining_s(self, request: PlainRequest) -> float:
        return request.deadline_s - self.clock.monotonic_s()


def _attempt_failure(
    request: PlainRequest, state: CallState, error: UpstreamError
) -> RequestFailure:
    message = f"the upstream failed: {error}"
    if not state.maybe_run:
        retry_after_s = RETRY_AFTER_S
        if isinstance(error, Refused) and error.retry_after_s is not None:
            retry_after_s = error.retry_after_s
        return RequestFailure(
            ErrorCode.UPSTREAM_FAILED, Outcome.NOT_RUN, message, retry_after_s
        )
    if request.idempotent:
        return RequestFailure(
            ErrorCode.UPSTREAM_FAILED, Outcome.FAILED, message, RETRY_AFTER_S
        )
    return RequestFailure(ErrorCode.UPSTREAM_FAILED, Outcome.UNKNOWN, message)


def _no_upstream(request: PlainRequest, state: CallState) -> RequestFailure:
    if state.last_error is not None:
        return _attempt_failure(request, state, state.last_error)
    return RequestFailure(
        ErrorCode.NO_UPSTREAM,
        Outcome.NOT_RUN,
        f"no upstream of {request.service!r} may take new work",
        RETRY_AFTER_S,
    )
