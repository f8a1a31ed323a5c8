"""Placement of prompts on model engines, by predicted cost.

A placement selects the engine that answers a prompt, the helpers that prefill it
together with that engine, in equal parts, and the helpers that hold a part of its KV
cache. Prefill stalls the answers that an engine decodes at the same time. Placement
therefore weighs the prompt's own prefill time against the answers that it stalls, as
costs in seconds. There are four cases, with the limits in `PlacementWeights`:

- Short: each engine's part takes so little time that other answers are not delayed
  noticeably. The prompt goes to the engines with the least work. A small packing cost
  makes short prompts fill the last engines of an order that all nodes share, one after
  the other, and leaves the first ones free of answers, for long prompts. How many
  engines short prompts occupy follows the load.
- Long: more engines finish sooner, but stall more answers. The number of engines with
  the least total cost is taken.
- Late: even all engines together would miss the target time. As few engines prefill
  the prompt as finish well within its time limit, and only a share of all engines.
- Oversized: the prompt and its answer exceed the usable memory of one engine. Helpers
  reserve memory for what the answering engine can't hold.
"""

from dataclasses import dataclass

from lagoonhinge_core.forwarding.engine_time import MAX_HELPERS, EngineProfile
from lagoonhinge_core.forwarding.load_tracker import Load

LATE_COST_TOKENS = 100_000  # prompt tokens per `late_cost_s`


@dataclass(frozen=True)
class PlacementWeights:
    """Limits and costs of placement.

    Costs are in seconds and are added to the prompt's own prefill time.

    Attributes:
        short_prefill_s: Longest prefill on one engine that does not delay its other
            answers noticeably; together with a pass of about 45 ms, it keeps the gap
            between their events well below 250 ms.
        short_engine_share: Largest share of the engines that prefill a short prompt.
        safe_target_share: Share of the target time by which the prefill should end, as
            predictions are not exact.
        reachable_target_share: Share of the target time within which all engines
            together must be able to prefill a prompt; a longer prompt would stall all
            of them and still be late.
        late_cost_s: Cost of an answer that becomes late, for each 100,000 tokens of its
            prompt, as an answer to a longer prompt has more value.
        stall_cost_s: Cost of each answer that a long prompt stalls on an engine.
        late_stall_s: Stall from which answers to long prompts become late as well.
        late_limit_share: Share of the time limit within which a prompt that misses its
            target is prefilled.
        late_engine_share: Largest share of the engines that prefill such a prompt.
        packing_cost_s: Cost of a short prompt on the first engine in the shared order,
            falling to none on the last one.
        request_cost_s: Cost of each open request, which lengthens decode steps a
            little.
        saturation_cost_s: Cost of taking the last free slot of an engine.
        saturation_from_share: Share of taken slots from which that cost grows from 0.
        queued_cost_s: Cost of each request without a free slot on an engine, including
            the prompt's own.
        no_memory_cost_s: Cost of an engine without enough free memory.
        remote_cost_s: Cost of an engine of another cell, whose load is known less
            well.
        usable_memory_share: Share of an engine's free memory that placement uses;
            requests that peers have not reported yet take the rest.
    """

    short_prefill_s: float = 0.09
    short_engine_share: float = 0.5
    safe_target_share: float = 0.85
    reachable_target_share: float = 0.5
    late_cost_s: float = 10.0
    stall_cost_s: float = 1.0
    late_stall_s: float = 0.8
    late_limit_share: float = 0.7
    late_engine_share: float = 0.65
    packing_cost_s: float = 0.2
    request_cost_s: float = 0.002
    saturation_cost_s: float = 0.6
    saturation_from_share: float = 0.75
    queued_cost_s: float = 1.0
    no_memory_cost_s: float = 1.0
    remote_cost_s: float = 0.2
    usable_memory_share: float = 0.9


DEFAULT_WEIGHTS = PlacementWeights()


@dataclass(frozen=True)
class EngineCandidate:
    """An engine that may take a prompt or a part of it.

    Attributes:
        instance: The engine.
        load: Its predicted load.
        recently_failed: Whether recent attempts at it failed.
        position: Position in the order that all nodes share, from 0 for the first
            engine to 1 for the last.
        is_remote: Whether it is an engine of another cell.
    """

    instance: str
    load: Load
    recently_failed: bool = False
    position: float = 0.0
    is_remote: bool = False


@dataclass(frozen=True)
class Prompt:
    """Size and time limits of a prompt.

    Attributes:
        tokens: Length of the prompt, in tokens.
        max_answer_tokens: Longest answer, in tokens.
        target_s: Target time to the first event, in seconds.
        remaining_s: Time until the deadline of the whole answer, in seconds.
    """

    tokens: int
    max_answer_tokens: int
    target_s: float
    remaining_s: float

    def memory_tokens(self) -> int:
        """Return the memory that the prompt and its answer take, in tokens."""
        return self.tokens + self.max_answer_tokens


@dataclass(frozen=True)
class MemoryReservation:
    """Memory to reserve on a helper for a prompt that another engine answers.

    Attributes:
        instance: The helper.
        tokens: Size, in tokens.
    """

    instance: str
    tokens: int


