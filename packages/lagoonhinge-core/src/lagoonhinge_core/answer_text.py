"""Text already given to the caller, and its check against a repeated attempt."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AnswerDiffers:
    """A repeated attempt gave another text than the one already delivered."""

    offset: int


class AnswerText:
    """Passes on only text that was not delivered before.

    A second attempt starts from the beginning; what it repeats is compared with
    the delivered text, so that a caller never sees two answers joined.
    """

    def __init__(self) -> None:
        self.delivered: list[str] = []
        self.to_repeat = ""
        self.repeated = 0

    def restart(self) -> None:
        """Expect the answer from its beginning."""
        self.to_repeat = "".join(self.delivered)
        self.delivered = [self.to_repeat]
        self.repeated = 0

    def forget(self) -> None:
        """Expect the answer from its beginning, with nothing delivered yet."""
        self.delivered = []
        self.restart()

    def accept(self, text: str) -> str | AnswerDiffers:
        """Return the part of `text` that is new."""
        if not self.all_repeated():
            end = self.repeated + len(text)
            common = self.to_repeat[self.repeated : end]
            if not text.startswith(common):
                return AnswerDiffers(self.repeated)
            self.repeated += len(common)
            text = text[len(common) :]
        if text:
            self.delivered.append(text)
        return text

    def all_repeated(self) -> bool:
        """Return whether everything delivered was seen again."""
        return self.repeated >= len(self.to_repeat)
