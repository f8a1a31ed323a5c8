"""Reordering of the chunks of one attempt; chunks of other attempts are dropped."""

from dataclasses import dataclass

from lagoonhinge_core.engine_messages import EngineChunk

MAX_BUFFERED_CHUNKS = 256  # with more, the missing chunk counts as lost


@dataclass(frozen=True)
class SequenceGap:
    """The stream lacks a chunk."""

    reason: str


class ChunkSequence:
    """Accepts chunks in any order and returns them in sequence, each once.

    Args:
        attempt: The only attempt whose chunks are accepted.
        next_seq: Position of the first chunk to return.
    """

    def __init__(self, attempt: str, next_seq: int = 0):
        self.attempt = attempt
        self.next_seq = next_seq
        self.buffered: dict[int, EngineChunk] = {}
        self.finished = False

    def accept(self, chunk: EngineChunk) -> tuple[EngineChunk, ...] | SequenceGap:
        """Accept one chunk and return those that are now in order.

        Args:
            chunk: A chunk as it arrived.

        Returns:
            Chunks in sequence, perhaps none, or `SequenceGap` if a chunk is lost.
        """
        if chunk.attempt != self.attempt:
            return ()
        if self.finished or chunk.seq < self.next_seq or chunk.seq in self.buffered:
            return ()
        if chunk.seq == self.next_seq and not self.buffered:
            self.next_seq += 1
            self.finished = chunk.finish is not None
            return (chunk,)
        self.buffered[chunk.seq] = chunk
        if len(self.buffered) > MAX_BUFFERED_CHUNKS:
            return SequenceGap(f"chunk {self.next_seq} of {self.attempt} is missing")
        return self._pop_ready()

    def _pop_ready(self) -> tuple[EngineChunk, ...]:
        ready: list[EngineChunk] = []
        while not self.finished and self.next_seq in self.buffered:
            chunk = self.buffered.pop(self.next_seq)
            self.next_seq += 1
            ready.append(chunk)
            self.finished = chunk.finish is not None
        return tuple(ready)
