"""Which engines read a prompt, which one answers it, and which ones hold its memory.

What an engine reads in a pass delays the answers that it writes meanwhile. Prompts that
can be read in small parts are spread over the engines with the least to do. Parts of a
long prompt are felt by the answers beside them, so the number and choice of its readers
weigh its own time against the answers that it stalls. The first engines of an order,
the same on all nodes, are the long set: long prompts prefer it, and short ones prefer
the others while long ones are about. A prompt that misses its target time in any case
is read by few engines. One that is larger than an engine's memory is held by several.
"""

from dataclasses import dataclass

from lagoonhinge_core.forwarding.engine_time import MAX_HELPERS, EngineProfile
from lagoonhinge_core.forwarding.load_book import Load

SMALL_PART_S = 0.09  # with a pass of some 45 ms, well within a pause of 250 ms
MOST_SMALL_PARTS_SHARE = 0.5  # of the engines, over which small parts are spread
LONG_SHARE = 0.7  # of the engines, which are the long set
TARGET_SHARE = 0.6  # of the target time, within which the parts are to be read
# Costs of a long prompt's reader, in seconds of the prompt's own time.
STALLED_REQUEST_S = 0.25  # for each answer that it stalls
LATE_COST = 1.2  # for missing the target, in times of its whole reading
SAFE_TARGET_SHARE = 0.8  # of the target time, as predictions are not exact
OUTSIDE_SET_S = 0.3  # for an engine that short prompts prefer
LIMIT_SHARE = 0.5  # of the time limit, for a prompt that misses its target anyway
LONG_MEMORY_S = 2.0  # about the duration of a short answer
LONG_NEIGHBOUR_S = 0.15  # cost of a short prompt beside long ones, in seconds
# Cost of a short prompt where long ones may come, in seconds: that of five requests.
LONG_SET_S = 0.02
FULL_COST_S = 1.0  # cost of an engine without a free slot or memory, in seconds
REQUEST_COST_S = 0.004  # each open request lengthens the steps a little
USABLE_MEMORY = 0.9  # of an engine's free memory; requests unheard of take the rest


@dataclass(frozen=True)
class EngineChoice:
    """An engine that may take a part of a prompt.

    Attributes:
        instance: The engine.
        load: Its predicted load.
        suspect: Whether sends to it failed lately.
        in_long_set: Whether long prompts prefer it.
    """

    instance: str
    load: Load
    suspect: bool = False
    in_long_set: bool = False


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
class Placement:
    """Where a prompt goes.

    Attributes:
        instance: The engine that answers it.
        helpers: Engines that read parts of it beside that one.
        part_s: Predicted time to read one part, in seconds.
        is_long: Whether its reading delays short answers noticeably.
        holdings: Memory to set aside on helpers.
    """

    instance: str
    helpers: tuple[str, ...]
    part_s: float
    is_long: bool
    holdings: tuple[Holding, ...] = ()


def long_set_size(engines: int) -> int:
    """Return how many of the engines, in shared order, are the long set."""
    return round(LONG_SHARE * engines) if engines > 1 else 0


def place_prompt(
    profile: EngineProfile, engines: tuple[EngineChoice, ...], prompt: Prompt
) -> Placement | None:
    """Return where a prompt goes, or `None` if there is no room for it.

    Args:
        profile: Speed and memory of the engines.
        engines: Engines that may take it, in an order that all nodes share.
        prompt: The prompt.
    """
    sound = tuple(engine for engine in engines if not engine.suspect)
    usable = sound or engines
    if not usable:
        return None
    if prompt.size() > USABLE_MEMORY * profile.kv_tokens:
        return _place_huge(profile, usable, prompt)
    most = max(1, int(len(usable) * MOST_SMALL_PARTS_SHARE))
    parts = profile.parts_within(prompt.tokens, SMALL_PART_S, most)
    if profile.read_s(prompt.tokens, parts) <= SMALL_PART_S:
        return _place_small(profile, usable, prompt, parts)
    return _place_long(profile, usable, prompt)


def _place_small(
    profile: EngineProfile,
    usable: tuple[EngineChoice, ...],
    prompt: Prompt,
    parts: int,
) -> Placement:
    readers = list(usable)
    if parts > 1:
        readers = sorted(usable, key=lambda e: _small_cost_s(profile, e, 0))[:parts]
    first = min(readers, key=lambda e: _small_cost_s(profile, e, prompt.size()))
    return _shared(profile, prompt, first, readers if parts > 1 else [first])


