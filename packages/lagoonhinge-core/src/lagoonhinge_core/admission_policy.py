"""Rates and predictions for admission, queueing and refusal of requests."""

from dataclasses import dataclass
from math import exp

DISPATCH_TIME_CONSTANT_S = 10.0
DEMAND_TIME_CONSTANT_S = 5.0
DECODE_GAIN = 0.05  # weight of one answer in the moving average
DECODE_TIME_CONSTANT_S = 60.0
DECODE_MARGIN_S = 0.1  # added to every estimate
MAX_SECONDS_PER_TOKEN = 0.2
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 120.0
NEGLIGIBLE_TOKENS_PER_S = 1.0
MAX_PUBLISHED_ACCOUNTS = 32  # bounds the digest; others get the minimum weight


@dataclass(frozen=True)
class Prediction:
    """Predicted times of a request.

    Attributes:
        queue_s: Time until dispatch, in seconds.
        prefill_s: Prefill time of its own prompt, in seconds.
        decode_s: Time from the end of prefill to the end of the answer, in seconds.
    """

    queue_s: float
    prefill_s: float
    decode_s: float = 0.0

    def late_by_s(self, remaining_s: float) -> float:
        """Return by how much the deadline is missed, in seconds; negative if met."""
        return self.queue_s + self.prefill_s + self.decode_s - remaining_s


def retry_after_s(late_by_s: float) -> float:
    """Return the retry delay for a deadline that would be missed, in seconds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, late_by_s))


class DispatchRate:
    """Dispatch rate of a lane's queue, measured while requests are queued."""

    def __init__(self) -> None:
        self.tokens_per_s = 0.0
        self.dispatched_tokens = 0
        self.was_waiting = False

    def record(self, tokens: int) -> None:
        """Add dispatched work, in tokens."""
        self.dispatched_tokens += tokens

    def tick(
        self, elapsed_s: float, is_waiting: bool, nominal_tokens_per_s: float
    ) -> None:
        """Update the rate from the work dispatched since the last tick.

        Args:
            elapsed_s: Time since the last tick, in seconds.
            is_waiting: Whether requests are queued now.
            nominal_tokens_per_s: Rate while the queue is empty, in tokens per second.
        """
        measured = self.dispatched_tokens / elapsed_s
        self.dispatched_tokens = 0
        if self.tokens_per_s == 0.0 or not (is_waiting or self.was_waiting):
            self.tokens_per_s = nominal_tokens_per_s
        elif is_waiting and self.was_waiting:
            decay = exp(-elapsed_s / DISPATCH_TIME_CONSTANT_S)
            self.tokens_per_s = decay * self.tokens_per_s + (1.0 - decay) * measured
        self.was_waiting = is_waiting

    def wait_s(self, tokens_ahead: float) -> float:
        """Return the time to dispatch the work ahead, in seconds."""
        if tokens_ahead <= 0:
            return 0.0
        return tokens_ahead / max(NEGLIGIBLE_TOKENS_PER_S, self.tokens_per_s)


class DecodeTimeEstimate:
    """Moving average of the time per output token after prefill.

    Long answers weigh more than short ones. The time of a stalled answer is capped
    and the average decays, so that high estimates don't cause refusals for ever.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.tokens = 0.0

    def record(self, decode_s: float, output_tokens: int) -> None:
        """Add one finished answer."""
        seconds = min(decode_s, MAX_SECONDS_PER_TOKEN * output_tokens)
        self.seconds += DECODE_GAIN * (seconds - self.seconds)
        self.tokens += DECODE_GAIN * (output_tokens - self.tokens)

    def tick(self, elapsed_s: float) -> None:
        """Decay the average by the time since the last tick, in seconds."""
        self.seconds *= exp(-elapsed_s / DECODE_TIME_CONSTANT_S)

    def estimate_s(self, output_tokens: int) -> float:
        """Return the estimated time of an answer after prefill, in seconds."""
        if self.tokens <= 0:
            return DECODE_MARGIN_S
        return DECODE_MARGIN_S + output_tokens * self.seconds / self.tokens


class DemandMeter:
    """Offered load by key, as an exponential average in tokens per second."""

    def __init__(self) -> None:
        self.offered_tokens: dict[str, int] = {}
        self.tokens_per_s: dict[str, float] = {}

    def record(self, key: str, tokens: int) -> None:
        """Add one request's tokens, whether it is admitted or not."""
        self.offered_tokens[key] = self.offered_tokens.get(key, 0) + tokens

    def tick(self, elapsed_s: float) -> None:
        """Update the averages with the tokens since the last tick.

        Args:
            elapsed_s: Time since the last tick, in seconds.
        """
        decay = exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        averaged: dict[str, float] = {}
        for key in self.tokens_per_s.keys() | self.offered_tokens.keys():
            measured = self.offered_tokens.get(key, 0) / elapsed_s
            rate = decay * self.tokens_per_s.get(key, 0.0) + (1.0 - decay) * measured
            if rate >= NEGLIGIBLE_TOKENS_PER_S:
                averaged[key] = rate
        self.tokens_per_s = averaged
        self.offered_tokens = {}

    def highest_rates(self) -> dict[str, float]:
        """Return the keys with the highest rates, as many as a digest carries."""
        rates = self.tokens_per_s
        if len(rates) <= MAX_PUBLISHED_ACCOUNTS:
            return {key: round(rate) for key, rate in rates.items()}
        ordered = sorted(rates.items(), key=lambda entry: -entry[1])
        return {key: round(rate) for key, rate in ordered[:MAX_PUBLISHED_ACCOUNTS]}
