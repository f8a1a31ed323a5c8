"""Choice of the upstream and its helpers for an attempt."""

from dataclasses import dataclass
from math import inf
from random import Random

from lagoonhinge_core.forwarding.cell_placement import EnginePool, place_in_cells
from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.load_tracker import CellSummary, Prefill
from lagoonhinge_core.forwarding.messages import CallerRequest
from lagoonhinge_core.forwarding.plain_placement import UpstreamCandidate, place_request
from lagoonhinge_core.forwarding.prompt_placement import (
    DeadlineUnreachable,
    EngineCandidate,
    MemoryReservation,
    Placement,
    Prompt,
    is_short,
)
from lagoonhinge_core.forwarding.routes import Route
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.serving_state import ServingState


@dataclass(frozen=True)
class UpstreamChoice:
    """The upstreams of an attempt, with their predicted times.

    Attributes:
        upstream: The upstream that answers.
        helpers: Upstreams that prefill parts of the prompt.
        prefill_s: Predicted prefill time of one part, in seconds.
        pass_s: Duration of one engine pass, which can't be interrupted, in seconds.
        waiting_s: Predicted time until all of them start the prefill, in seconds.
        is_long: Whether its prefill delays short requests noticeably.
        tokens: KV cache that it uses on the answering upstream, in tokens.
        reservations: Memory to reserve on helpers.
    """

    upstream: Upstream
    helpers: tuple[Upstream, ...] = ()
    prefill_s: float = 0.0
    pass_s: float = 0.0
    waiting_s: float = 0.0
    is_long: bool = False
    tokens: int = 0
    reservations: tuple[MemoryReservation, ...] = ()

    def ready_s(self) -> float:
        """Return the predicted time until its first event, in seconds."""
        return self.waiting_s + self.prefill_s

    def upstreams(self) -> tuple[Upstream, ...]:
        """Return the answering upstream and its helpers."""
        return (self.upstream, *self.helpers)

    def instances(self) -> list[str]:
        """Return the names of the answering upstream and its helpers."""
        return [upstream.instance for upstream in self.upstreams()]

    def prefills(self, prompt_number: int) -> list[Prefill]:
        """Return the prefills that the attempt assigns to upstreams."""
        if not self.prefill_s:
            return []
        return [
            Prefill(prompt_number, instance, self.prefill_s, self.is_long, self.pass_s)
            for instance in self.instances()
        ]


