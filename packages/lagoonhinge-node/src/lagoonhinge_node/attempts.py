"""One attempt of a model request: open, relay, resume if interrupted, release."""

from asyncio import sleep
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lagoonhinge_core.answer_text import AnswerDiffers, AnswerText
from lagoonhinge_core.chunk_sequence import ChunkSequence
from lagoonhinge_core.config import UpstreamConfig
from lagoonhinge_core.engine_messages import EngineCall, SpanRef
from lagoonhinge_core.in_flight import InFlightLedger, WorkItem
from lagoonhinge_core.outcome import Outcome
from lagoonhinge_core.ports import Clock, EngineClient, EngineStream
from lagoonhinge_core.recovery import (
    AttemptEnded,
    AttemptProgress,
    EndAttempt,
    after_interruption,
)
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.tokens import TokenEstimate
from lagoonhinge_core.upstream_errors import (
    Broken,
    EngineFault,
    Gone,
    NotSent,
    Rejected,
    Silent,
    UpstreamError,
    surely_not_run,
)
from lagoonhinge_node.answer_relay import AnswerSink, Finished, deliver
from lagoonhinge_node.releases import Release, ReleaseQueue

ACCEPT_TIMEOUT_S = 5.0
PROBE_TIMEOUT_S = 2.0
EXPIRY_MARGIN_S = 5.0


@dataclass(frozen=True)
class Attempt:
    """One attempt on one upstream.

    Attributes:
        name: Identity of the attempt.
        upstream: Name of the upstream.
        config: Its configuration.
        reservation: Memory reservation to run in, for a group.
        spans: Spans to import before the prompt, for a group.
        prompt: Text of the last span, for a group; `None` for the whole prompt.
        estimate: Work on this upstream, for a group; `None` for the whole request.
        boot: Boot of the upstream in its last load report; `""` if none.
    """

    name: str
    upstream: str
    config: UpstreamConfig
    reservation: str | None = None
    spans: tuple[SpanRef, ...] = ()
    prompt: str | None = None
    estimate: TokenEstimate | None = None
    boot: str = ""


@dataclass(frozen=True)
class Interrupted:
    """End of a stream without its end mark.

    Attributes:
        error: Why it ended.
        is_confirmed: Whether the engine confirmed over it that it holds the attempt.
        advanced: Whether new chunks arrived over it.
    """

    error: UpstreamError
    is_confirmed: bool = False
    advanced: bool = False


AttemptResult = Result[Finished, AttemptEnded | AnswerDiffers]