@dataclass(frozen=True)
class DeadlineUnreachable:
    """A prompt can't be prefilled before its deadline.

    Attributes:
        prefill_s: Predicted prefill time if it began at once, in seconds.
    """

    prefill_s: float


@dataclass(frozen=True)
class Placement:
    """Where a prompt goes.

    Attributes:
        instance: The engine that answers it.
        helpers: Other engines that prefill a part of it.
        waiting_s: Predicted time until all engines start on it, in seconds.
        prefill_s: Predicted time that each engine takes for its part, in seconds.
        pass_s: Time of one pass of that prefill, which can't be interrupted, in
            seconds.
        is_long: Whether the prefill delays other answers noticeably.
        reservations: Memory to reserve on helpers.
    """

    instance: str
    helpers: tuple[str, ...]
    waiting_s: float
    prefill_s: float
    pass_s: float
    is_long: bool
    reservations: tuple[MemoryReservation, ...] = ()


def is_short(
    profile: EngineProfile, prompt: Prompt, weights: PlacementWeights = DEFAULT_WEIGHTS
) -> bool:
    """Return whether one engine can prefill a prompt without a noticeable stall."""
    return profile.prefill_s(prompt.tokens) <= weights.short_prefill_s


def place_prompt(
    profile: EngineProfile,
    candidates: tuple[EngineCandidate, ...],
    prompt: Prompt,
    weights: PlacementWeights = DEFAULT_WEIGHTS,
) -> Placement | DeadlineUnreachable | None:
    """Return where a prompt goes, or `None` if no engine has room for it.

    Engines at which attempts failed recently are used only if there are no others.

    Args:
        profile: Speed and memory of the engines.
        candidates: Engines that may take the prompt, in an order that all nodes share.
        prompt: The prompt.
        weights: Limits and costs.
    """
    healthy = tuple(engine for engine in candidates if not engine.recently_failed)
    usable = healthy or candidates
    if not usable:
        return None
    return _Placer(profile, weights, usable, prompt).place()


