"""Estimate of the prefill progress of engines with short prompts.

An engine reports only the end of each prefill. In between, progress is estimated from
the nominal rate, so that a prompt waits in the node's fair queue and is dispatched just
before the engine runs out of work.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PrefillProgress:
    """Unfinished prefill work of one engine.

    Attributes:
        outstanding_tokens: Total length of the unfinished prompts, in tokens.
        tokens_per_s: Nominal prefill rate, in tokens per second.
        since_s: Estimated start of the prefill, in seconds.
    """

    outstanding_tokens: int
    tokens_per_s: float
    since_s: float

    def prefilled_tokens(self, now_s: float) -> float:
        """Return the estimated number of processed tokens."""
        prefilled_tokens = self.tokens_per_s * (now_s - self.since_s)
        return min(float(self.outstanding_tokens), max(0.0, prefilled_tokens))


class PrefillForecast:
    """Estimated prefill progress by upstream name."""

    def __init__(self) -> None:
        self.progress: dict[str, PrefillProgress] = {}

    def update(
        self, upstream: str, outstanding_tokens: int, tokens_per_s: float, now_s: float
    ) -> None:
        """Set the total length of the unfinished prompts of an engine."""
        previous = self.progress.get(upstream)
        if outstanding_tokens <= 0:
            self.progress.pop(upstream, None)
        elif previous is None or outstanding_tokens < previous.outstanding_tokens:
            # A prefill has ended, so the next one starts now.
            self.progress[upstream] = PrefillProgress(
                outstanding_tokens, tokens_per_s, now_s
            )
        elif outstanding_tokens > previous.outstanding_tokens:
            since_s = now_s - previous.prefilled_tokens(now_s) / tokens_per_s
            self.progress[upstream] = PrefillProgress(
                outstanding_tokens, tokens_per_s, since_s
            )

    def prefilled_tokens(self, now_s: float) -> dict[str, float]:
        """Return the estimated number of processed tokens by upstream name."""
        return {
            # Inlined, as each decision computes this for every busy upstream.
            name: min(
                engine.outstanding_tokens,
                engine.tokens_per_s * (now_s - engine.since_s),
            )
            for name, engine in self.progress.items()
        }
