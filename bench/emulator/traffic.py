"""Requests of an emulated run: kinds of prompts, and arrival rates over time."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import exp
from random import Random

from lagoonhinge_core.forwarding.engine_time import EngineProfile


@dataclass(frozen=True)
class PromptKind:
    """Kind of prompt, with the time limits and the value of its answers.

    Attributes:
        name: Name in results.
        rate_per_s: Arrival rate for each engine, in requests per second.
        mean_prompt_tokens: Mean length, in tokens.
        length_sigma: Standard deviation of the logarithm of the length.
        max_prompt_tokens: Longest prompt, in tokens.
        mean_answer_events: Mean number of events of an answer.
        answer_length_sigma: Standard deviation of the logarithm of that number.
        target_s: Target time to the first event, in seconds.
        time_limit_s: Time limit of the whole answer, in seconds.
        gap_limit_s: Longest gap between events of an answer in time, in seconds.
        value: Value of an answer in time to a prompt of mean length.
        late_value: Value of a late one.
    """

    name: str
    rate_per_s: float
    mean_prompt_tokens: float
    length_sigma: float
    max_prompt_tokens: float
    mean_answer_events: float
    answer_length_sigma: float
    target_s: float
    time_limit_s: float
    gap_limit_s: float
    value: float
    late_value: float

    def value_factor(self, prompt_tokens: int) -> float:
        """Return the factor of the value for a prompt's length."""
        relative_length = prompt_tokens / self.mean_prompt_tokens
        return min(
            MAX_VALUE_FACTOR,
            FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * relative_length,
        )


# The value of an answer has a fixed share; the rest grows with its prompt's length.
FIXED_VALUE_SHARE = 0.3
MAX_VALUE_FACTOR = 4.0

# Speed and memory in the configuration of both users' engines.
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
    """Period with its own arrival rates.

    Attributes:
        duration_s: Duration, in seconds.
        rate_factors: Factors of the arrival rates of `KINDS`, in order.
    """

    duration_s: float
    rate_factors: tuple[float, float, float]


PATTERNS = {
    "steady": (Phase(30.0, (1.0, 1.0, 1.0)),),
    # Bursts of long and of short prompts alternate within seconds.
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
        at_s: Time of arrival, in seconds.
        kind: Kind of its prompt.
        prompt_tokens: Length of its prompt, in tokens.
        answer_events: Number of events of its answer.
    """

    at_s: float
    kind: PromptKind
    prompt_tokens: int
    answer_events: int


def arrivals(pattern: str, engines: int, seed: int, rate: float) -> list[Arrival]:
    """Return the requests of a run, in order of arrival.

    Args:
        pattern: One of `PATTERNS`.
        engines: Number of engines; rates are proportional to it.
        seed: Seed of the random numbers.
        rate: Factor of all arrival rates.
    """
    random = Random(seed)
    generated: list[Arrival] = []
    start_s = 0.0
    for phase in PATTERNS[pattern]:
        end_s = start_s + phase.duration_s
        for kind, factor in zip(KINDS, phase.rate_factors, strict=True):
            rate_per_s = kind.rate_per_s * factor * engines * rate
            generated.extend(_kind_arrivals(random, kind, rate_per_s, start_s, end_s))
        start_s = end_s
    return sorted(generated, key=lambda arrival: arrival.at_s)


def _kind_arrivals(
    random: Random, kind: PromptKind, rate_per_s: float, start_s: float, end_s: float
) -> Iterator[Arrival]:
    at_s = start_s + random.expovariate(rate_per_s)
    while at_s < end_s:
        tokens = _sample_lognormal(
            random, kind.mean_prompt_tokens, kind.length_sigma, kind.max_prompt_tokens
        )
        max_events = 2.5 * kind.mean_answer_events
        events = _sample_lognormal(
            random, kind.mean_answer_events, kind.answer_length_sigma, max_events
        )
        yield Arrival(at_s, kind, tokens, events)
        at_s += random.expovariate(rate_per_s)


def _sample_lognormal(
    random: Random, mean: float, length_sigma: float, maximum: float
) -> int:
    value = (
        mean
        * random.lognormvariate(0.0, length_sigma)
        / exp(length_sigma * length_sigma / 2)
    )
    return max(1, round(min(value, maximum)))