class AttemptRunner:
    """Runs attempts, and releases everything that they held."""

    def __init__(
        self,
        engines: EngineClient,
        clock: Clock,
        ledger: InFlightLedger,
        releases: ReleaseQueue,
    ):
        self.engines = engines
        self.clock = clock
        self.ledger = ledger
        self.releases = releases

    async def run(
        self,
        request: ModelRequest,
        attempt: Attempt,
        call: EngineCall,
        item: WorkItem,
        text: AnswerText,
        sink: AnswerSink,
    ) -> AttemptResult:
        """Run one attempt to its end.

        Args:
            request: The request.
            attempt: The attempt.
            call: What to send to the engine.
            item: Its work, to record in the ledger.
            text: Text delivered by earlier attempts.
            sink: Receives the answer's text.

        Returns:
            The end of a complete answer, or how the attempt ended without one.
        """
        self.ledger.start(attempt.name, item)
        result: AttemptResult | None = None
        try:
            result = await self._run(request, attempt, call, text, sink)
            return result
        finally:
            self.ledger.finish(attempt.name)
            if _may_hold_stream(result):
                self._release(request, attempt)

    async def _run(
        self,
        request: ModelRequest,
        attempt: Attempt,
        call: EngineCall,
        text: AnswerText,
        sink: AnswerSink,
    ) -> AttemptResult:
        opened = await self.engines.open_stream(
            attempt.config.url, call, self._capped_timeout_s(request, ACCEPT_TIMEOUT_S)
        )
        match opened:
            case Failure(Gone(reason)):
                # The path is unknown, so the attempt was not accepted.
                return Failure(AttemptEnded(Rejected(404, reason), Outcome.NOT_RUN))
            case Failure(error) if surely_not_run(error):
                return Failure(AttemptEnded(error, Outcome.NOT_RUN))
        sequence = ChunkSequence(attempt.name)
        progress = AttemptProgress()
        was_broken = False
        outcome = Outcome.UNKNOWN
        while True:
            match opened:
                case Success(stream):
                    outcome = Outcome.FAILED
                    relayed = await self._relay(request, stream, sequence, text, sink)
                case Failure(error):
                    relayed = Failure(Interrupted(error))
            match relayed:
                case Success(finished):
                    return Success(finished)
                case Failure(Interrupted(error, is_confirmed, advanced)):
                    was_broken = was_broken or isinstance(error, Broken)
                    if advanced:
                        progress = progress.delivered()
                    progress = progress.interrupted(error, is_confirmed)
                    step = after_interruption(progress, error)
                case Failure(differs):
                    return Failure(differs)
            if isinstance(step, EndAttempt) or self._remaining_s(request) <= 0:
                crashed = was_broken and await self._has_crashed(attempt, error)
                if isinstance(error, EngineFault):
                    outcome = Outcome.FAILED
                return Failure(AttemptEnded(error, outcome, crashed))
            await sleep(step.delay_s)
            opened = await self._probe(request, attempt, sequence, error)

    async def _relay(
        self,
        request: ModelRequest,
        stream: EngineStream,
        sequence: ChunkSequence,
        text: AnswerText,
        sink: AnswerSink,
    ) -> Result[Finished, Interrupted | AnswerDiffers]:
        first_seq = sequence.next_seq
        now_s = self.clock.monotonic_s()
        stalled_at_s = now_s + request.stall_timeout_s
        try:
            while True:
                wait_s = max(0.0, min(stalled_at_s, request.deadline_s) - now_s)
                received = await stream.next_chunks(wait_s)
                now_s = self.clock.monotonic_s()
                if now_s >= request.deadline_s:
                    # After a pause of this process, nothing is sent past the deadline.
                    return Failure(Interrupted(Silent(wait_s)))
                last_seq = sequence.next_seq
                match received:
                    case Failure(error):
                        return _interrupted(error, sequence, first_seq)
                    case Success(arrived):
                        delivery = await deliver(arrived, sequence, text, sink)
                match delivery:
                    case Success(finished):
                        return Success(finished)
                    case Failure(Broken() as broken):
                        return _interrupted(broken, sequence, first_seq)
                    case Failure(differs):
                        return Failure(differs)
                if sequence.next_seq > last_seq:
                    self.ledger.first_token(sequence.attempt)
                    stalled_at_s = now_s + request.stall_timeout_s
                elif now_s >= stalled_at_s:
                    # Chunks that do not continue the answer are no progress.
                    return _interrupted(Silent(wait_s), sequence, first_seq)
        finally:
            await stream.close()

    async def _probe(
        self,
        request: ModelRequest,
        attempt: Attempt,
        sequence: ChunkSequence,
        error: UpstreamError,
    ) -> Result[EngineStream, UpstreamError]:
        if isinstance(error, Silent):
            # Other pooled connections may be dead as well.
            await self.engines.drop_connections(attempt.config.url)
        return await self.engines.resume_stream(
            attempt.config.url,
            attempt.name,
            sequence.next_seq,
            self._capped_timeout_s(request, PROBE_TIMEOUT_S),
        )

    async def _has_crashed(self, attempt: Attempt, error: UpstreamError) -> bool:
        """Return whether the upstream's process that held the attempt has ended."""
        if isinstance(error, NotSent):
            return True
        if not isinstance(error, Gone) or not attempt.boot:
            return False
        match await self.engines.holdings(attempt.config.url, PROBE_TIMEOUT_S):
            case Success(holdings):
                return bool(holdings.boot != attempt.boot)
            case _:
                return False

    def _release(self, request: ModelRequest, attempt: Attempt) -> None:
        # If this process was paused, the engine may have received the attempt late.
        last_s = max(request.deadline_s, self.clock.monotonic_s())
        expiry_s = last_s + EXPIRY_MARGIN_S
        self.releases.submit(
            Release(attempt.config.url, "stream", attempt.name, expiry_s)
        )

    def _capped_timeout_s(self, request: ModelRequest, timeout_s: float) -> float:
        return max(0.0, min(timeout_s, self._remaining_s(request)))

    def _remaining_s(self, request: ModelRequest) -> float:
        return request.deadline_s - self.clock.monotonic_s()


def _interrupted(
    error: UpstreamError, sequence: ChunkSequence, first_seq: int
) -> Result[Finished, Interrupted | AnswerDiffers]:
    return Failure(Interrupted(error, True, sequence.next_seq > first_seq))


def _may_hold_stream(result: AttemptResult | None) -> bool:
    match result:
        case Success(_):
            return False
        case Failure(AttemptEnded(outcome=outcome)):
            return outcome != Outcome.NOT_RUN
        case _:
            return True
