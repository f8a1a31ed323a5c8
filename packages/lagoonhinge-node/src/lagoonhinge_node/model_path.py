"""Serving of model requests: admission, placement, attempts, retries and deadline."""

from asyncio import timeout
from collections.abc import Callable
from random import Random

from returns.result import Failure, Result, Success

from lagoonhinge_core.answer_text import AnswerDiffers
from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.engine_messages import EngineCall
from lagoonhinge_core.in_flight import InFlightLedger, WorkItem
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.outcome import Outcome
from lagoonhinge_core.placement import (
    engine_priority,
)
from lagoonhinge_core.poison import Quarantined
from lagoonhinge_core.ports import Clock, EngineClient
from lagoonhinge_core.recovery import (
    AttemptEnded,
    FailRequest,
    RequestProgress,
    RetryRequest,
    after_attempt,
    answer_differs_failure,
    combined_outcome,
    deadline_failure,
    quarantined_failure,
)
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.retry_budget import RetryBudget
from lagoonhinge_core.sections import ConfigSection, NodeSection
from lagoonhinge_core.tokens import TokenEstimator
from lagoonhinge_core.upstream_errors import Gone
from lagoonhinge_node.admission import Admission
from lagoonhinge_node.answer_relay import AnswerSink, Finished
from lagoonhinge_node.attempt_placement import AttemptPlacer
from lagoonhinge_node.attempts import EXPIRY_MARGIN_S, Attempt, AttemptRunner
from lagoonhinge_node.group_attempts import GroupAttempts
from lagoonhinge_node.group_path import GroupPath
from lagoonhinge_node.poison_controller import PoisonController
from lagoonhinge_node.releases import ReleaseQueue
from lagoonhinge_node.request_state import RequestState


