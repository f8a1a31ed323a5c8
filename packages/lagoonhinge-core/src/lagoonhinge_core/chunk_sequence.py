"""Putting the chunks of one attempt in order, and dropping those of any other."""

from dataclasses import dataclass

from lagoonhinge_core.engine_messages import EngineChunk

MAX_HELD_CHUNKS = 256  # a gap wider than this is a broken stream, not reordering


@dataclass(frozen=True)
class SequenceBroken:
    """The stream cannot become whole: what was seen and why."""

    reason: str


class ChunkSequence:
    """Accepts chunks in any order and gives them back in sequence, each once.

    Args:
        attempt: The only attempt whose chunks are accepted.
        next_seq: First position wanted.
    """

    def __init__(self, attempt: str, next_seq: int = 0):
        self.attempt = attempt
        self.next_seq = next_seq
        self.held: dict[int, EngineChunk] = {}
        self.finished = False

    def accept(self, chunk: EngineChunk) -> tuple[EngineChunk, ...] | SequenceBroken:
        """Take one chunk and return those that are now in order.

        Args:
            chunk: A chunk as it arrived.

        Returns:
            Chunks in sequence, perhaps none, or why the stream is broken.
        """
        if chunk.attempt != self.attempt:
            return ()
        if self.finished or chunk.seq < self.next_seq or chunk.seq in self.held:
            return ()
        if chunk.seq == self.next_seq and not self.held:
            self.next_seq += 1
            self.finished = chunk.finish is not None
            return (chunk,)
        self.held[chunk.seq] = chunk
        if len(self.held) > MAX_HELD_CHUNKS:
            return SequenceBroken(f"chunk {self.next_seq} of {self.attempt} is missing")
        return self._take_ready()

    def _take_ready(self) -> tuple[EngineChunk, ...]:
        ready: list[EngineChunk] = []
        while not self.finished and self.next_seq in self.held:
            chunk = self.held.pop(self.next_seq)
            self.next_seq += 1
            ready.append(chunk)
            self.finished = chunk.finish is not None
        return tuple(ready)
