"""Text already delivered to the caller, and its comparison with a repeated attempt."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AnswerDiffers:
    """A repeated attempt generated other text than was delivered.

    Attributes:
        offset: Characters repeated before the text that differs.
    """

    offset: int


class AnswerText:
    """Returns only text that has not been delivered yet.

    A second attempt starts from the beginning. Its text is compared with the delivered
    text, so that a caller never receives parts of two different answers.
    """

    def __init__(self) -> None:
        self.delivered: list[str] = []
        self.expected = ""
        self.repeated_chars = 0

    def restart(self) -> None:
        """Expect the answer from its beginning."""
        self.expected = "".join(self.delivered)
        self.delivered = [self.expected]
        self.repeated_chars = 0

    def reset(self) -> None:
        """Expect the answer from its beginning, with nothing delivered yet."""
        self.delivered = []
        self.restart()

    def accept(self, text: str) -> str | AnswerDiffers:
        """Return the part of `text` that is new."""
        if not self.is_fully_repeated():
            end = self.repeated_chars + len(text)
            expected_part = self.expected[self.repeated_chars : end]
            if not text.startswith(expected_part):
                return AnswerDiffers(self.repeated_chars)
            self.repeated_chars += len(expected_part)
            text = text[len(expected_part) :]
        if text:
            self.delivered.append(text)
        return text

    def is_fully_repeated(self) -> bool:
        """Return whether the attempt has repeated all delivered text."""
        return self.repeated_chars >= len(self.expected)
