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
from lagoonhinge_node.group_holds import GroupHolds, MemberHold
from lagoonhinge_node.releases import Releaser

RESERVE_TIMEOUT_S = 3.0
SPAN_WAIT_S = 15.0
HOLDINGS_TIMEOUT_S = 3.0
PATIENCE_SHARE = 0.25
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 0.6
EXPIRY_MARGIN_S = 5.0
RETRY_AFTER_S = 2.0
SPAN_PRIORITY = 10
# Other spans may have been processed, but nothing was answered.
FILLED_OUTCOME = Outcome.FAILED


@dataclass(frozen=True)
class GroupEnded:
    """A group that failed after its memory was reserved.

    Attributes:
        upstream: The member that failed.
        ended: How.
    """

    upstream: str
    ended: AttemptEnded


class GroupPath:
    """Forms groups: plans, reserves all members or none, and fills their spans."""

    def __init__(
        self,
        board: Blackboard,
        engines: EngineClient,
        clock: Clock,
        random: Random,
        ledger: InFlightLedger,
        releaser: Releaser,
    ):
        self.board = board
        self.engines = engines
        self.clock = clock
        self.random = random
        self.ledger = ledger
        self.releaser = releaser

    def needs_group(self, request: ModelRequest) -> bool:
        """Return whether no single engine that takes new work can hold the request."""
        candidates = find_candidates(self.board, self.ledger, request.service)
        largest = max((candidate.kv_tokens for candidate in candidates), default=0)
        return 0 < largest < request.estimate.total()

    async def reserve(
        self,
        request: ModelRequest,
        next_name: Callable[[], str],
        tried: frozenset[str],
    ) -> Result[GroupHolds, RequestFailure]:
        """Reserve memory on all members of a group, or on none.

        Args:
            request: The request.
            next_name: Gives a new attempt's identity; each try has its own, so that
                a late release of one try cannot free what the next one took.
            tried: Members to do without, if the others have room.

        Returns:
            The holds, to be released by whoever gets them, or a refusal once the
            zone is too small or had no room for the bounded wait.
        """
        needed = request.estimate.total()
        zone_tokens = self._zone_tokens(request)
        if needed > zone_tokens:
            return Failure(_too_long(needed, zone_tokens))
        now_s = self.clock.monotonic_s()
        patience_s = PATIENCE_SHARE * (request.deadline_s - now_s)
        busy: frozenset[str] = frozenset()
        while True:
            plan = self._plan(request, tried | busy)
            if plan is not None:
                holds = self._new_holds(request, next_name())
                failed = await self._reserve_all(plan, holds)
                if failed is None:
                    # Only now, since cutting up several MB takes its time.
                    holds.set_texts(split_prompt(request.prompt, plan))
                    return Success(holds)
                # Look elsewhere first; when no others are left, begin anew.
                busy = frozenset((failed,)) if failed in busy else busy | {failed}
            pause_s = self.random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
            if self.clock.monotonic_s() + pause_s > now_s + patience_s:
                return Failure(_no_room(needed))
            await sleep(pause_s)

    async def fill(self, holds: GroupHolds) -> GroupEnded | None:
        """Process all spans but the last one; returns what failed, if anything."""
        running = {
            create_task(self._fill_span(hold, holds)) for hold in holds.exporting()
        }
        try:
            while running:
                done, running = await wait(running, return_when=FIRST_COMPLETED)
                for task in done:
                    if (ended := task.result()) is not None:
                        return ended
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
        for allowed in (untried, members):
            plan = plan_group(allowed, request.estimate)
            if isinstance(plan, GroupPlan):
                return plan
        return None

    async def _reserve_all(self, plan: GroupPlan, holds: GroupHolds) -> str | None:
        """Return the member that gave no memory, or `None` if all did."""
        upstreams = self.board.read(ConfigSection).config.upstreams
        is_whole = False
        try:
            for span in plan.reservation_order():
                position = plan.spans.index(span)
                answers = position == len(plan.spans) - 1
                hold = holds.add(position, span, upstreams[span.member], answers)
                match await self._reserve(hold, holds):
                    case Failure(error):
                        if surely_not_run(error):
                            holds.forget(position)
                        return span.member
            is_whole = True
            return None
        finally:
            # Also when the caller goes away or the time bound passes meanwhile.
            if not is_whole:
                holds.release()

    async def _reserve(
        self, hold: MemberHold, holds: GroupHolds
    ) -> Result[None, UpstreamError]:
        wanted = ReservationRequest(
            name=hold.name,
            owner=self._owner(),
            tokens=hold.span.reserve_tokens,
            expires_s=self._expires_s(holds),
        )
        answer = await self.engines.reserve(hold.config.url, wanted, RESERVE_TIMEOUT_S)
        match answer:
            case Failure(Silent()):
                await self.engines.drop_connections(hold.config.url)
        return answer

    async def _fill_span(
        self, hold: MemberHold, holds: GroupHolds
    ) -> GroupEnded | None:
        wanted = SpanRequest(
            export=hold.name,
            owner=self._owner(),
            reservation=hold.name,
            prompt=hold.text,
            priority=SPAN_PRIORITY,
            expires_s=self._expires_s(holds),
        )
        while True:
            answer = await self.engines.prefill_span(
                hold.config.url, wanted, SPAN_WAIT_S
            )
            match answer:
                case Success(_):
                    self.ledger.first_token(hold.name)
                    return None
                case Failure(Silent() as error):
                    # Either the span is long or the connection dead: look over a
                    # new one, and join the same span again if it is still there.
                    await self.engines.drop_connections(hold.config.url)
                    if not await self._still_holds(hold):
                        return GroupEnded(
                            hold.span.member, AttemptEnded(error, FILLED_OUTCOME)
                        )
                case Failure(error):
                    died = await self._has_died(hold, error)
                    ended = AttemptEnded(error, FILLED_OUTCOME, died)
                    return GroupEnded(hold.span.member, ended)

    async def _still_holds(self, hold: MemberHold) -> bool:
        match await self.engines.holdings(hold.config.url, HOLDINGS_TIMEOUT_S):
            case Success(listed):
                return any(held.name == hold.name for held in listed.holdings)
            case _:
                return False

    async def _has_died(self, hold: MemberHold, error: UpstreamError) -> bool:
        if isinstance(error, NotSent):
            return True
        report = self.board.read(UpstreamsSection).reports.get(hold.span.member)
        if not isinstance(error, Broken) or report is None or report.load is None:
            return False
        match await self.engines.holdings(hold.config.url, HOLDINGS_TIMEOUT_S):
            case Success(listed):
                return bool(listed.boot != report.load.boot)
            case Failure(NotSent()):
                return True
            case _:
                return False

    def _new_holds(self, request: ModelRequest, attempt: str) -> GroupHolds:
        expiry_s = request.deadline_s + EXPIRY_MARGIN_S
        return GroupHolds(attempt, self.ledger, self.releaser, expiry_s)

    def _zone_tokens(self, request: ModelRequest) -> int:
        upstreams = self.board.read(ConfigSection).config.upstreams.values()
        zone = self.board.read(NodeSection).zone
        return sum(
            upstream.kv_tokens
            for upstream in upstreams
            if upstream.service == request.service and upstream.zone == zone
        )

    def _owner(self) -> str:
        return str(self.board.read(NodeSection).node)

    def _expires_s(self, holds: GroupHolds) -> float:
        return holds.expiry_s - self.clock.monotonic_s()


def _too_long(needed: int, zone_tokens: int) -> RequestFailure:
    return RequestFailure(
        ErrorCode.PROMPT_TOO_LONG,
        Outcome.NOT_RUN,
        f"prompt and answer need about {needed} tokens; all engines of the zone"
        f" together hold {zone_tokens}",
    )


def _no_room(needed: int) -> RequestFailure:
    return RequestFailure(
        ErrorCode.OVERLOADED,
        Outcome.NOT_RUN,
        f"no group of engines had {needed} tokens free",
        RETRY_AFTER_S,
    )
