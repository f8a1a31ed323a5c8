"""Prefill time of a prompt on a model engine, from the engine's configured speeds.

An engine works in passes. While it decodes answers, a pass has `steps_per_pass` steps.
Each step decodes one token of every answer and prefills up to `chunk_tokens` tokens of
waiting prompts, so prefill in a pass delays every answer that is decoded in it.
"""

from dataclasses import dataclass
from math import ceil

MILLION = 1_000_000.0
MAX_HELPERS = 16  # for one prompt; limit of the engine protocol


@dataclass(frozen=True)
class EngineProfile:
    """Speed and memory of the engines of one service.

    Attributes:
        slots: Requests that an engine serves concurrently.
        kv_tokens: Size of the KV cache, in tokens.
        step_s: Time of one step, in seconds.
        prefill_tokens_per_s: Prefill rate without attention, in tokens per second.
        attention_s_per_million_pairs: Attention time of a million pairs of a token and
            an earlier one, in seconds.
        chunk_tokens: Most prompt tokens prefilled in one step.
        steps_per_pass: Steps of a pass that decodes answers.
    """

    slots: int
    kv_tokens: int
    step_s: float
    prefill_tokens_per_s: float
    attention_s_per_million_pairs: float
    chunk_tokens: int
    steps_per_pass: int

    def prefill_s(self, prompt_tokens: int, engine_count: int = 1) -> float:
        """Return the time that each engine takes to prefill its part of a prompt.

        Args:
            prompt_tokens: Length of the whole prompt, in tokens.
            engine_count: Engines that prefill the prompt, in equal parts.

        Returns:
            Time on one engine, in seconds.
        """
        pairs = prompt_tokens * prompt_tokens / 2 / MILLION
        steps = prompt_tokens / self.chunk_tokens
        whole_s = prompt_tokens / self.prefill_tokens_per_s + steps * self.step_s
        whole_s += pairs * self.attention_s_per_million_pairs
        return whole_s / engine_count

    def pass_s(self, prompt_tokens: int, engine_count: int = 1) -> float:
        """Return the prefill time of one engine in one pass, in seconds.

        Args:
            prompt_tokens: Length of the whole prompt, in tokens.
            engine_count: Engines that prefill the prompt, in equal parts.
        """
        part_tokens = prompt_tokens / engine_count
        share = (
            min(1.0, self.steps_per_pass * self.chunk_tokens / part_tokens)
            if part_tokens
            else 0.0
        )
        return share * self.prefill_s(prompt_tokens, engine_count)

    def engines_needed(
        self, prompt_tokens: int, limit_s: float, max_engines: int
    ) -> int:
        """Return the fewest engines that together prefill a prompt within a limit.

        Args:
            prompt_tokens: Length of the whole prompt, in tokens.
            limit_s: Limit of the prefill time, in seconds.
            max_engines: Most engines; returned if no number of engines suffices.
        """
        needed = ceil(self.prefill_s(prompt_tokens) / limit_s)
        return max(1, min(needed, max_engines, MAX_HELPERS + 1))
