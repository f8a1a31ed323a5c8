"""One attempt of a request by a group of engines: reserve, prefill spans, answer."""

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
from lagoonhinge_node.group_path import PREFILLED_OUTCOME, GroupPath
from lagoonhinge_node.group_reservation import GroupReservation
from lagoonhinge_node.request_state import RequestState

RunAttempt = Callable[
    [Attempt], Awaitable[Result[Finished, AttemptEnded | AnswerDiffers]]
]


class GroupAttempts:
    """Runs attempts by groups, and releases everything that a group held."""

    def __init__(self, board: Blackboard, clock: Clock, groups: GroupPath):
        self.board = board
        self.clock = clock
        self.groups = groups

    async def run(
        self,
        request: ModelRequest,
        state: RequestState,
        new_attempt_name: Callable[[], str],
        run_attempt: RunAttempt,
    ) -> Result[Finished, RequestFailure | AttemptEnded | AnswerDiffers]:
        """Form a group and run one attempt on it.

        Args:
            request: The request.
            state: Progress of the request; changed by the attempt.
            new_attempt_name: Returns the name of a new attempt.
            run_attempt: Runs the attempt on the member that answers.

        Returns:
            The end of a complete answer, how the attempt ended without one, or a
            refusal if no group could be formed.
        """
        match await self.groups.reserve(request, new_attempt_name, state.tried):
            case Failure(failure):
                return Failure(state.failure or failure)
            case Success(reservation):
                pass
        try:
            if request.deadline_s <= self.clock.monotonic_s():
                # The process may have been paused; nothing starts past the deadline.
                return Failure(deadline_failure(state.outcome))
            state.attempts += 1
            previous_outcome = state.outcome
            # Kept if the deadline ends this attempt, whose effect is then unknown.
            state.outcome = Outcome.UNKNOWN
            group_failure = await self.groups.prefill(reservation)
            if group_failure is not None:
                state.outcome = combined_outcome(
                    previous_outcome, group_failure.end.outcome
                )
                state.tried |= {group_failure.upstream}
                return Failure(group_failure.end)
            state.outcome = combined_outcome(previous_outcome, PREFILLED_OUTCOME)
            attempt = self._answering_attempt(reservation)
            reservation.transfer_answering_member()
            return await run_attempt(attempt)
        finally:
            reservation.release()

    def _answering_attempt(self, reservation: GroupReservation) -> Attempt:
        answering = reservation.answering_member()
        report = self.board.read(UpstreamsSection).reports.get(answering.span.member)
        return Attempt(
            name=reservation.attempt,
            upstream=answering.span.member,
            config=answering.config,
            reservation=answering.name,
            spans=tuple(
                member.as_export() for member in reservation.exporting_members()
            ),
            prompt=answering.text,
            estimate=answering.span.estimate,
            boot=report.load.boot if report is not None and report.load else "",
        )
