"""Rates and predictions by which a node admits, queues and refuses work."""

from dataclasses import dataclass
from math import exp

DRAIN_MEMORY_S = 10.0
DEMAND_MEMORY_S = 5.0
FINISH_GAIN = 0.05
FINISH_MEMORY_S = 60.0
FINISH_MARGIN_S = 0.1
SLOWEST_TOKEN_S = 0.2
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 120.0
NEGLIGIBLE_TOKENS_PER_S = 1.0
MAX_PUBLISHED_ACCOUNTS = 32  # keeps a digest small; others claim the least


@dataclass(frozen=True)
class Prediction:
    """When a request would be answered.

    Attributes:
        start_s: Time until it is dispatched, in seconds.
        prefill_s: Time that its own prompt takes, in seconds.
        finish_s: Time that its answer takes after that, in seconds.
    """

    start_s: float
    prefill_s: float
    finish_s: float = 0.0

    def late_by_s(self, remaining_s: float) -> float:
        """Return by how much the bound is missed, in seconds; negative if met."""
        return self.start_s + self.prefill_s + self.finish_s - remaining_s


def retry_after_s(late_by_s: float) -> float:
    """Return when to come back, given by how much the bound would be missed."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, late_by_s))


class DrainRate:
    """Rate at which a lane's queue is dispatched, learned while there is a queue."""

    def __init__(self) -> None:
        self.tokens_per_s = 0.0
        self.dispatched_tokens = 0
        self.was_waiting = False

    def note(self, tokens: int) -> None:
        """Count dispatched work."""
        self.dispatched_tokens += tokens

    def tick(self, elapsed_s: float, is_waiting: bool, nominal: float) -> None:
        """Learn from the time since the last tick.

        Args:
            elapsed_s: Time since the last tick, in seconds.
            is_waiting: Whether work is in line now.
            nominal: Rate to assume while there is no queue, in tokens per second.
        """
        seen = self.dispatched_tokens / elapsed_s
        self.dispatched_tokens = 0
        if self.tokens_per_s == 0.0 or not (is_waiting or self.was_waiting):
            self.tokens_per_s = nominal
        elif is_waiting and self.was_waiting:
            keep = exp(-elapsed_s / DRAIN_MEMORY_S)
            self.tokens_per_s = keep * self.tokens_per_s + (1.0 - keep) * seen
        self.was_waiting = is_waiting

    def wait_s(self, tokens_ahead: float) -> float:
        """Return how long work ahead takes to be dispatched, in seconds."""
        if tokens_ahead <= 0:
            return 0.0
        return tokens_ahead / max(NEGLIGIBLE_TOKENS_PER_S, self.tokens_per_s)


class FinishTime:
    """Time that answers take after their prompts for each output token, learned.

    Long answers weigh more than short ones. One that hung counts as at most a slow
    one, and what was learned fades, so that refusals never keep themselves up.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.tokens = 0.0

    def note(self, after_prompt_s: float, output_tokens: int) -> None:
        """Take in one answer."""
        seconds = min(after_prompt_s, SLOWEST_TOKEN_S * output_tokens)
        self.seconds += FINISH_GAIN * (seconds - self.seconds)
        self.tokens += FINISH_GAIN * (output_tokens - self.tokens)

    def tick(self, elapsed_s: float) -> None:
        """Let what was learned fade, given the time since the last tick."""
        self.seconds *= exp(-elapsed_s / FINISH_MEMORY_S)

    def after_prompt_s(self, output_tokens: int) -> float:
        """Return how long an answer takes after its prompt, in seconds."""
        if self.tokens <= 0:
            return FINISH_MARGIN_S
        return FINISH_MARGIN_S + output_tokens * self.seconds / self.tokens


class DemandMeter:
    """Offered load by key, as an exponential average in tokens per second."""

    def __init__(self) -> None:
        self.offered_tokens: dict[str, int] = {}
        self.tokens_per_s: dict[str, float] = {}

    def note(self, key: str, tokens: int) -> None:
        """Count one request's work, whether it is admitted or not."""
        self.offered_tokens[key] = self.offered_tokens.get(key, 0) + tokens

    def tick(self, elapsed_s: float) -> None:
        """Average over the time since the last tick, in seconds."""
        keep = exp(-elapsed_s / DEMAND_MEMORY_S)
        averaged: dict[str, float] = {}
        for key in self.tokens_per_s.keys() | self.offered_tokens.keys():
            seen = self.offered_tokens.get(key, 0) / elapsed_s
            rate = keep * self.tokens_per_s.get(key, 0.0) + (1.0 - keep) * seen
            if rate >= NEGLIGIBLE_TOKENS_PER_S:
                averaged[key] = rate
        self.tokens_per_s = averaged
        self.offered_tokens = {}

    def greatest(self) -> dict[str, float]:
        """Return the keys with the greatest load, as many as a digest carries."""
        rates = self.tokens_per_s
        if len(rates) <= MAX_PUBLISHED_ACCOUNTS:
            return {key: round(rate) for key, rate in rates.items()}
        ordered = sorted(rates.items(), key=lambda entry: -entry[1])
        return {key: round(rate) for key, rate in ordered[:MAX_PUBLISHED_ACCOUNTS]}
