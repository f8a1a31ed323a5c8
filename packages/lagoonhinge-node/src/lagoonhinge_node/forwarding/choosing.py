"""Choice of the upstream, and of helpers, for one send."""

from dataclasses import dataclass

from lagoonhinge_core.forwarding.engine_sampling import sample_engines
from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.load_tracker import Prefill
from lagoonhinge_core.forwarding.messages import CallerRequest
from lagoonhinge_core.forwarding.plain_placement import UpstreamCandidate, place_request
from lagoonhinge_core.forwarding.prompt_placement import (
    DeadlineUnreachable,
    EngineCandidate,
    MemoryReservation,
    Placement,
    Prompt,
    is_short,
    place_prompt,
)
from lagoonhinge_core.forwarding.routes import Route
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.state import SiteConfigSection


@dataclass(frozen=True)
class Choice:
    """Where one send goes.

    Attributes:
        upstream: The upstream that answers.
        helpers: Upstreams that read parts of the prompt.
        part_s: Predicted time to read one part, in seconds.
        pass_s: Time of it that an engine can't be stopped in, in seconds.
        waiting_s: Predicted time until all of them begin on it, in seconds.
        is_long: Whether its reading delays short answers noticeably.
        tokens: Memory it takes, in tokens.
        holdings: Memory to set aside on helpers.
    """

    upstream: Upstream
    helpers: tuple[Upstream, ...] = ()
    part_s: float = 0.0
    pass_s: float = 0.0
    waiting_s: float = 0.0
    is_long: bool = False
    tokens: int = 0
    holdings: tuple[MemoryReservation, ...] = ()

    def instances(self) -> list[str]:
        """Return the upstreams that take part."""
        return [upstream.instance for upstream in (self.upstream, *self.helpers)]

    def readings(self, number: int) -> list[Prefill]:
        """Return the prompt processing that the send gives to upstreams."""
        if not self.part_s:
            return []
        return [
            Prefill(number, instance, self.part_s, self.is_long, self.pass_s)
            for instance in self.instances()
        ]


class Chooser:
    """Chooses upstreams by predicted load.

    Args:
        state: Beliefs about upstreams.
    """

    def __init__(self, state: ServingState):
        self.state = state

    def choose(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        tried: set[str],
        remaining_s: float,
    ) -> Choice | DeadlineUnreachable | None:
        """Return where to send a request, or `None` if no upstream has room.

        Args:
            request: The request.
            route: Its route.
            service: The service that the split gave it.
            tried: Instances that it was sent to.
            remaining_s: Time left for it, in seconds.
        """
        usable = self.state.directory.usable(service)
        suspects = self.state.health.ejected(
            (entry.instance for entry in usable), self.state.clock()
        )
        left = tuple(entry for entry in usable if entry.instance not in tried)
        profile = self._profile(service)
        if profile is None or request.size is None:
            return self._choose_server(left, suspects)
        size = request.size
        prompt = Prompt(
            size.prompt_tokens, size.max_answer_tokens, route.target_s, remaining_s
        )
        return self._choose_engine(prompt, profile, left, suspects)

    def tried_all(self, service: str, tried: set[str]) -> bool:
        """Return whether a service has upstreams, and all of them were tried."""
        usable = self.state.directory.usable(service)
        return bool(usable) and all(entry.instance in tried for entry in usable)

    def _profile(self, service: str) -> EngineProfile | None:
        config = self.state.board.read(SiteConfigSection).config
        entry = config.services.get(service) if config is not None else None
        return entry.engine if entry is not None else None

    def _choose_engine(
        self,
        prompt: Prompt,
        profile: EngineProfile,
        left: tuple[Upstream, ...],
        suspects: frozenset[str],
    ) -> Choice | DeadlineUnreachable | None:
        now_s = self.state.clock()
        load = self.state.load
        peers, random = self.state.known_nodes - 1, self.state.random
        placed = sample_engines(left, is_short(profile, prompt), peers, random)
        engines = tuple(
            EngineCandidate(
                entry.instance,
                load.load(entry.instance, now_s),
                entry.instance in suspects,
                place,
            )
            for place, entry in placed
        )
        placement = place_prompt(profile, engines, prompt)
        if isinstance(placement, Placement):
            return self._choice(placement, prompt)
        return placement

    def _choice(self, placement: Placement, prompt: Prompt) -> Choice:
        known = self.state.directory.by_instance
        held = sum(holding.tokens for holding in placement.reservations)
        return Choice(
            known[placement.instance],
            tuple(known[instance] for instance in placement.helpers),
            placement.prefill_s,
            placement.pass_s,
            placement.waiting_s,
            placement.is_long,
            prompt.memory_tokens() - held,
            placement.reservations,
        )

    def _choose_server(
        self, left: tuple[Upstream, ...], suspects: frozenset[str]
    ) -> Choice | None:
        state = self.state
        state.turn += 1
        now_s = state.clock()
        choices = tuple(
            UpstreamCandidate(
                entry.instance,
                state.load.load(entry.instance, now_s).requests,
                entry.slots,
                entry.zone == state.zone,
                entry.instance in suspects,
            )
            for entry in left
        )
        chosen = place_request(choices, state.turn)
        if chosen is None:
            return None
        return Choice(state.directory.by_instance[chosen])
