"""The way of a model request: admit, place, attempt, relay, finish or fail."""

from dataclasses import dataclass
from itertools import count
from typing import Protocol

from returns.result import Failure, Result, Success

from lagoonhinge_core.answer_text import AnswerDiffers, AnswerText
from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.chunk_sequence import ChunkSequence, SequenceBroken
from lagoonhinge_core.config import (
    LengthAware,
    ModelService,
    PlacementConfig,
    UpstreamConfig,
)
from lagoonhinge_core.engine_messages import EngineCall, EngineChunk, SpanRef, Usage
from lagoonhinge_core.in_flight import InFlightLedger, WorkItem
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.placement import PlacementRequest, engine_priority
from lagoonhinge_core.ports import Clock, EngineClient, EngineStream
from lagoonhinge_core.recovery import (
    GiveUp,
    RequestProgress,
    Rerun,
    Resume,
    deadline_failure,
    next_step,
)
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.retry_budget import RetryBudget
from lagoonhinge_core.sections import ConfigSection, NodeSection
from lagoonhinge_core.tokens import TokenEstimator
from lagoonhinge_core.upstream_errors import Broken, UpstreamError, surely_not_run
from lagoonhinge_node.admission import Admission
from lagoonhinge_node.candidates import find_candidates
from lagoonhinge_node.releases import Release, Releaser

ACCEPT_TIMEOUT_S = 5.0
EXPIRY_MARGIN_S = 5.0
NO_UPSTREAM_RETRY_AFTER_S = 2.0


class AnswerSink(Protocol):
    """Where the answer's text goes."""

    async def write(self, text: str) -> None:
        """Take the next part of the answer."""


@dataclass(frozen=True)
class Finished:
    """The answer is whole."""

    finish: str
    usage: Usage


@dataclass(frozen=True)
class Attempt:
    """One attempt on one upstream.

    Attributes:
        name: Identity of the attempt.
        upstream: Name of the upstream.
        config: Its configuration.
        reservation: Memory reservation to run in, for a group.
        spans: Spans to import first, for a group.
    """

    name: str
    upstream: str
    config: UpstreamConfig
    reservation: str | None = None
    spans: tuple[SpanRef, ...] = ()


@dataclass
class RequestState:
    """What the request has been through; changes with each attempt."""

    text: AnswerText
    attempts: int = 0
    resumes: int = 0
    maybe_run: bool = False
    tried: frozenset[str] = frozenset()


