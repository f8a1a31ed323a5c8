"""Requests of an emulated run: kinds of prompts, and rates that change with time."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import exp
from random import Random

from lagoonhinge_core.forwarding.engine_time import EngineProfile


@dataclass(frozen=True)
class PromptKind:
    """A kind of prompt, with what its callers want.

    Attributes:
        name: Name in results.
        per_s: Requests per second of one engine.
        prompt_tokens: Mean length, in tokens.
        spread: Standard deviation of the logarithm of the length.
        most_tokens: Longest prompt, in tokens.
        answer_events: Mean number of events of an answer.
        answer_spread: Standard deviation of the logarithm of that number.
        target_s: Wanted time to the first event, in seconds.
        limit_s: Time limit, in seconds.
        pause_s: Longest pause between events of an answer in time, in seconds.
        worth: Worth of an answer to a prompt of mean length in time.
        late_worth: Worth of a late one.
    """

    name: str
    per_s: float
    prompt_tokens: float
    spread: float
    most_tokens: float
    answer_events: float
    answer_spread: float
    target_s: float
    limit_s: float
    pause_s: float
    worth: float
    late_worth: float

    def weight(self, prompt_tokens: int) -> float:
        """Return the factor of worth for a prompt's length."""
        share = prompt_tokens / self.prompt_tokens
        return min(MOST_WEIGHT, FIXED_WEIGHT + (1 - FIXED_WEIGHT) * share)


# An answer's worth grows with its prompt's length beyond a fixed part.
FIXED_WEIGHT = 0.3
MOST_WEIGHT = 4.0

# Speeds and memory that both users' engines are configured with.
PROFILE = EngineProfile(8, 405_000, 0.00131, 154_000.0, 0.000162, 2048, 34)
# One engine's share of the two users' mean load.
KINDS = (
    PromptKind("short", 1.0, 4_960, 0.9, 23_800, 38.5, 0.7, 0.3, 10.0, 0.25, 1.3, 0.33),
    PromptKind(
        "medium", 0.056, 45_000, 0.5, 110_000, 23.1, 0.6, 1.5, 10.0, 0.6, 3.9, 0.97
    ),
    PromptKind(
        "long", 0.026, 182_000, 0.55, 900_000, 19.2, 0.5, 3.0, 15.0, 1.0, 24.0, 6.1
    ),
)


@dataclass(frozen=True)
class Phase:
    """A time with its own rates.

    Attributes:
        length_s: Duration, in seconds.
        factors: Factors of the rates of `KINDS`, in order.
    """

    length_s: float
    factors: tuple[float, float, float]


PATTERNS = {
    "steady": (Phase(30.0, (1.0, 1.0, 1.0)),),
    # Bursts of long and of short prompts take turns within seconds.
    "turnover": (
        Phase(9.5, (0.38, 1.3, 2.9)),
        Phase(0.5, (1.0, 1.0, 1.0)),
        Phase(9.5, (2.4, 0.5, 0.05)),
        Phase(1.5, (1.0, 1.0, 1.0)),
        Phase(9.5, (0.38, 1.3, 2.8)),
    ),
    "shorts": (Phase(5.0, (1.0, 1.0, 1.0)), Phase(15.0, (2.6, 1.0, 1.0))),
    "longs": (Phase(5.0, (1.0, 1.0, 1.0)), Phase(15.0, (0.4, 1.3, 3.0))),
    "all": (Phase(5.0, (1.0, 1.0, 1.0)), Phase(15.0, (2.0, 2.0, 2.0))),
}


@dataclass(frozen=True)
class Arrival:
    """One request.

    Attributes:
        at_s: When it arrives, in seconds.
        kind: Its kind.
        prompt_tokens: Length of its prompt, in tokens.
        answer_events: Events of its answer.
    """

    at_s: float
    kind: PromptKind
    prompt_tokens: int
    answer_events: int


def arrivals(pattern: str, engines: int, seed: int, rate: float) -> list[Arrival]:
    """Return the requests of a run, in order of time.

    Args:
        pattern: One of `PATTERNS`.
        engines: Number of engines, which the rates grow with.
        seed: Seed of the random numbers.
        rate: Factor of all rates.
    """
    random = Random(seed)
    found: list[Arrival] = []
    start_s = 0.0
    for phase in PATTERNS[pattern]:
        end_s = start_s + phase.length_s
        for kind, factor in zip(KINDS, phase.factors, strict=True):
            per_s = kind.per_s * factor * engines * rate
            found.extend(_of_kind(random, kind, per_s, start_s, end_s))
        start_s = end_s
    return sorted(found, key=lambda arrival: arrival.at_s)


def _of_kind(
    random: Random, kind: PromptKind, per_s: float, start_s: float, end_s: float
) -> Iterator[Arrival]:
    at_s = start_s + random.expovariate(per_s)
    while at_s < end_s:
        tokens = _length(random, kind.prompt_tokens, kind.spread, kind.most_tokens)
        most_events = 2.5 * kind.answer_events
        events = _length(random, kind.answer_events, kind.answer_spread, most_events)
        yield Arrival(at_s, kind, tokens, events)
        at_s += random.expovariate(per_s)


def _length(random: Random, mean: float, spread: float, most: float) -> int:
    value = mean * random.lognormvariate(0.0, spread) / exp(spread * spread / 2)
    return max(1, round(min(value, most)))
