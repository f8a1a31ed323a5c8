"""Which engines read a prompt, which one answers it, and which ones hold its memory.

What an engine reads in a pass delays the answers that it writes meanwhile. Parts of a
long prompt are felt by the answers beside them, so the number and choice of its readers
weigh its own time against the answers that it stalls. Short prompts are therefore
packed: they fill the last engines of an order that all nodes share, one after the
other, and leave the first ones free of answers. How many engines that takes follows
the load from second to second. A prompt that misses its target time in any case is
read by few engines. One that is larger than an engine's memory is held by several.
"""

from dataclasses import dataclass

from lagoonhinge_core.forwarding.engine_time import MAX_HELPERS, EngineProfile
from lagoonhinge_core.forwarding.load_book import Load

WORTH_UNIT = 100_000  # tokens


@dataclass(frozen=True)
class PlacementWeights:
    """Limits and costs that placement weighs; costs are in seconds of prompt time.

    Attributes:
        small_part_s: Longest part that answers beside it do not feel; with a pass of
            some 45 ms it stays well within a pause of 250 ms.
        small_share: Most engines that share small parts, of all engines.
        safe_share: Part of the target time, as predictions are not exact.
        wide_share: Part of the target time within which all engines together must be
            able to read a prompt; a longer one would stall all of them and be late.
        late_s: Cost of an answer that becomes late, for each 100,000 tokens of its
            prompt, as longer prompts are worth more.
        stalled_s: Cost of each answer that a long prompt's reader stalls.
        long_pause_s: Stall from which answers to long prompts become late as well.
        limit_share: Part of the time limit for a prompt that misses its target.
        late_engines: Most engines that read such a prompt, of all engines.
        pack_s: Cost of a short prompt on the first engine in the shared order, falling
            to none on the last one.
        request_s: Cost of each open request, which lengthens the steps a little.
        crowd_s: Cost of an engine whose slots are nearly taken, at the last of them.
        crowd_from: Share of the slots from which that cost grows.
        queued_s: Cost of each request before it in an engine's queue.
        no_memory_s: Cost of an engine without free memory.
        usable_memory: Part of an engine's free memory; requests unheard of take the
            rest.
    """

    small_part_s: float = 0.09
    small_share: float = 0.5
    safe_share: float = 0.85
    wide_share: float = 0.5
    late_s: float = 10.0
    stalled_s: float = 1.0
    long_pause_s: float = 0.8
    limit_share: float = 0.7
    late_engines: float = 0.65
    pack_s: float = 0.2
    request_s: float = 0.002
    crowd_s: float = 0.6
    crowd_from: float = 0.75
    queued_s: float = 1.0
    no_memory_s: float = 1.0
    usable_memory: float = 0.9


DEFAULT_WEIGHTS = PlacementWeights()


@dataclass(frozen=True)
class EngineChoice:
    """An engine that may take a part of a prompt.

    Attributes:
        instance: The engine.
        load: Its predicted load.
        suspect: Whether sends to it failed lately.
        place: Place in the shared order, from 0 for the first engine to 1 for the last.
    """

    instance: str
    load: Load
    suspect: bool = False
    place: float = 0.0


@dataclass(frozen=True)
class Prompt:
    """What placement needs to know of a prompt.

    Attributes:
        tokens: Its length, in tokens.
        answer_tokens: Longest answer, in tokens.
        target_s: Wanted time to its first event, in seconds.
        limit_s: Time left to the end of the answer, in seconds.
    """

    tokens: int
    answer_tokens: int
    target_s: float
    limit_s: float

    def size(self) -> int:
        """Return the memory that the prompt and its answer take, in tokens."""
        return self.tokens + self.answer_tokens


@dataclass(frozen=True)
class Holding:
    """Memory of an engine for a prompt that another one answers.

    Attributes:
        instance: The engine.
        tokens: Size, in tokens.
    """

    instance: str
    tokens: int


@dataclass(frozen=True)
class TooLate:
    """A prompt can't be read within its time limit any more.

    Attributes:
        ready_s: Time until it would be read if it began at once, in seconds.
    """

    ready_s: float


