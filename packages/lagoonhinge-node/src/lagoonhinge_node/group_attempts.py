"""One attempt of a request that takes a group: reserve, fill the spans, answer."""

from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from lagoonhinge_core.answer_text import AnswerDiffers
from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.outcome import Outcome
from lagoonhinge_core.ports import Clock
from lagoonhinge_core.recovery import AttemptEnded, combined_outcome, deadline_failure
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import UpstreamsSection
from lagoonhinge_node.answer_relay import Finished
from lagoonhinge_node.attempts import Attempt
from lagoonhinge_node.group_holds import GroupHolds
from lagoonhinge_node.group_path import FILLED_OUTCOME, GroupPath
from lagoonhinge_node.request_state import RequestState

RunAttempt = Callable[
    [Attempt], Awaitable[Result[Finished, AttemptEnded | AnswerDiffers]]
]


class GroupAttempts:
    """Runs attempts by groups; everything that a group took is given back."""

    def __init__(self, board: Blackboard, clock: Clock, groups: GroupPath):
        self.board = board
        self.clock = clock
        self.groups = groups

    async def run(
        self,
        request: ModelRequest,
        state: RequestState,
        next_name: Callable[[], str],
        run_attempt: RunAttempt,
    ) -> Result[Finished, RequestFailure | AttemptEnded | AnswerDiffers]:
        """Form a group and run one attempt on it.

        Args:
            request: The request.
            state: What it has been through; changed by the attempt.
            next_name: Gives a new attempt's identity.
            run_attempt: Runs the attempt on the member that answers.

        Returns:
            The end of a whole answer, how the attempt ended without one, or a
            refusal if no group could be formed.
        """
        match await self.groups.reserve(request, next_name, state.tried):
            case Failure(failure):
                return Failure(state.failure or failure)
            case Success(holds):
                pass
        try:
            if request.deadline_s <= self.clock.monotonic_s():
                # The process may have been paused; nothing begins past the bound.
                return Failure(deadline_failure(state.outcome))
            state.attempts += 1
            earlier = state.outcome
            # If the time bound ends this attempt, what it did is not known.
            state.outcome = Outcome.UNKNOWN
            failed = await self.groups.fill(holds)
            if failed is not None:
                state.outcome = combined_outcome(earlier, failed.ended.outcome)
                state.tried |= {failed.upstream}
                return Failure(failed.ended)
            state.outcome = combined_outcome(earlier, FILLED_OUTCOME)
            attempt = self._answering_attempt(holds)
            holds.hand_over()
            return await run_attempt(attempt)
        finally:
            holds.release()

    def _answering_attempt(self, holds: GroupHolds) -> Attempt:
        last = holds.answering()
        report = self.board.read(UpstreamsSection).reports.get(last.span.member)
        return Attempt(
            name=holds.attempt,
            upstream=last.span.member,
            config=last.config,
            reservation=last.name,
            spans=tuple(hold.as_export() for hold in holds.exporting()),
            prompt=last.text,
            estimate=last.span.estimate,
            boot=report.load.boot if report is not None and report.load else "",
        )
