"""Length classes of reported times; placement uses its own boundary."""

from enum import StrEnum

MAX_SHORT_TOKENS = 4_000
MAX_MIDDLE_TOKENS = 32_000
MAX_LONG_TOKENS = 100_000


class LengthClass(StrEnum):
    """Length class of a prompt."""

    SHORT = "short"
    MIDDLE = "middle"
    LONG = "long"
    VERY_LONG = "very_long"


def length_class(prompt_tokens: int) -> LengthClass:
    """Return the class of a prompt of `prompt_tokens` tokens."""
    if prompt_tokens <= MAX_SHORT_TOKENS:
        return LengthClass.SHORT
    if prompt_tokens <= MAX_MIDDLE_TOKENS:
        return LengthClass.MIDDLE
    if prompt_tokens <= MAX_LONG_TOKENS:
        return LengthClass.LONG
    return LengthClass.VERY_LONG
