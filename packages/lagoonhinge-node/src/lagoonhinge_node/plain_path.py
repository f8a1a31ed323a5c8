"""The way of a call to a plain service."""

from returns.result import Failure, Result, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.plain_messages import PlainAnswer
from lagoonhinge_core.ports import Clock, PlainClient
from lagoonhinge_core.request import PlainRequest
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_core.upstream_errors import surely_not_run
from lagoonhinge_node.candidates import find_candidates

RETRY_AFTER_S = 1.0


class PlainPath:
    """Serves calls to plain services."""

    def __init__(
        self,
        board: Blackboard,
        services: PlainClient,
        clock: Clock,
        ledger: InFlightLedger,
    ):
        self.board = board
        self.services = services
        self.clock = clock
        self.ledger = ledger
        self.turn = 0

    async def run(self, request: PlainRequest) -> Result[PlainAnswer, RequestFailure]:
        """Send one call and return its answer or a truthful failure."""
        candidates = find_candidates(self.board, self.ledger, request.service)
        if not candidates:
            return Failure(
                RequestFailure(
                    ErrorCode.NO_UPSTREAM,
                    Outcome.NOT_RUN,
                    f"no upstream of {request.service!r} may take new work",
                    RETRY_AFTER_S,
                )
            )
        self.turn += 1
        choice = candidates[self.turn % len(candidates)]
        url = self.board.read(ConfigSection).config.upstreams[choice.name].url
        remaining_s = request.deadline_s - self.clock.monotonic_s()
        match await self.services.send(url, request.call, remaining_s):
            case Success(answer):
                return Success(answer)
            case Failure(error):
                not_run = surely_not_run(error)
                return Failure(
                    RequestFailure(
                        ErrorCode.UPSTREAM_FAILED,
                        Outcome.NOT_RUN if not_run else Outcome.UNKNOWN,
                        f"the upstream failed: {error}",
                        RETRY_AFTER_S if not_run or request.idempotent else None,
                    )
                )
        raise AssertionError("not a result")
