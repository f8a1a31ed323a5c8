"""How long a model engine works on a prompt, from the speeds it is configured with.

An engine works in passes. A pass that serves answers makes `stride` steps, each of
which yields a token of every answer and reads up to `chunk` tokens of waiting prompts.
Whatever is read in a pass therefore delays every answer that is written beside it.
"""

from dataclasses import dataclass
from math import ceil

MILLION = 1_000_000.0
MAX_HELPERS = 16  # limit of the engines' protocol


@dataclass(frozen=True)
class EngineProfile:
    """Speed and memory of the engines of one service.

    Attributes:
        slots: Requests that an engine serves at once.
        kv_tokens: Memory, in tokens.
        step_s: Time of one step, in seconds.
        read_tokens_per_s: Prompt processing rate, in tokens per second.
        pairs_s_per_million: Attention cost of a million pairs of a token and an
            earlier one, in seconds.
        chunk: Most prompt tokens read in one step.
        stride: Steps of a pass that serves answers.
    """

    slots: int
    kv_tokens: int
    step_s: float
    read_tokens_per_s: float
    pairs_s_per_million: float
    chunk: int
    stride: int

    def read_s(self, prompt_tokens: int, parts: int = 1) -> float:
        """Return the time that one of several equal parts of a prompt takes to read.

        Args:
            prompt_tokens: Length of the whole prompt, in tokens.
            parts: Engines that share the prompt.

        Returns:
            Seconds of the engine's time.
        """
        pairs = prompt_tokens * prompt_tokens / 2 / MILLION
        steps = prompt_tokens / self.chunk
        whole_s = prompt_tokens / self.read_tokens_per_s + steps * self.step_s
        whole_s += pairs * self.pairs_s_per_million
        return whole_s / parts

    def pass_s(self, prompt_tokens: int, parts: int = 1) -> float:
        """Return the time for which one pass reads a part of a prompt, in seconds.

        Args:
            prompt_tokens: Length of the whole prompt, in tokens.
            parts: Engines that share the prompt.
        """
        part_tokens = prompt_tokens / parts
        share = min(1.0, self.stride * self.chunk / part_tokens) if part_tokens else 0.0
        return share * self.read_s(prompt_tokens, parts)

    def parts_within(self, prompt_tokens: int, limit_s: float, most: int) -> int:
        """Return the fewest parts that are each read within a limit.

        Args:
            prompt_tokens: Length of the whole prompt, in tokens.
            limit_s: Wanted time of one part, in seconds.
            most: Most parts; returned if no number of parts suffices.
        """
        needed = ceil(self.read_s(prompt_tokens) / limit_s)
        return max(1, min(needed, most, MAX_HELPERS + 1))