def _place_long(
    profile: EngineProfile, usable: tuple[EngineChoice, ...], prompt: Prompt
) -> Placement:
    readers = _long_readers(profile, usable, prompt)
    first = min(
        readers, key=lambda e: (_full_cost_s(profile, e, prompt.size()), e.load.tokens)
    )
    return _shared(profile, prompt, first, readers)


def _place_huge(
    profile: EngineProfile, usable: tuple[EngineChoice, ...], prompt: Prompt
) -> Placement | None:
    """Place a prompt that several engines hold; they read it as well."""
    chosen = _long_readers(profile, usable, prompt)
    names = {engine.instance for engine in chosen}
    others = [engine for engine in usable if engine.instance not in names]
    emptiest = sorted(chosen, key=lambda e: e.load.tokens)
    emptiest += sorted(others, key=lambda e: e.load.tokens)
    readers: list[EngineChoice] = []
    holdings: list[Holding] = []
    missing = prompt.size()
    for engine in emptiest:
        if missing <= 0 and len(readers) >= len(chosen):
            break
        tokens = min(missing, _free_tokens(profile, engine))
        # The first engine keeps what the others do not hold.
        if readers and tokens > 0:
            holdings.append(Holding(engine.instance, tokens))
        readers.append(engine)
        missing -= tokens
    if missing > 0 or len(readers) > MAX_HELPERS + 1:
        return None
    return _shared(profile, prompt, readers[0], readers, tuple(holdings))


def _long_readers(
    profile: EngineProfile, usable: tuple[EngineChoice, ...], prompt: Prompt
) -> list[EngineChoice]:
    """Return the engines that read a long prompt, by the least cost in all.

    More engines finish sooner, but each of them may have to be waited for, and stalls
    the answers that it writes.
    """
    ranked = sorted(usable, key=lambda e: _long_cost_s(profile, e))[: MAX_HELPERS + 1]
    if profile.read_s(prompt.tokens, len(ranked)) > TARGET_SHARE * prompt.target_s:
        limit_s = LIMIT_SHARE * prompt.limit_s
        return ranked[: profile.parts_within(prompt.tokens, limit_s, len(ranked))]
    late_s = LATE_COST * profile.read_s(prompt.tokens)
    best, best_s = 1, float("inf")
    waiting_s = side_s = 0.0
    for parts, engine in enumerate(ranked, 1):
        waiting_s = max(waiting_s, engine.load.reading_s)
        side_s += _side_cost_s(profile, engine)
        part_s = profile.read_s(prompt.tokens, parts)
        cost_s = waiting_s + part_s
        if cost_s > SAFE_TARGET_SHARE * prompt.target_s:
            cost_s += late_s
        if part_s > SMALL_PART_S:
            cost_s += side_s
        if cost_s < best_s:
            best, best_s = parts, cost_s
    return ranked[:best]


def _shared(
    profile: EngineProfile,
    prompt: Prompt,
    first: EngineChoice,
    readers: list[EngineChoice],
    holdings: tuple[Holding, ...] = (),
) -> Placement:
    helpers = tuple(e.instance for e in readers if e is not first)
    part_s = profile.read_s(prompt.tokens, len(readers))
    is_long = part_s > SMALL_PART_S
    return Placement(first.instance, helpers, part_s, is_long, holdings)


def _small_cost_s(profile: EngineProfile, engine: EngineChoice, tokens: int) -> float:
    load = engine.load
    cost_s = load.reading_s + load.requests * REQUEST_COST_S
    if engine.in_long_set:
        cost_s += LONG_SET_S
    if load.since_long_s < LONG_MEMORY_S:
        cost_s += LONG_NEIGHBOUR_S
    return cost_s + _full_cost_s(profile, engine, tokens)


def _long_cost_s(profile: EngineProfile, engine: EngineChoice) -> float:
    return engine.load.reading_s + _side_cost_s(profile, engine)


def _side_cost_s(profile: EngineProfile, engine: EngineChoice) -> float:
    """Return what a long prompt costs others on an engine, in seconds."""
    outside_s = 0.0 if engine.in_long_set else OUTSIDE_SET_S
    stalled_s = engine.load.requests * STALLED_REQUEST_S
    return outside_s + stalled_s + _full_cost_s(profile, engine, 0)


def _full_cost_s(profile: EngineProfile, engine: EngineChoice, tokens: int) -> float:
    load = engine.load
    is_full = load.requests >= profile.slots
    lacks_memory = load.tokens + tokens > profile.kv_tokens
    return FULL_COST_S * (is_full + lacks_memory)


def _free_tokens(profile: EngineProfile, engine: EngineChoice) -> int:
    return max(0, int(USABLE_MEMORY * (profile.kv_tokens - engine.load.tokens)))