@dataclass(frozen=True)
class Placement:
    """Where a prompt goes.

    Attributes:
        instance: The engine that answers it.
        helpers: Engines that read parts of it beside that one.
        waiting_s: Predicted time until all readers begin on it, in seconds.
        part_s: Predicted time to read one part, in seconds.
        pass_s: Time of it that an engine can't be stopped in, in seconds.
        is_long: Whether its reading delays short answers noticeably.
        holdings: Memory to set aside on helpers.
    """

    instance: str
    helpers: tuple[str, ...]
    waiting_s: float
    part_s: float
    pass_s: float
    is_long: bool
    holdings: tuple[Holding, ...] = ()


def is_short(
    profile: EngineProfile, prompt: Prompt, weights: PlacementWeights = DEFAULT_WEIGHTS
) -> bool:
    """Return whether answers beside a prompt do not feel its reading."""
    return profile.read_s(prompt.tokens) <= weights.small_part_s


def place_prompt(
    profile: EngineProfile,
    engines: tuple[EngineChoice, ...],
    prompt: Prompt,
    weights: PlacementWeights = DEFAULT_WEIGHTS,
) -> Placement | TooLate | None:
    """Return where a prompt goes, or `None` if there is no room for it.

    Args:
        profile: Speed and memory of the engines.
        engines: Engines that may take it, in an order that all nodes share.
        prompt: The prompt.
        weights: Limits and costs.
    """
    sound = tuple(engine for engine in engines if not engine.suspect)
    usable = sound or engines
    if not usable:
        return None
    return _Placer(profile, weights, usable, prompt).place()