class ModelPath:
    """Serves model requests with the parts that the node gives it."""

    def __init__(
        self,
        board: Blackboard,
        engines: EngineClient,
        clock: Clock,
        admission: Admission,
        ledger: InFlightLedger,
        releaser: Releaser,
        estimator: TokenEstimator,
    ):
        self.board = board
        self.engines = engines
        self.clock = clock
        self.admission = admission
        self.ledger = ledger
        self.releaser = releaser
        self.estimator = estimator
        self.budget = RetryBudget()
        self.placer = admission.placer
        self.numbers = count(1)

    async def run(
        self, request: ModelRequest, sink: AnswerSink
    ) -> Result[Finished, RequestFailure]:
        """Serve one request.

        Args:
            request: The checked request.
            sink: Takes the answer's text in order, each part once.

        Returns:
            The end of a whole answer, or a truthful failure.
        """
        match await self.admission.admit(request):
            case Failure(failure):
                return Failure(failure)
            case Success(ticket):
                try:
                    return await self._attempt_until_done(request, sink)
                finally:
                    self.admission.release(ticket)
        raise AssertionError("not a result")

    async def _attempt_until_done(
        self, request: ModelRequest, sink: AnswerSink
    ) -> Result[Finished, RequestFailure]:
        state = RequestState(AnswerText())
        while True:
            attempt = self._place(request, state)
            if attempt is None:
                return Failure(_no_upstream(request, state))
            state.attempts += 1
            state.resumes = 0
            match await self._run_attempt(request, attempt, state, sink):
                case Success(finished):
                    self._learn(request, finished)
                    return Success(finished)
                case Failure(GiveUp(failure)):
                    return Failure(failure)
            self.budget.spend(request.service)
            state.tried |= {attempt.upstream}
            state.text.restart()

    def _place(self, request: ModelRequest, state: RequestState) -> Attempt | None:
        candidates = find_candidates(self.board, self.ledger, request.service)
        wanted = PlacementRequest(
            request.estimate.prompt_tokens,
            request.estimate.output_tokens,
            state.tried,
            request.service,
            self.admission.take_reserved(request.request_id),
        )
        policy = self._policy(request.service)
        choice = self.placer.choose(policy, candidates, wanted)
        if choice is None:
            return None
        node = self.board.read(NodeSection).node
        name = f"{node.vm}-{node.incarnation}-{next(self.numbers)}"
        config = self.board.read(ConfigSection).config.upstreams[choice.name]
        return Attempt(name, choice.name, config)

    async def _run_attempt(
        self,
        request: ModelRequest,
        attempt: Attempt,
        state: RequestState,
        sink: AnswerSink,
    ) -> Result[Finished, GiveUp | Rerun]:
        estimate = request.estimate
        item = WorkItem(
            upstream=attempt.upstream,
            prompt_tokens=estimate.prompt_tokens,
            total_tokens=estimate.total(),
            is_long=self._is_long(request),
        )
        self.ledger.start(attempt.name, item)
        finished = False
        not_run = False
        try:
            opened = await self.engines.open_stream(
                attempt.config.url,
                self._call(request, attempt),
                min(ACCEPT_TIMEOUT_S, self._remaining_s(request)),
            )
            sequence = ChunkSequence(attempt.name)
            while True:
                match opened:
                    case Success(stream):
                        outcome = await self._relay(
                            request, stream, sequence, state, sink
                        )
                    case Failure(error):
                        outcome = Failure(error)
                match outcome:
                    case Success(end):
                        finished = True
                        return Success(end)
                    case Failure(error):
                        not_run = surely_not_run(error) and sequence.next_seq == 0
                        step = self._decide(request, state, error)
                if not isinstance(step, Resume):
                    return Failure(step)
                state.resumes += 1
                opened = await self._resume(request, attempt, sequence)
        finally:
            self.ledger.finish(attempt.name)
            if not finished and not not_run:
                self._release(request, attempt)

    async def _resume(
        self, request: ModelRequest, attempt: Attempt, sequence: ChunkSequence
    ) -> Result[EngineStream, UpstreamError]:
        await self.engines.drop_connections(attempt.config.url)
        resumed = await self.engines.resume_stream(
            attempt.config.url,
            attempt.name,
            sequence.next_seq,
            min(ACCEPT_TIMEOUT_S, self._remaining_s(request)),
        )
        # A resume that was not taken says nothing about the attempt itself.
        return resumed.alt(lambda error: Broken(f"not resumed: {error}"))

    async def _relay(
        self,
        request: ModelRequest,
        stream: EngineStream,
        sequence: ChunkSequence,
        state: RequestState,
        sink: AnswerSink,
    ) -> Result[Finished, UpstreamError]:
        try:
            while True:
                wait_s = min(request.stall_timeout_s, self._remaining_s(request))
                match await stream.next_chunks(max(0.0, wait_s)):
                    case Failure(error):
                        return Failure(error)
                    case Success(arrived):
                        state.resumes = 0
                        self.ledger.first_token(sequence.attempt)
                done = await _deliver(arrived, sequence, state.text, sink)
                if done is not None:
                    return done
        finally:
            await stream.close()

    def _decide(
        self, request: ModelRequest, state: RequestState, error: UpstreamError
    ) -> GiveUp | Rerun | Resume:
        retries = self.board.read(ConfigSection).config.retries
        may_retry = state.attempts < retries.max_attempts and self.budget.can_spend(
            request.service
        )
        progress = RequestProgress(
            idempotent=True,
            attempts=state.attempts,
            resumes=state.resumes,
            maybe_run=state.maybe_run,
            may_retry=may_retry,
            remaining_s=self._remaining_s(request),
        )
        step = next_step(progress, error)
        state.maybe_run = state.maybe_run or not surely_not_run(error)
        return step

    def _call(self, request: ModelRequest, attempt: Attempt) -> EngineCall:
        return EngineCall(
            attempt=attempt.name,
            owner=str(self.board.read(NodeSection).node),
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.estimate.output_tokens,
            seed=request.seed,
            priority=engine_priority(
                self._policy(request.service),
                request.estimate.prompt_tokens,
                self.admission.waited_s(request.request_id),
            ),
            expires_s=self._remaining_s(request) + EXPIRY_MARGIN_S,
            sampling=request.sampling,
            reservation=attempt.reservation,
            spans=attempt.spans,
        )

    def _release(self, request: ModelRequest, attempt: Attempt) -> None:
        expiry_s = request.deadline_s + EXPIRY_MARGIN_S
        self.releaser.submit(
            Release(attempt.config.url, "stream", attempt.name, expiry_s)
        )

    def _learn(self, request: ModelRequest, finished: Finished) -> None:
        share = self.board.read(ConfigSection).config.retries.budget_share
        self.budget.earn(request.service, share)
        self.estimator.correct(
            request.model, request.prompt_bytes, finished.usage.prompt_tokens
        )

    def _policy(self, service: str) -> PlacementConfig:
        config = self.board.read(ConfigSection).config.services[service]
        assert isinstance(config, ModelService)
        return config.placement

    def _is_long(self, request: ModelRequest) -> bool:
        match self._policy(request.service):
            case LengthAware(long_from_tokens=limit):
                return request.estimate.prompt_tokens >= limit
            case _:
                return False

    def _remaining_s(self, request: ModelRequest) -> float:
        return request.deadline_s - self.clock.monotonic_s()


async def _deliver(
    arrived: tuple[EngineChunk, ...],
    sequence: ChunkSequence,
    text: AnswerText,
    sink: AnswerSink,
) -> Result[Finished, UpstreamError] | None:
    """Pass on what is in order; returns the end, a failure, or `None` to go on."""
    new: list[str] = []
    end: EngineChunk | None = None
    for chunk in arrived:
        ready = sequence.accept(chunk)
        if isinstance(ready, SequenceBroken):
            return Failure(Broken(ready.reason))
        for part in ready:
            fresh = text.accept(part.text)
            if isinstance(fresh, AnswerDiffers):
                return Failure(Broken(f"the answer differs at {fresh.offset}"))
            new.append(fresh)
            end = part if part.finish is not None else end
    whole = "".join(new)
    if whole:
        await sink.write(whole)
    if end is None:
        return None
    if not text.all_repeated():
        return Failure(Broken("the repeated answer is shorter"))
    assert end.finish is not None
    return Success(Finished(end.finish, end.usage or Usage(0, 0)))


def _no_upstream(request: ModelRequest, state: RequestState) -> RequestFailure:
    if state.maybe_run:
        return deadline_failure(True)
    return RequestFailure(
        ErrorCode.NO_UPSTREAM,
        Outcome.NOT_RUN,
        f"no upstream of {request.service!r} may take new work",
        NO_UPSTREAM_RETRY_AFTER_S,
    )
