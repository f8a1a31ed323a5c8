"""Prompts larger than one engine's memory, run by a group of engines."""

from asyncio import FIRST_COMPLETED, create_task, sleep, wait
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from returns.result import Failure, Result, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.engine_messages import ReservationRequest, SpanRequest
from lagoonhinge_core.groups import GroupMember, GroupPlan, plan_group, split_prompt
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.ports import Clock, EngineClient
from lagoonhinge_core.recovery import AttemptEnded
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import ConfigSection, NodeSection, UpstreamsSection
from lagoonhinge_core.upstream_errors import (
    Broken,
    NotSent,
    Silent,
    UpstreamError,
    surely_not_run,
)
from lagoonhinge_node.candidates import find_candidates
from lagoonhinge_node.group_reservation import GroupReservation, MemberReservation
from lagoonhinge_node.releases import ReleaseQueue

RESERVE_TIMEOUT_S = 3.0
SPAN_TIMEOUT_S = 15.0
HOLDINGS_TIMEOUT_S = 3.0
MAX_RESERVE_WAIT_SHARE = 0.25  # of the time until the deadline
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.6
EXPIRY_MARGIN_S = 5.0
RETRY_AFTER_S = 2.0
SPAN_PRIORITY = 10
# Other spans may have been prefilled, but nothing was answered.
PREFILLED_OUTCOME = Outcome.FAILED


@dataclass(frozen=True)
class GroupFailure:
    """Failure of a group after its memory was reserved.

    Attributes:
        upstream: The member that failed.
        end: How its work ended.
    """

    upstream: str
    end: AttemptEnded