@dataclass(frozen=True)
class _Placer:
    """Placement of one prompt.

    Attributes:
        profile: Speed and memory of the engines.
        weights: Limits and costs.
        usable: Engines that may take it.
        prompt: The prompt.
    """

    profile: EngineProfile
    weights: PlacementWeights
    usable: tuple[EngineChoice, ...]
    prompt: Prompt

    def place(self) -> Placement | TooLate | None:
        """Return where the prompt goes, or `None` if there is no room for it."""
        placement = self._place()
        if placement is None or placement.part_s <= self.prompt.limit_s:
            return placement
        return TooLate(placement.part_s)

    def _place(self) -> Placement | None:
        weights, tokens = self.weights, self.prompt.tokens
        if self.prompt.size() > weights.usable_memory * self.profile.kv_tokens:
            return self._place_huge()
        most = max(1, int(len(self.usable) * weights.small_share))
        parts = self.profile.parts_within(tokens, weights.small_part_s, most)
        if self.profile.read_s(tokens, parts) <= weights.small_part_s:
            return self._place_small(parts)
        return self._place_long()

    def _place_small(self, parts: int) -> Placement:
        readers = list(self.usable)
        if parts > 1:
            readers = sorted(self.usable, key=lambda e: self._small_cost_s(e, 0))
            readers = readers[:parts]
        size = self.prompt.size()
        first = min(readers, key=lambda e: self._small_cost_s(e, size))
        return self._shared(first, readers if parts > 1 else [first])

    def _place_long(self) -> Placement:
        readers = self._long_readers()
        size = self.prompt.size()
        first = min(
            readers,
            key=lambda e: (
                self._full_cost_s(e, size) + e.load.prefill_s,
                e.load.tokens,
            ),
        )
        return self._shared(first, readers)

    def _place_huge(self) -> Placement | None:
        """Place a prompt that several engines hold; they read it as well."""
        chosen = self._long_readers()
        names = {engine.instance for engine in chosen}
        others = [engine for engine in self.usable if engine.instance not in names]
        emptiest = sorted(chosen, key=lambda e: e.load.tokens)
        emptiest += sorted(others, key=lambda e: e.load.tokens)
        readers: list[EngineChoice] = []
        holdings: list[Holding] = []
        missing = self.prompt.size()
        for engine in emptiest:
            if missing <= 0 and len(readers) >= len(chosen):
                break
            tokens = min(missing, self._free_tokens(engine))
            # The first engine keeps what the others do not hold.
            if readers and tokens > 0:
                holdings.append(Holding(engine.instance, tokens))
            readers.append(engine)
            missing -= tokens
        if missing > 0 or len(readers) > MAX_HELPERS + 1:
            return None
        return self._shared(readers[0], readers, tuple(holdings))

    def _long_readers(self) -> list[EngineChoice]:
        """Return the engines that read a long prompt, by the least cost in all.

        More engines finish sooner, but each of them may have to be waited for, and
        stalls the answers that it writes.
        """
        profile, weights, prompt = self.profile, self.weights, self.prompt
        most = min(len(self.usable), MAX_HELPERS + 1)
        shortest_s = profile.read_s(prompt.tokens, most)
        ranked = sorted(self.usable, key=lambda e: self._long_cost_s(e, shortest_s))
        ranked = ranked[:most]
        if shortest_s > weights.wide_share * prompt.target_s:
            most = max(1, int(weights.late_engines * len(self.usable)))
            limit_s = weights.limit_share * prompt.limit_s
            return ranked[: profile.parts_within(prompt.tokens, limit_s, most)]
        late_s = weights.late_s * prompt.tokens / WORTH_UNIT
        best, best_s = 1, float("inf")
        waiting_s, side_s = float("inf"), 0.0
        for parts, engine in enumerate(ranked, 1):
            # Parts on the other readers overtake what waits there.
            waiting_s = min(waiting_s, engine.load.prefill_s)
            side_s += self._side_cost_s(engine)
            part_s = profile.read_s(prompt.tokens, parts)
            ready_s = waiting_s + part_s
            cost_s = ready_s + self._long_stall_s(ranked[:parts], part_s)
            if ready_s > weights.safe_share * prompt.target_s:
                cost_s += late_s
            if part_s > weights.small_part_s:
                cost_s += side_s
            if cost_s < best_s:
                best, best_s = parts, cost_s
        return ranked[:best]

    def _shared(
        self,
        first: EngineChoice,
        readers: list[EngineChoice],
        holdings: tuple[Holding, ...] = (),
    ) -> Placement:
        helpers = tuple(e.instance for e in readers if e is not first)
        tokens, parts = self.prompt.tokens, len(readers)
        part_s = self.profile.read_s(tokens, parts)
        pass_s = self.profile.pass_s(tokens, parts)
        return Placement(
            first.instance,
            helpers,
            max(engine.load.prefill_s for engine in readers),
            part_s,
            pass_s,
            part_s > self.weights.small_part_s,
            holdings,
        )

    def _small_cost_s(self, engine: EngineChoice, tokens: int) -> float:
        load, weights = engine.load, self.weights
        cost_s = load.prefill_s + load.requests * weights.request_s
        cost_s += weights.pack_s * (1 - engine.place)
        return cost_s + self._full_cost_s(engine, tokens)

    def _long_cost_s(self, engine: EngineChoice, part_s: float) -> float:
        own_s = engine.load.prefill_s + self._side_cost_s(engine)
        return own_s + self._long_stall_s([engine], part_s)

    def _side_cost_s(self, engine: EngineChoice) -> float:
        """Return what a long prompt costs others on an engine, in seconds."""
        stalled_s = engine.load.requests * self.weights.stalled_s
        return stalled_s + self._full_cost_s(engine, 0)

    def _long_stall_s(self, readers: list[EngineChoice], part_s: float) -> float:
        """Return the cost of answers to long prompts that become late, in seconds."""
        weights = self.weights
        tokens = sum(
            engine.load.tokens
            for engine in readers
            if engine.load.prefill_s + part_s > weights.long_pause_s
        )
        return weights.late_s * tokens / WORTH_UNIT

    def _full_cost_s(self, engine: EngineChoice, tokens: int) -> float:
        """Return the cost of taken slots and memory, in seconds."""
        load, profile, weights = engine.load, self.profile, self.weights
        crowd = (load.requests + 1) / profile.slots - weights.crowd_from
        crowd_s = weights.crowd_s * max(0.0, crowd) / (1 - weights.crowd_from)
        queued_s = weights.queued_s * max(0, load.requests + 1 - profile.slots)
        lacks_memory = load.tokens + tokens > profile.kv_tokens
        return crowd_s + queued_s + weights.no_memory_s * lacks_memory

    def _free_tokens(self, engine: EngineChoice) -> int:
        free = self.profile.kv_tokens - engine.load.tokens
        return max(0, int(self.weights.usable_memory * free))