class ModelPath:
    """Serves model requests."""

    def __init__(
        self,
        board: Blackboard,
        engines: EngineClient,
        clock: Clock,
        admission: Admission,
        ledger: InFlightLedger,
        releases: ReleaseQueue,
        estimator: TokenEstimator,
        poison: PoisonController,
    ):
        self.board = board
        self.clock = clock
        self.admission = admission
        self.estimator = estimator
        random = Random(str(board.read(NodeSection).node))
        groups = GroupPath(board, engines, clock, random, ledger, releases)
        self.groups = groups
        self.group_attempts = GroupAttempts(board, clock, groups)
        self.poison = poison
        self.attempts = AttemptRunner(engines, clock, ledger, releases)
        self.budget = RetryBudget()
        self.attempt_placer = AttemptPlacer(board, clock, admission, ledger, poison)
        self.on_admitted: list[Callable[[float], None]] = []
        self.on_attempt: list[Callable[[int], None]] = []

    async def run(
        self, request: ModelRequest, sink: AnswerSink
    ) -> Result[Finished, RequestFailure]:
        """Serve one request before its deadline.

        Args:
            request: The checked request.
            sink: Receives the answer's text in order, each part once.

        Returns:
            The end of a complete answer, or the failure.
        """
        state = RequestState()
        deadline = timeout(max(0.0, self._remaining_s(request)))
        try:
            async with deadline:
                return await self._run_admitted(request, state, sink)
        except TimeoutError:
            assert deadline.expired()
            return Failure(deadline_failure(state.outcome))

    async def _run_admitted(
        self, request: ModelRequest, state: RequestState, sink: AnswerSink
    ) -> Result[Finished, RequestFailure]:
        if isinstance(status := self.poison.prompt_status(request), Quarantined):
            return Failure(quarantined_failure(state.outcome, status.remaining_s))
        match await self.admission.admit(request):
            case Failure(failure):
                return Failure(failure)
            case Success(ticket):
                waited_s = self.admission.waited_s(request.request_id)
                for callback in self.on_admitted:
                    callback(waited_s)
                try:
                    return await self._run_attempts(request, state, sink)
                finally:
                    self.admission.release(ticket)
        raise AssertionError("not a result")

    async def _run_attempts(
        self, request: ModelRequest, state: RequestState, sink: AnswerSink
    ) -> Result[Finished, RequestFailure]:
        while True:
            match await self._run_next_attempt(request, state, sink):
                case Success(finished):
                    self.poison.mark_completed(request)
                    self._record_success(request, finished)
                    return Success(finished)
                case Failure(RequestFailure() as failure):
                    return Failure(failure)
                case Failure(AnswerDiffers(offset)):
                    return Failure(answer_differs_failure(offset))
                case Failure(AttemptEnded() as ended):
                    decision = self._decide(request, state, ended)
            if isinstance(decision, FailRequest):
                return Failure(decision.failure)
            self.budget.spend(request.service)
            state.failure = decision.failure
            if sink.restart():
                state.text.reset()
            else:
                state.text.restart()

    async def _run_next_attempt(
        self, request: ModelRequest, state: RequestState, sink: AnswerSink
    ) -> Result[Finished, RequestFailure | AttemptEnded | AnswerDiffers]:
        if self.groups.needs_group(request):
            return await self.group_attempts.run(
                request,
                state,
                self.attempt_placer.next_name,
                lambda attempt: self._run_attempt(request, attempt, state, sink),
            )
        attempt = await self.attempt_placer.next_attempt(request, state)
        if isinstance(attempt, RequestFailure):
            return Failure(attempt)
        state.attempts += 1
        return await self._run_attempt(request, attempt, state, sink)

    async def _run_attempt(
        self,
        request: ModelRequest,
        attempt: Attempt,
        state: RequestState,
        sink: AnswerSink,
    ) -> Result[Finished, AttemptEnded | AnswerDiffers]:
        estimate = attempt.estimate or request.estimate
        item = WorkItem(
            upstream=attempt.upstream,
            prompt_tokens=estimate.prompt_tokens,
            total_tokens=estimate.total(),
            is_long=self.admission.is_long(request),
        )
        call = self._engine_call(request, attempt)
        for callback in self.on_attempt:
            callback(state.attempts)
        previous_outcome = state.outcome
        # If the deadline cancels this attempt, its outcome is unknown.
        state.outcome = Outcome.UNKNOWN
        with self.poison.track_running(request, attempt.upstream):
            result = await self.attempts.run(
                request, attempt, call, item, state.text, sink
            )
        match result:
            case Failure(AttemptEnded(error=error, outcome=outcome) as ended):
                if ended.upstream_crashed:
                    self.poison.add_strike(request, attempt.upstream, attempt.boot)
                state.outcome = combined_outcome(previous_outcome, outcome)
                state.tried |= {attempt.upstream}
                if not isinstance(error, Gone):
                    state.unusable |= {attempt.upstream}
        return result

    def _decide(
        self, request: ModelRequest, state: RequestState, ended: AttemptEnded
    ) -> FailRequest | RetryRequest:
        retries = self.board.read(ConfigSection).config.retries
        may_retry = state.attempts < retries.max_attempts and self.budget.can_spend(
            request.service
        )
        if request.idempotency_key is not None:
            may_retry = may_retry and state.outcome == Outcome.NOT_RUN
        progress = RequestProgress(
            outcome=state.outcome,
            may_retry=may_retry,
            remaining_s=self._remaining_s(request),
        )
        return after_attempt(progress, ended)

    def _engine_call(self, request: ModelRequest, attempt: Attempt) -> EngineCall:
        return EngineCall(
            attempt=attempt.name,
            owner=str(self.board.read(NodeSection).node),
            model=request.model,
            prompt=request.prompt if attempt.prompt is None else attempt.prompt,
            max_tokens=request.estimate.output_tokens,
            seed=request.seed,
            priority=engine_priority(
                self.admission.policy(request.service),
                request.estimate.prompt_tokens,
                self.admission.waited_s(request.request_id),
            ),
            expires_s=self._remaining_s(request) + EXPIRY_MARGIN_S,
            sampling=request.sampling,
            reservation=attempt.reservation,
            spans=attempt.spans,
        )

    def _record_success(self, request: ModelRequest, finished: Finished) -> None:
        share = self.board.read(ConfigSection).config.retries.budget_share
        self.budget.earn(request.service, share)
        self.estimator.correct(
            request.model, request.prompt_bytes, finished.usage.prompt_tokens
        )

    def _remaining_s(self, request: ModelRequest) -> float:
        return request.deadline_s - self.clock.monotonic_s()