@dataclass(frozen=True)
class _Placer:
    """Calculation of the placement of one prompt.

    Attributes:
        profile: Speed and memory of the engines.
        weights: Limits and costs.
        usable: Engines that may take the prompt.
        prompt: The prompt.
    """

    profile: EngineProfile
    weights: PlacementWeights
    usable: tuple[EngineCandidate, ...]
    prompt: Prompt

    def place(self) -> Placement | DeadlineUnreachable | None:
        """Return where the prompt goes, or `None` if no engine has room for it."""
        placement = self._place_by_size()
        if placement is None or placement.prefill_s <= self.prompt.remaining_s:
            return placement
        return DeadlineUnreachable(placement.prefill_s)

    def _place_by_size(self) -> Placement | None:
        weights, tokens = self.weights, self.prompt.tokens
        if (
            self.prompt.memory_tokens()
            > weights.usable_memory_share * self.profile.kv_tokens
        ):
            return self._place_oversized()
        max_engines = max(1, int(len(self.usable) * weights.short_engine_share))
        engine_count = self.profile.engines_needed(
            tokens, weights.short_prefill_s, max_engines
        )
        if self.profile.prefill_s(tokens, engine_count) <= weights.short_prefill_s:
            return self._place_short(engine_count)
        return self._place_long()

    def _place_short(self, engine_count: int) -> Placement:
        engines = list(self.usable)
        if engine_count > 1:
            engines = sorted(self.usable, key=lambda e: self._short_cost_s(e, 0))
            engines = engines[:engine_count]
        tokens = self.prompt.memory_tokens()
        answering = min(engines, key=lambda e: self._short_cost_s(e, tokens))
        return self._build_placement(
            answering, engines if engine_count > 1 else [answering]
        )

    def _place_long(self) -> Placement:
        engines = self._long_prompt_engines()
        tokens = self.prompt.memory_tokens()
        answering = min(
            engines,
            key=lambda e: (
                self._saturation_cost_s(e, tokens) + e.load.prefill_s,
                e.load.tokens,
            ),
        )
        return self._build_placement(answering, engines)

    def _place_oversized(self) -> Placement | None:
        """Place a prompt that several engines hold; all of them prefill it as well."""
        prefilling = self._long_prompt_engines()
        names = {engine.instance for engine in prefilling}
        others = [engine for engine in self.usable if engine.instance not in names]
        by_memory = sorted(prefilling, key=lambda e: e.load.tokens)
        by_memory += sorted(others, key=lambda e: e.load.tokens)
        engines: list[EngineCandidate] = []
        reservations: list[MemoryReservation] = []
        missing = self.prompt.memory_tokens()
        for engine in by_memory:
            if missing <= 0 and len(engines) >= len(prefilling):
                break
            tokens = min(missing, self._free_tokens(engine))
            # The first engine answers and needs no reservation for its own share.
            if engines and tokens > 0:
                reservations.append(MemoryReservation(engine.instance, tokens))
            engines.append(engine)
            missing -= tokens
        if missing > 0 or len(engines) > MAX_HELPERS + 1:
            return None
        return self._build_placement(engines[0], engines, tuple(reservations))

    def _long_prompt_engines(self) -> list[EngineCandidate]:
        """Return the engines that prefill a long prompt at the least total cost.

        More engines finish sooner, but each of them may be busy with other prompts, and
        stalls the answers that it decodes.
        """
        profile, weights, prompt = self.profile, self.weights, self.prompt
        max_engines = min(len(self.usable), MAX_HELPERS + 1)
        shortest_s = profile.prefill_s(prompt.tokens, max_engines)
        ranked = sorted(self.usable, key=lambda e: self._long_cost_s(e, shortest_s))
        ranked = ranked[:max_engines]
        if shortest_s > weights.reachable_target_share * prompt.target_s:
            max_engines = max(1, int(weights.late_engine_share * len(self.usable)))
            limit_s = weights.late_limit_share * prompt.remaining_s
            return ranked[: profile.engines_needed(prompt.tokens, limit_s, max_engines)]
        late_cost_s = weights.late_cost_s * prompt.tokens / LATE_COST_TOKENS
        best_count, best_cost_s = 1, float("inf")
        waiting_s, stall_cost_s = float("inf"), 0.0
        for engine_count, engine in enumerate(ranked, 1):
            # Helpers prefill their parts before the prompts queued there, so the
            # prompt waits only for the answering engine, taken as the least busy.
            waiting_s = min(waiting_s, engine.load.prefill_s)
            stall_cost_s += self._stall_cost_s(engine)
            prefill_s = profile.prefill_s(prompt.tokens, engine_count)
            ready_s = waiting_s + prefill_s
            cost_s = ready_s + self._late_answers_cost_s(
                ranked[:engine_count], prefill_s
            )
            if ready_s > weights.safe_target_share * prompt.target_s:
                cost_s += late_cost_s
            if prefill_s > weights.short_prefill_s:
                cost_s += stall_cost_s
            if cost_s < best_cost_s:
                best_count, best_cost_s = engine_count, cost_s
        return ranked[:best_count]

    def _build_placement(
        self,
        answering: EngineCandidate,
        engines: list[EngineCandidate],
        reservations: tuple[MemoryReservation, ...] = (),
    ) -> Placement:
        helpers = tuple(e.instance for e in engines if e is not answering)
        tokens, engine_count = self.prompt.tokens, len(engines)
        prefill_s = self.profile.prefill_s(tokens, engine_count)
        pass_s = self.profile.pass_s(tokens, engine_count)
        return Placement(
            answering.instance,
            helpers,
            max(engine.load.prefill_s for engine in engines),
            prefill_s,
            pass_s,
            prefill_s > self.weights.short_prefill_s,
            reservations,
        )

    def _short_cost_s(self, engine: EngineCandidate, tokens: int) -> float:
        load, weights = engine.load, self.weights
        cost_s = load.prefill_s + load.requests * weights.request_cost_s
        cost_s += weights.packing_cost_s * (1 - engine.position)
        cost_s += weights.remote_cost_s * engine.is_remote
        return cost_s + self._saturation_cost_s(engine, tokens)

    def _long_cost_s(self, engine: EngineCandidate, prefill_s: float) -> float:
        cost_s = engine.load.prefill_s + self._stall_cost_s(engine)
        return cost_s + self._late_answers_cost_s([engine], prefill_s)

    def _stall_cost_s(self, engine: EngineCandidate) -> float:
        """Return what a long prompt costs other requests on an engine, in seconds."""
        stall_cost_s = engine.load.requests * self.weights.stall_cost_s
        return stall_cost_s + self._saturation_cost_s(engine, 0)

    def _late_answers_cost_s(
        self, engines: list[EngineCandidate], prefill_s: float
    ) -> float:
        """Return the cost of answers to long prompts that become late, in seconds."""
        weights = self.weights
        tokens = sum(
            engine.load.tokens
            for engine in engines
            if engine.load.prefill_s + prefill_s > weights.late_stall_s
        )
        return weights.late_cost_s * tokens / LATE_COST_TOKENS

    def _saturation_cost_s(self, engine: EngineCandidate, tokens: int) -> float:
        """Return the cost of taken slots and memory, in seconds."""
        load, profile, weights = engine.load, self.profile, self.weights
        excess = (load.requests + 1) / profile.slots - weights.saturation_from_share
        saturation_cost_s = (
            weights.saturation_cost_s
            * max(0.0, excess)
            / (1 - weights.saturation_from_share)
        )
        queued_cost_s = weights.queued_cost_s * max(
            0, load.requests + 1 - profile.slots
        )
        lacks_memory = load.tokens + tokens > profile.kv_tokens
        return (
            saturation_cost_s + queued_cost_s + weights.no_memory_cost_s * lacks_memory
        )

    def _free_tokens(self, engine: EngineCandidate) -> int:
        free = self.profile.kv_tokens - engine.load.tokens
        return max(0, int(self.weights.usable_memory_share * free))
