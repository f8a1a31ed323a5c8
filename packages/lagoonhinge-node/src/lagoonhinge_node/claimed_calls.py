"""Calls that run at most once: claim, dispatch once, store the outcome."""

from asyncio import Task, create_task, shield, wait
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from typing import Any, TypeAlias, TypeVar
from uuid import uuid4

from mode import Service
from returns.result import Failure, Result, Success

from lagoonhinge_core.claims import (
    Claim,
    ClaimAnswered,
    ClaimHeld,
    ClaimKey,
    ClaimRefused,
    ClaimState,
    StoredAnswer,
)
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.outcome import Outcome
from lagoonhinge_core.plain_messages import Header, PlainAnswer
from lagoonhinge_core.ports import Clock
from lagoonhinge_core.recovery import deadline_failure
from lagoonhinge_node.claim_store import ClaimStore
from lagoonhinge_node.logs import PartLogger
from lagoonhinge_node.metrics import Metrics

CLAIM_TIMEOUT_S = 2.5
MAX_OUTCOME_STORE_WAIT_S = 0.5
SETTLE_TIMEOUT_S = 60.0
REPLAYED_HEADER = Header("Idempotent-Replayed", "true")

Answer: TypeAlias = Result[PlainAnswer, RequestFailure]
Dispatch: TypeAlias = Callable[[], Awaitable[Answer]]
ValueT = TypeVar("ValueT")


class ClaimedCalls(Service):
    """Runs calls under claims, each in a task of its own.

    If the caller disconnects, its handler ends but the call does not, so the outcome
    is stored for the caller's next request.
    """

    def __init__(self, store: ClaimStore, clock: Clock, metrics: Metrics):
        super().__init__()
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.tasks: set[Task[Any]] = set()
        self.log_part = PartLogger("claims")

    async def on_stop(self) -> None:
        """Wait until the running calls, all bounded in time, are settled."""
        while self.tasks:
            await wait(self.tasks)

    async def run(
        self, key: ClaimKey, call_digest: str, deadline_s: float, dispatch: Dispatch
    ) -> Answer:
        """Run a call at most once over all requests with its key.

        Args:
            key: What to claim.
            call_digest: Digest of the call, to refuse another call with the same key.
            deadline_s: Deadline on the monotonic clock, in seconds.
            dispatch: Sends the call; its failure has the outcome `not-run` only if
                the call surely was not run.

        Returns:
            The answer, new or stored, or a failure.
        """
        return await shield(
            self._start(self._claim_and_run(key, call_digest, deadline_s, dispatch))
        )

    async def _claim_and_run(
        self, key: ClaimKey, call_digest: str, deadline_s: float, dispatch: Dispatch
    ) -> Answer:
        remaining_s = deadline_s - self.clock.monotonic_s()
        deadline_wall_s = self.clock.wall_s() + remaining_s
        token = uuid4().hex
        claim = Claim(ClaimState.RUNNING, token, call_digest, deadline_wall_s)
        timeout_s = max(0.0, min(CLAIM_TIMEOUT_S, remaining_s))
        claim_result = await self.store.claim(key, claim, timeout_s)
        self.metrics.claims.labels(_metric_label(claim_result.decision)).inc()
        match claim_result.decision:
            case ClaimHeld(version):
                return await self._dispatch(key, claim, version, deadline_s, dispatch)
            case ClaimAnswered(stored):
                loaded = await self.store.load_answer(stored)
                return loaded.map(_as_replayed)
            case ClaimRefused(failure):
                if claim_result.fence_version is not None:
                    # A write applied later must not make the call look running.
                    fence = claim.not_run(failure.message)
                    self._settle(key, fence, claim_result.fence_version)
                return Failure(failure)
        raise AssertionError("not a claim result")

    async def _dispatch(
        self,
        key: ClaimKey,
        claim: Claim,
        version: int,
        deadline_s: float,
        dispatch: Dispatch,
    ) -> Answer:
        # The process may have been paused since the claim was written.
        is_past_deadline = self.clock.monotonic_s() >= deadline_s
        result = (
            Failure(deadline_failure(Outcome.NOT_RUN))
            if is_past_deadline
            else await dispatch()
        )
        settle_task = self._settle(key, _settled_claim(claim, result), version)
        remaining_s = max(0.0, deadline_s - self.clock.monotonic_s())
        await wait((settle_task,), timeout=min(MAX_OUTCOME_STORE_WAIT_S, remaining_s))
        return result

    def _settle(self, key: ClaimKey, settled: Claim, version: int) -> Task[None]:
        return self._start(self._settle_until_stored(key, settled, version))

    async def _settle_until_stored(
        self, key: ClaimKey, settled: Claim, version: int
    ) -> None:
        deadline_s = self.clock.monotonic_s() + SETTLE_TIMEOUT_S
        if not await self.store.settle(key, settled, version, deadline_s):
            self.metrics.claims.labels("unsettled").inc()
            self.log_part.error(
                f"Outcome {settled.state} of {key.row_key()} was not stored in time;"
                " it is not retried."
            )

    def _start(self, work: Coroutine[Any, Any, ValueT]) -> Task[ValueT]:
        task = create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


def _metric_label(decision: ClaimHeld | ClaimAnswered | ClaimRefused) -> str:
    match decision:
        case ClaimHeld():
            return "held"
        case ClaimAnswered():
            return "replayed"
        case ClaimRefused(failure):
            return failure.code


def _settled_claim(claim: Claim, result: Answer) -> Claim:
    match result:
        case Success(answer):
            return claim.answered(
                StoredAnswer(answer.status, answer.headers, answer.body)
            )
        case Failure(RequestFailure(outcome=Outcome.NOT_RUN, message=message)):
            return claim.not_run(message)
        case Failure(failure):
            return claim.unknown(failure.message)
    raise AssertionError("not a result")


def _as_replayed(stored: StoredAnswer) -> PlainAnswer:
    answer = PlainAnswer(stored.status, stored.headers, stored.body)
    return replace(answer, headers=(*answer.headers, REPLAYED_HEADER))
