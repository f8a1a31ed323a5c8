"""Which engines read a prompt, which one answers it, and which ones hold its memory.

Long prompts are read by several engines at once, each a part. What an engine reads in
a pass delays the answers it writes meanwhile, so long prompts go to a part of the
engines, the same on all nodes, and short prompts keep away from these while long ones
are about. When no long ones come, short prompts use all engines. A prompt that is
larger than the free memory of any engine is held by several of them.
"""

from dataclasses import dataclass

from lagoonhinge_core.forwarding.engine_time import EngineProfile
from lagoonhinge_core.forwarding.load_book import Load

LONG_READ_S = 0.12  # reads beyond this lengthen a pass to over half a 250 ms pause
LONG_PART_S = 0.08  # a part that a pass of some 45 ms takes in unnoticed
TARGET_SHARE = 0.35  # of the time to the first event, for reading a part
LONG_SHARE = 0.5  # of the engines, which read long prompts
LONG_MEMORY_S = 1.5  # for which an engine counts as busy with long prompts
LONG_NEIGHBOUR_S = 0.1  # cost of a short prompt beside long ones, in seconds
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
    """

    instance: str
    load: Load
    suspect: bool = False


@dataclass(frozen=True)
class Prompt:
    """What placement needs to know of a prompt.

    Attributes:
        tokens: Its length, in tokens.
        answer_tokens: Longest answer, in tokens.
        target_s: Wanted time to its first event, in seconds.
    """

    tokens: int
    answer_tokens: int
    target_s: float

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
    whole_s = profile.read_s(prompt.tokens)
    if whole_s <= LONG_READ_S:
        chosen = min(usable, key=lambda e: _short_cost(profile, e, prompt))
        return Placement(chosen.instance, (), whole_s, False)
    if prompt.size() > USABLE_MEMORY * profile.kv_tokens:
        return _place_huge(profile, usable, prompt)
    return _place_long(profile, usable, prompt)


def _place_long(
    profile: EngineProfile, usable: tuple[EngineChoice, ...], prompt: Prompt
) -> Placement:
    share = max(1, round(len(usable) * LONG_SHARE))
    parts = profile.parts_within(prompt.tokens, LONG_PART_S, share)
    limit_s = prompt.target_s * TARGET_SHARE
    if profile.read_s(prompt.tokens, parts) > limit_s:
        parts = profile.parts_within(prompt.tokens, limit_s, len(usable))
        parts = max(parts, share)
    pool = usable[:share] if parts <= share else usable
    readers = sorted(pool, key=lambda e: e.load.reading_s + _full_cost(profile, e, 0))
    readers = readers[:parts]
    first = min(
        readers, key=lambda e: (_full_cost(profile, e, prompt.size()), e.load.tokens)
    )
    return _shared(profile, prompt, first, readers)


def _place_huge(
    profile: EngineProfile, usable: tuple[EngineChoice, ...], prompt: Prompt
) -> Placement | None:
    """Place a prompt that is held by several engines and read by most of them."""
    limit_s = prompt.target_s * TARGET_SHARE
    parts = profile.parts_within(prompt.tokens, limit_s, len(usable))
    emptiest = sorted(usable, key=lambda e: e.load.tokens)
    first, *others = emptiest[:parts]
    missing = prompt.size() - _free_tokens(profile, first)
    holdings: list[Holding] = []
    for engine in others:
        if missing <= 0:
            break
        tokens = min(missing, _free_tokens(profile, engine))
        if tokens > 0:
            holdings.append(Holding(engine.instance, tokens))
            missing -= tokens
    if missing > 0:
        return None
    return _shared(profile, prompt, first, [first, *others], tuple(holdings))


def _shared(
    profile: EngineProfile,
    prompt: Prompt,
    first: EngineChoice,
    readers: list[EngineChoice],
    holdings: tuple[Holding, ...] = (),
) -> Placement:
    helpers = tuple(e.instance for e in readers if e is not first)
    part_s = profile.read_s(prompt.tokens, len(readers))
    return Placement(first.instance, helpers, part_s, True, holdings)


def _short_cost(profile: EngineProfile, engine: EngineChoice, prompt: Prompt) -> float:
    load = engine.load
    cost_s = load.reading_s + load.requests * REQUEST_COST_S
    if load.since_long_s < LONG_MEMORY_S:
        cost_s += LONG_NEIGHBOUR_S
    return cost_s + _full_cost(profile, engine, prompt.size())


def _full_cost(profile: EngineProfile, engine: EngineChoice, tokens: int) -> float:
    load = engine.load
    is_full = load.requests >= profile.slots
    lacks_memory = load.tokens + tokens > profile.kv_tokens
    return FULL_COST_S * (is_full + lacks_memory)


def _free_tokens(profile: EngineProfile, engine: EngineChoice) -> int:
    return max(0, int(USABLE_MEMORY * (profile.kv_tokens - engine.load.tokens)))
