"""Forecast of how far engines have come with the short prompts given to them.

An engine tells only when a prompt is done. Between two such moments its progress is
taken from its nominal rate, so that the next prompt can be sent just before the engine
runs out of work, and waits in the node, in fair order, until then.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Anchor:
    """Prompts of one engine that are not done.

    Attributes:
        outstanding_tokens: Their whole length, in tokens.
        rate: Nominal prompt processing rate, in tokens per second.
        since_s: When the engine would have begun on them.
    """

    outstanding_tokens: int
    rate: float
    since_s: float

    def done_tokens(self, now_s: float) -> float:
        """Return the part that is done by now, in tokens."""
        done = self.rate * (now_s - self.since_s)
        return min(float(self.outstanding_tokens), max(0.0, done))


class PrefillForecast:
    """Progress by upstream name."""

    def __init__(self) -> None:
        self.anchors: dict[str, Anchor] = {}

    def observe(
        self, upstream: str, outstanding_tokens: int, rate: float, now_s: float
    ) -> None:
        """Take in the length of the prompts that an engine has not done."""
        known = self.anchors.get(upstream)
        if outstanding_tokens <= 0:
            self.anchors.pop(upstream, None)
        elif known is None or outstanding_tokens < known.outstanding_tokens:
            # A prompt is done, so the engine begins on the next one now.
            self.anchors[upstream] = Anchor(outstanding_tokens, rate, now_s)
        elif outstanding_tokens > known.outstanding_tokens:
            since_s = now_s - known.done_tokens(now_s) / rate
            self.anchors[upstream] = Anchor(outstanding_tokens, rate, since_s)

    def done(self, now_s: float) -> dict[str, float]:
        """Return the tokens done but not reported, by upstream name."""
        return {
            # Written out, because each decision does this for every busy upstream.
            name: min(entry.outstanding_tokens, entry.rate * (now_s - entry.since_s))
            for name, entry in self.anchors.items()
        }
