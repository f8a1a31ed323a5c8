"""Admission of requests: bounds on what one node serves at once."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import ConfigSection

RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class Ticket:
    """The right of one request to be served; given back exactly once."""

    request_id: str


class Admission:
    """Admits requests while the node has room."""

    def __init__(self, board: Blackboard):
        self.board = board
        self.admitted: set[str] = set()

    async def admit(self, request: ModelRequest) -> Result[Ticket, RequestFailure]:
        """Admit a request, or refuse it at once with when to come back."""
        limits = self.board.read(ConfigSection).config.limits
        if len(self.admitted) >= limits.max_in_flight_requests:
            return Failure(
                RequestFailure(
                    ErrorCode.OVERLOADED,
                    Outcome.NOT_RUN,
                    f"{len(self.admitted)} requests are in flight on this node",
                    RETRY_AFTER_S,
                )
            )
        self.admitted.add(request.request_id)
        return Success(Ticket(request.request_id))

    def release(self, ticket: Ticket) -> None:
        """Give a ticket back."""
        self.admitted.remove(ticket.request_id)
