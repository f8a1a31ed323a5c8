"""Placing of attempts: which upstream is next, apart from suspects and dead ones."""

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
ISOLATION_WAIT_S = 15.0
ISOLATION_POLL_S = 0.1


class AttemptPlacing:
    """Gives each attempt its identity and its upstream."""

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
        self.numbers = count(1)

    def next_name(self) -> str:
        """Return the identity of a new attempt."""
        node = self.board.read(NodeSection).node
        return f"{node.vm}-{node.incarnation}-{next(self.numbers)}"

    async def next_attempt(
        self, request: ModelRequest, state: RequestState
    ) -> Attempt | RequestFailure:
        """Place the next attempt; a suspect waits until it may run apart."""
        until_s = self.clock.monotonic_s() + ISOLATION_WAIT_S
        while True:
            if request.deadline_s <= self.clock.monotonic_s():
                return deadline_failure(state.outcome)
            standing = self.poison.prompt_status(request)
            if isinstance(standing, Quarantined):
                return quarantined_failure(state.outcome, standing.remaining_s)
            pause_s = ISOLATION_POLL_S
            if isinstance(standing, Suspect):
                pause_s = max(pause_s, self.poison.propagation_wait_s(standing))
            if pause_s == ISOLATION_POLL_S:
                attempt = self._place(request, state, isinstance(standing, Suspect))
                if attempt is not None:
                    return attempt
                is_free = isinstance(standing, Clear) or not self.poison.suspects
                if is_free or self.clock.monotonic_s() > until_s:
                    return state.failure or _no_upstream(request)
            await sleep(pause_s)

    def _place(
        self, request: ModelRequest, state: RequestState, is_suspect: bool
    ) -> Attempt | None:
        dead = self.poison.crashed_upstreams()
        apart = dead | self.poison.suspect_upstreams(request)
        # One that answers but lost the attempt is better than none; so is, for a
        # prompt that is no suspect, one on which a suspect runs.
        choice = self._choose(request, state.tried | apart)
        choice = choice or self._choose(request, state.unusable | apart)
        if not is_suspect:
            choice = choice or self._choose(request, state.unusable | dead)
        if choice is None:
            return None
        config = self.board.read(ConfigSection).config.upstreams[choice.name]
        boot = self._boot(choice.name)
        return Attempt(self.next_name(), choice.name, config, boot=boot)

    def _choose(
        self, request: ModelRequest, excluded: frozenset[str]
    ) -> Candidate | None:
        candidates = find_candidates(self.board, self.ledger, request.service)
        wanted = PlacementRequest(
            request.estimate.prompt_tokens,
            request.estimate.output_tokens,
            excluded,
            request.service,
            self.admission.take_reserved(request.request_id),
        )
        policy = self.admission.policy(request.service)
        return self.placer.choose(policy, candidates, wanted)

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
