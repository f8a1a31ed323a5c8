"""Dispatch of calls to plain services, with retries and claims."""

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
RETRYABLE_ATTEMPT_SHARE = 0.5  # of the remaining time, to leave time for a retry

Answer: TypeAlias = Result[PlainAnswer, RequestFailure]


@dataclass
class CallProgress:
    """Progress of one call, updated by each attempt."""

    attempts: int = 0
    may_have_run: bool = False
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
        claimed_calls: ClaimedCalls,
        budget: RetryBudget,
    ):
        self.board = board
        self.services = services
        self.clock = clock
        self.ledger = ledger
        self.claimed_calls = claimed_calls
        self.budget = budget
        self.round_robin_index = 0

    async def run(self, request: PlainRequest) -> Answer:
        """Serve one call and return its answer or a failure."""
        if request.idempotent or request.idempotency_key is None:
            return await self._run_attempts(request)
        key = ClaimKey(request.account, request.service, request.idempotency_key)
        return await self.claimed_calls.run(
            key,
            digest_call(request.call),
            request.deadline_s,
            partial(self._run_attempts, request),
        )

    async def _run_attempts(self, request: PlainRequest) -> Answer:
        progress = CallProgress()
        while True:
            upstream = self._choose_upstream(request, progress)
            if upstream is None:
                return Failure(_no_upstream(request, progress))
            if self._remaining_s(request) <= 0:
                outcome = Outcome.UNKNOWN if progress.may_have_run else Outcome.NOT_RUN
                return Failure(deadline_failure(outcome))
            progress.attempts += 1
            progress.tried.add(upstream)
            match await self._send(request, progress, upstream):
                case Success(answer):
                    share = self.board.read(ConfigSection).config.retries.budget_share
                    self.budget.earn(request.service, share)
                    return Success(answer)
                case Failure(error):
                    progress.last_error = error
                    progress.may_have_run |= not surely_not_run(error)
            if not self._may_retry(request, progress, error):
                return Failure(_attempt_failure(request, progress, error))
            self.budget.spend(request.service)

    async def _send(
        self, request: PlainRequest, progress: CallProgress, upstream: str
    ) -> Result[PlainAnswer, UpstreamError]:
        config = self.board.read(ConfigSection).config
        service = config.services[request.service]
        assert isinstance(service, PlainService)
        timeout_s = self._remaining_s(request)
        if request.idempotent and progress.attempts < config.retries.max_attempts:
            timeout_s *= RETRYABLE_ATTEMPT_SHARE
        # An idle connection may be dead, which makes the outcome unknown.
        new_connection = not request.idempotent or progress.attempts > 1
        limits = CallLimits(timeout_s, service.max_answer_bytes, new_connection)
        url = config.upstreams[upstream].url
        return await self.services.send(url, request.call, limits)

    def _choose_upstream(
        self, request: PlainRequest, progress: CallProgress
    ) -> str | None:
        candidates = find_candidates(self.board, self.ledger, request.service)
        upstreams = [c.name for c in candidates if c.name not in progress.tried]
        if not upstreams and request.idempotent and progress.attempts:
            upstreams = [c.name for c in candidates]
        if not upstreams:
            return None
        self.round_robin_index += 1
        return upstreams[self.round_robin_index % len(upstreams)]

    def _may_retry(
        self, request: PlainRequest, progress: CallProgress, error: UpstreamError
    ) -> bool:
        if not request.idempotent:
            has_claim = request.idempotency_key is not None
            if not has_claim or not surely_not_run(error):
                return False
        if isinstance(error, EngineFault):
            return False
        retries = self.board.read(ConfigSection).config.retries
        if progress.attempts >= retries.max_attempts:
            return False
        return self.budget.can_spend(request.service)

    def _remaining_s(self, request: PlainRequest) -> float:
        return request.deadline_s - self.clock.monotonic_s()


def _attempt_failure(
    request: PlainRequest, progress: CallProgress, error: UpstreamError
) -> RequestFailure:
    message = f"the upstream failed: {error}"
    if not progress.may_have_run:
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


def _no_upstream(request: PlainRequest, progress: CallProgress) -> RequestFailure:
    if progress.last_error is not None:
        return _attempt_failure(request, progress, progress.last_error)
    return RequestFailure(
        ErrorCode.NO_UPSTREAM,
        Outcome.NOT_RUN,
        f"no upstream of {request.service!r} may take new work",
        RETRY_AFTER_S,
    )
