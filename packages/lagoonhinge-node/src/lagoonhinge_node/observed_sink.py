"""Answer sink with a callback before the first write."""

from collections.abc import Callable

from lagoonhinge_node.answer_relay import AnswerSink


class ObservedSink:
    """Forwards an answer to another sink.

    Args:
        sink: Receives the answer.
        on_first_write: Called once, before the first write is forwarded.
    """

    def __init__(self, sink: AnswerSink, on_first_write: Callable[[], None]):
        self.sink = sink
        self.on_first_write = on_first_write
        self.has_started = False

    async def write(self, text: str) -> None:
        """Write the next part of the answer."""
        if not self.has_started:
            self.has_started = True
            self.on_first_write()
        await self.sink.write(text)

    def restart(self) -> bool:
        """Discard the text written; return whether none of it was passed on."""
        return self.sink.restart()
