"""Token estimates from body bytes, corrected by the usage reported by engines."""

from dataclasses import dataclass

CORRECTION_WEIGHT = 0.05  # limits the effect of one outlier
MIN_BYTES_PER_TOKEN = 0.5
MAX_BYTES_PER_TOKEN = 16.0


@dataclass(frozen=True)
class TokenEstimate:
    """Estimated work of one request, in tokens."""

    prompt_tokens: int
    output_tokens: int

    def total(self) -> int:
        """Return prompt and output tokens together."""
        return self.prompt_tokens + self.output_tokens


class TokenEstimator:
    """Estimates the prompt length of each model from its bytes per token.

    Args:
        bytes_per_token: Configured initial value by model name, in bytes per token.
    """

    def __init__(self, bytes_per_token: dict[str, float]):
        self.bytes_per_token = dict(bytes_per_token)

    def reconfigure(self, bytes_per_token: dict[str, float]) -> None:
        """Set the models; those that exist already keep their corrected value."""
        corrected = self.bytes_per_token
        self.bytes_per_token = {
            model: corrected.get(model, value)
            for model, value in bytes_per_token.items()
        }

    def estimate(
        self, model: str, prompt_bytes: int, max_output_tokens: int
    ) -> TokenEstimate:
        """Return the estimated work of a prompt of `prompt_bytes` UTF-8 bytes."""
        prompt_tokens = max(1, round(prompt_bytes / self.bytes_per_token[model]))
        return TokenEstimate(prompt_tokens, max_output_tokens)

    def correct(self, model: str, prompt_bytes: int, prompt_tokens: int) -> None:
        """Move the model's value towards the usage reported for one prompt."""
        if prompt_tokens <= 0 or model not in self.bytes_per_token:
            return
        measured = prompt_bytes / prompt_tokens
        measured = min(MAX_BYTES_PER_TOKEN, max(MIN_BYTES_PER_TOKEN, measured))
        old = self.bytes_per_token[model]
        self.bytes_per_token[model] = old + CORRECTION_WEIGHT * (measured - old)
