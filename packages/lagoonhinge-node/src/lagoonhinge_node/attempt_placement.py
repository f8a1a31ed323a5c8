"""Placement of attempts, away from crashed upstreams and from suspect prompts."""

from asyncio import sleep
from itertools import count

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.in_flight import InFlightLedger
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.placement import Candidate, PlacementRequest
from lagoonhinge_core.poison import Clear, Quarantined, Suspect
from lagoonhinge_core.ports import Clock
from lagoonhinge_core.recovery import deadline_failure, quarantined_failure
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import ConfigSection, NodeSection, UpstreamsSection
from lagoonhinge_node.admission import Admission
from lagoonhinge_node.attempts import Attempt
from lagoonhinge_node.candidates import find_candidates
from lagoonhinge_node.poison_controller import PoisonController
from lagoonhinge_node.request_state import RequestState

NO_UPSTREAM_RETRY_AFTER_S = 2.0
MAX_ISOLATION_WAIT_S = 15.0
ISOLATION_POLL_S = 0.1


class AttemptPlacer:
    """Assigns each attempt its name and its upstream."""

    def __init__(
        self,
        board: Blackboard,
        clock: Clock,
        admission: Admission,
        ledger: InFlightLedger,
        poison: PoisonController,
    ):
        self.board = board
        self.clock = clock
        self.admission = admission
        self.ledger = ledger
        self.poison = poison
        self.placer = admission.placer
        self.attempt_numbers = count(1)

    def next_name(self) -> str:
        """Return the name of a new attempt."""
        node = self.board.read(NodeSection).node
        return f"{node.vm}-{node.incarnation}-{next(self.attempt_numbers)}"

    async def next_attempt(
        self, request: ModelRequest, state: RequestState
    ) -> Attempt | RequestFailure:
        """Place the next attempt; a suspect prompt waits until it can run isolated."""
        isolation_deadline_s = self.clock.monotonic_s() + MAX_ISOLATION_WAIT_S
        while True:
            if request.deadline_s <= self.clock.monotonic_s():
                return deadline_failure(state.outcome)
            status = self.poison.prompt_status(request)
            if isinstance(status, Quarantined):
                return quarantined_failure(state.outcome, status.remaining_s)
            delay_s = ISOLATION_POLL_S
            if isinstance(status, Suspect):
                delay_s = max(delay_s, self.poison.propagation_wait_s(status))
            if delay_s == ISOLATION_POLL_S:
                attempt = self._place(request, state, isinstance(status, Suspect))
                if attempt is not None:
                    return attempt
                needs_no_isolation = (
                    isinstance(status, Clear) or not self.poison.suspects
                )
                if (
                    needs_no_isolation
                    or self.clock.monotonic_s() > isolation_deadline_s
                ):
                    return state.failure or _no_upstream(request)
            await sleep(delay_s)

    def _place(
        self, request: ModelRequest, state: RequestState, is_suspect: bool
    ) -> Attempt | None:
        crashed = self.poison.crashed_upstreams()
        avoided = crashed | self.poison.suspect_upstreams(request)
        # An upstream that lost an attempt but answers is better than none. So is one on
        # which a suspect runs, if this prompt is no suspect.
        choice = self._choose(request, state.tried | avoided)
        choice = choice or self._choose(request, state.unusable | avoided)
        if not is_suspect:
            choice = choice or self._choose(request, state.unusable | crashed)
        if choice is None:
            return None
        config = self.board.read(ConfigSection).config.upstreams[choice.name]
        boot = self._boot(choice.name)
        return Attempt(self.next_name(), choice.name, config, boot=boot)

    def _choose(
        self, request: ModelRequest, excluded: frozenset[str]
    ) -> Candidate | None:
        candidates = find_candidates(self.board, self.ledger, request.service)
        placement = PlacementRequest(
            request.estimate.prompt_tokens,
            request.estimate.output_tokens,
            excluded,
            request.service,
            self.admission.pop_reserved_upstream(request.request_id),
        )
        policy = self.admission.policy(request.service)
        return self.placer.choose(policy, candidates, placement)

    def _boot(self, upstream: str) -> str:
        report = self.board.read(UpstreamsSection).reports.get(upstream)
        return report.load.boot if report is not None and report.load else ""


def _no_upstream(request: ModelRequest) -> RequestFailure:
    return RequestFailure(
        ErrorCode.NO_UPSTREAM,
        Outcome.NOT_RUN,
        f"no upstream of {request.service!r} may take new work",
        NO_UPSTREAM_RETRY_AFTER_S,
    )
