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

    def restart(self) -> None:
        """Expect the answer from its beginning."""
        self.to_repeat = "".join(self.delivered)
        self.delivered = [self.to_repeat]

    def accept(self, text: str) -> str | AnswerDiffers:
        """Return the part of `text` that is new."""
        if self.to_repeat:
            common = min(len(text), len(self.to_repeat))
            if text[:common] != self.to_repeat[:common]:
                return AnswerDiffers(len(self.delivered[0]) - len(self.to_repeat))
            self.to_repeat = self.to_repeat[common:]
            text = text[common:]
        if text:
            self.delivered.append(text)
        return text

    def all_repeated(self) -> bool:
        """Return whether everything delivered was seen again."""
        return not self.to_repeat