class GroupPath:
    """Forms groups: plans, reserves all members or none, and prefills their spans."""

    def __init__(
        self,
        board: Blackboard,
        engines: EngineClient,
        clock: Clock,
        random: Random,
        ledger: InFlightLedger,
        releases: ReleaseQueue,
    ):
        self.board = board
        self.engines = engines
        self.clock = clock
        self.random = random
        self.ledger = ledger
        self.releases = releases

    def needs_group(self, request: ModelRequest) -> bool:
        """Return whether the request exceeds the memory of each available engine."""
        candidates = find_candidates(self.board, self.ledger, request.service)
        largest = max((candidate.kv_tokens for candidate in candidates), default=0)
        return 0 < largest < request.estimate.total()

    async def reserve(
        self,
        request: ModelRequest,
        new_attempt_name: Callable[[], str],
        tried: frozenset[str],
    ) -> Result[GroupReservation, RequestFailure]:
        """Reserve memory on all members of a group, or on none.

        Args:
            request: The request.
            new_attempt_name: Returns the name of a new attempt; each try has its own,
                so that a late release of one cannot free the memory of the next.
            tried: Members to avoid if the others have enough free memory.

        Returns:
            The reservation, to be released by the code that gets it, or a refusal if
            the zone is too small or had too little free memory for the longest wait.
        """
        needed_tokens = request.estimate.total()
        zone_kv_tokens = self._zone_kv_tokens(request)
        if needed_tokens > zone_kv_tokens:
            return Failure(_too_long(needed_tokens, zone_kv_tokens))
        now_s = self.clock.monotonic_s()
        max_wait_s = MAX_RESERVE_WAIT_SHARE * (request.deadline_s - now_s)
        refused: frozenset[str] = frozenset()
        while True:
            plan = self._plan(request, tried | refused)
            if plan is not None:
                reservation = self._new_reservation(request, new_attempt_name())
                failed = await self._reserve_all(plan, reservation)
                if failed is None:
                    # Not earlier, since splitting several MB takes time.
                    reservation.set_texts(split_prompt(request.prompt, plan))
                    return Success(reservation)
                # Try other members first; when none are left, start over.
                refused = (
                    frozenset((failed,)) if failed in refused else refused | {failed}
                )
            backoff_s = self.random.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
            if self.clock.monotonic_s() + backoff_s > now_s + max_wait_s:
                return Failure(_no_capacity(needed_tokens))
            await sleep(backoff_s)

    async def prefill(self, reservation: GroupReservation) -> GroupFailure | None:
        """Prefill all spans but the last; return the first failure, if any."""
        running = {
            create_task(self._prefill_span(member, reservation))
            for member in reservation.exporting_members()
        }
        try:
            while running:
                done, running = await wait(running, return_when=FIRST_COMPLETED)
                for task in done:
                    if (failure := task.result()) is not None:
                        return failure
            return None
        finally:
            for task in running:
                task.cancel()

    def _plan(self, request: ModelRequest, tried: frozenset[str]) -> GroupPlan | None:
        members = [
            GroupMember(candidate.name, candidate.free_kv_tokens)
            for candidate in find_candidates(self.board, self.ledger, request.service)
        ]
        untried = [member for member in members if member.name not in tried]
        for eligible in (untried, members):
            plan = plan_group(eligible, request.estimate)
            if isinstance(plan, GroupPlan):
                return plan
        return None

    async def _reserve_all(
        self, plan: GroupPlan, reservation: GroupReservation
    ) -> str | None:
        """Return the member that made no reservation, or `None` if all did."""
        upstreams = self.board.read(ConfigSection).config.upstreams
        is_complete = False
        try:
            for span in plan.reservation_order():
                position = plan.spans.index(span)
                is_answering = position == len(plan.spans) - 1
                member = reservation.add(
                    position, span, upstreams[span.member], is_answering
                )
                match await self._reserve(member, reservation):
                    case Failure(error):
                        if surely_not_run(error):
                            reservation.discard(position)
                        return span.member
            is_complete = True
            return None
        finally:
            # Also when the caller disconnects or the deadline passes meanwhile.
            if not is_complete:
                reservation.release()

    async def _reserve(
        self, member: MemberReservation, reservation: GroupReservation
    ) -> Result[None, UpstreamError]:
        requested = ReservationRequest(
            name=member.name,
            owner=self._owner(),
            tokens=member.span.reserve_tokens,
            expires_s=self._expires_s(reservation),
        )
        answer = await self.engines.reserve(
            member.config.url, requested, RESERVE_TIMEOUT_S
        )
        match answer:
            case Failure(Silent()):
                await self.engines.drop_connections(member.config.url)
        return answer

    async def _prefill_span(
        self, member: MemberReservation, reservation: GroupReservation
    ) -> GroupFailure | None:
        requested = SpanRequest(
            export=member.name,
            owner=self._owner(),
            reservation=member.name,
            prompt=member.text,
            priority=SPAN_PRIORITY,
            expires_s=self._expires_s(reservation),
        )
        while True:
            answer = await self.engines.prefill_span(
                member.config.url, requested, SPAN_TIMEOUT_S
            )
            match answer:
                case Success(_):
                    self.ledger.first_token(member.name)
                    return None
                case Failure(Silent() as error):
                    # The span is long or the connection is dead: query over a new
                    # connection, and wait again if the span is still running.
                    await self.engines.drop_connections(member.config.url)
                    if not await self._is_reserved(member):
                        return GroupFailure(
                            member.span.member, AttemptEnded(error, PREFILLED_OUTCOME)
                        )
                case Failure(error):
                    crashed = await self._has_crashed(member, error)
                    ended = AttemptEnded(error, PREFILLED_OUTCOME, crashed)
                    return GroupFailure(member.span.member, ended)

    async def _is_reserved(self, member: MemberReservation) -> bool:
        match await self.engines.holdings(member.config.url, HOLDINGS_TIMEOUT_S):
            case Success(holdings):
                return any(holding.name == member.name for holding in holdings.holdings)
            case _:
                return False

    async def _has_crashed(
        self, member: MemberReservation, error: UpstreamError
    ) -> bool:
        if isinstance(error, NotSent):
            return True
        report = self.board.read(UpstreamsSection).reports.get(member.span.member)
        if not isinstance(error, Broken) or report is None or report.load is None:
            return False
        match await self.engines.holdings(member.config.url, HOLDINGS_TIMEOUT_S):
            case Success(holdings):
                return bool(holdings.boot != report.load.boot)
            case Failure(NotSent()):
                return True
            case _:
                return False

    def _new_reservation(self, request: ModelRequest, attempt: str) -> GroupReservation:
        expiry_s = request.deadline_s + EXPIRY_MARGIN_S
        return GroupReservation(attempt, self.ledger, self.releases, expiry_s)

    def _zone_kv_tokens(self, request: ModelRequest) -> int:
        upstreams = self.board.read(ConfigSection).config.upstreams.values()
        zone = self.board.read(NodeSection).zone
        return sum(
            upstream.kv_tokens
            for upstream in upstreams
            if upstream.service == request.service and upstream.zone == zone
        )

    def _owner(self) -> str:
        return str(self.board.read(NodeSection).node)

    def _expires_s(self, reservation: GroupReservation) -> float:
        return reservation.expiry_s - self.clock.monotonic_s()


def _too_long(needed_tokens: int, zone_kv_tokens: int) -> RequestFailure:
    return RequestFailure(
        ErrorCode.PROMPT_TOO_LONG,
        Outcome.NOT_RUN,
        f"prompt and answer need about {needed_tokens} tokens; all engines of the zone"
        f" together hold {zone_kv_tokens}",
    )


def _no_capacity(needed_tokens: int) -> RequestFailure:
    return RequestFailure(
        ErrorCode.OVERLOADED,
        Outcome.NOT_RUN,
        f"no group of engines had {needed_tokens} tokens free",
        RETRY_AFTER_S,
    )