class UpstreamChooser:
    """Chooses upstreams by predicted load.

    Args:
        serving: State shared by all requests.
        random: Generator of random numbers; the node's own if it is `None`.
    """

    def __init__(self, serving: ServingState, random: Random | None = None):
        self.serving = serving
        self.random = serving.random if random is None else random

    def choose(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        tried: set[str],
        remaining_s: float,
    ) -> UpstreamChoice | DeadlineUnreachable | None:
        """Return the upstreams of the next attempt; `None` if none has capacity.

        Args:
            request: The request.
            route: Its route.
            service: Service selected by the traffic split.
            tried: Instances of earlier attempts, which are excluded.
            remaining_s: Time until its deadline, in seconds.
        """
        usable = self.serving.usable(service)
        ejected = self.serving.ejected(usable)
        untried = tuple(entry for entry in usable if entry.instance not in tried)
        allowed = self.serving.allowed(untried)
        profile = self._engine_profile(service)
        if profile is None or request.size is None:
            return self._choose_plain_upstream(allowed, ejected)
        size = request.size
        prompt = Prompt(
            size.prompt_tokens, size.max_answer_tokens, route.target_s, remaining_s
        )
        if self.serving.request_limits.statements and not is_short(profile, prompt):
            allowed = self._without_limit(allowed) or allowed
        return self._choose_engine(prompt, profile, allowed, ejected)

    def _without_limit(self, upstreams: tuple[Upstream, ...]) -> tuple[Upstream, ...]:
        """Return the upstreams that may prefill long prompts, alone or as helpers."""
        limits = self.serving.request_limits
        return tuple(u for u in upstreams if limits.limit_per_s(u.instance) is None)

    def closed_for_s(self, service: str, tried: set[str]) -> float | None:
        """Return how long the untried upstreams of a service take no request.

        Args:
            service: The service.
            tried: Instances of earlier attempts.

        Returns:
            The time until the first pause ends, or until limited or cold upstreams
            together take one more request from any node, in seconds; infinite if all
            zones of the service are evacuated; `None` if an upstream takes a request of
            this node now, or there is none.
        """
        serving, now_s = self.serving, self.serving.clock()
        if serving.is_evacuated(service):
            return inf
        untried = tuple(u for u in serving.usable(service) if u.instance not in tried)
        if not untried or serving.allowed(untried):
            return None
        pauses_s: list[float] = []
        limits_per_s = 0.0
        for entry in untried:
            pause_s = serving.pauses.remaining_s(entry, now_s)
            if pause_s:
                pauses_s.append(pause_s)
            else:
                rates_per_s = (
                    serving.request_limits.limit_per_s(entry.instance),
                    serving.cold_per_s(entry),
                )
                limits_per_s += min((r for r in rates_per_s if r), default=0.0)
        if limits_per_s:
            pauses_s.append(1 / limits_per_s)
        return min(pauses_s, default=inf)

    def tried_all(self, service: str, tried: set[str]) -> bool:
        """Return whether a service has upstreams, and all of them were tried."""
        usable = self.serving.usable(service)
        return bool(usable) and all(entry.instance in tried for entry in usable)

    def _engine_profile(self, service: str) -> EngineProfile | None:
        config = self.serving.board.read(SiteConfigSection).config
        entry = config.services.get(service) if config is not None else None
        return entry.engine if entry is not None else None

    def _choose_engine(
        self,
        prompt: Prompt,
        profile: EngineProfile,
        untried: tuple[Upstream, ...],
        ejected: frozenset[str],
    ) -> UpstreamChoice | DeadlineUnreachable | None:
        serving, cell = self.serving, self.serving.cell
        now_s, load = serving.clock(), serving.load
        own = tuple(entry for entry in untried if entry.zone in cell)

        def describe_own(entry: Upstream, position: float) -> EngineCandidate:
            known = load.load(entry.instance, now_s)
            is_ejected = entry.instance in ejected
            return EngineCandidate(entry.instance, known, is_ejected, position)

        def describe_remote(entry: Upstream, summary: CellSummary) -> EngineCandidate:
            known = load.remote_load(entry.instance, summary, now_s)
            is_ejected = entry.instance in ejected
            return EngineCandidate(entry.instance, known, is_ejected, is_remote=True)

        others = self._other_cells(untried) if len(own) < len(untried) else []
        if not own and not others:
            own = untried
        pool = EnginePool(
            own,
            others,
            serving.cell_peers,
            lambda entry: load.prefill_s(entry.instance, now_s),
            describe_own,
            describe_remote,
        )
        placement = place_in_cells(profile, pool, prompt, self.random)
        if isinstance(placement, Placement):
            return self._build_choice(placement, prompt)
        return placement

    def _other_cells(
        self, untried: tuple[Upstream, ...]
    ) -> list[tuple[CellSummary, list[Upstream]]]:
        """Return the engines of each other zone whose load is known."""
        now_s, load = self.serving.clock(), self.serving.load
        cells: dict[str, list[Upstream]] = {}
        for entry in untried:
            if entry.zone not in self.serving.cell:
                cells.setdefault(entry.zone, []).append(entry)
        known = ((load.current_summary(zone, now_s), cells[zone]) for zone in cells)
        return [(summary, engines) for summary, engines in known if summary is not None]

    def _build_choice(self, placement: Placement, prompt: Prompt) -> UpstreamChoice:
        upstreams = self.serving.directory.by_instance
        reserved_tokens = sum(
            reservation.tokens for reservation in placement.reservations
        )
        return UpstreamChoice(
            upstreams[placement.instance],
            tuple(upstreams[instance] for instance in placement.helpers),
            placement.prefill_s,
            placement.pass_s,
            placement.waiting_s,
            placement.is_long,
            prompt.memory_tokens() - reserved_tokens,
            placement.reservations,
        )

    def _choose_plain_upstream(
        self, untried: tuple[Upstream, ...], ejected: frozenset[str]
    ) -> UpstreamChoice | None:
        serving = self.serving
        serving.rotation_index += 1
        now_s = serving.clock()
        candidates = tuple(
            UpstreamCandidate(
                entry.instance,
                serving.load.load(entry.instance, now_s).requests,
                entry.slots,
                entry.zone == serving.zone,
                entry.instance in ejected,
            )
            for entry in untried
        )
        instance = place_request(candidates, serving.rotation_index)
        if instance is None:
            return None
        return UpstreamChoice(serving.directory.by_instance[instance])
