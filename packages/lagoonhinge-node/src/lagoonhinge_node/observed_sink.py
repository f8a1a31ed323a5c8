"""A sink that tells when the first part of an answer arrives."""

from collections.abc import Callable

from lagoonhinge_node.answer_relay import AnswerSink


class ObservedSink:
    """Passes an answer on to another sink.

    Args:
        sink: Takes the answer.
        on_first_part: Called once, before the first part is passed on.
    """

    def __init__(self, sink: AnswerSink, on_first_part: Callable[[], None]):
        self.sink = sink
        self.on_first_part = on_first_part
        self.has_started = False

    async def write(self, text: str) -> None:
        """Take the next part of the answer."""
        if not self.has_started:
            self.has_started = True
            self.on_first_part()
        await self.sink.write(text)

    def restart(self) -> bool:
        """Forget what was taken; returns whether nothing of it was passed on."""
        return self.sink.restart()
