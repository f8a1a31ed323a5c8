"""Delivery of an attempt's chunks in order, without repeating text already sent."""

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from returns.result import Failure, Result, Success

from lagoonhinge_core.answer_text import AnswerDiffers, AnswerText
from lagoonhinge_core.chunk_sequence import ChunkSequence, SequenceGap
from lagoonhinge_core.engine_messages import EngineChunk, Usage
from lagoonhinge_core.upstream_errors import Broken


class AnswerSink(Protocol):
    """Receiver of the answer's text."""

    async def write(self, text: str) -> None:
        """Write the next part of the answer."""

    def restart(self) -> bool:
        """Discard the text written; return whether none of it was passed on."""


@dataclass(frozen=True)
class Finished:
    """End of a complete answer."""

    finish: str
    usage: Usage


RelayFault: TypeAlias = Broken | AnswerDiffers


async def deliver(
    chunks: tuple[EngineChunk, ...],
    sequence: ChunkSequence,
    text: AnswerText,
    sink: AnswerSink,
) -> Result[Finished, RelayFault] | None:
    """Write the text of the chunks that are in order.

    Returns:
        The end of the answer, a fault, or `None` if more chunks are to come.
    """
    new_texts: list[str] = []
    last_chunk: EngineChunk | None = None
    for chunk in chunks:
        in_order = sequence.accept(chunk)
        if isinstance(in_order, SequenceGap):
            return Failure(Broken(in_order.reason))
        for ready_chunk in in_order:
            new_text = text.accept(ready_chunk.text)
            if isinstance(new_text, AnswerDiffers):
                return Failure(new_text)
            new_texts.append(new_text)
            last_chunk = ready_chunk if ready_chunk.finish is not None else last_chunk
    joined = "".join(new_texts)
    if joined:
        await sink.write(joined)
    if last_chunk is None:
        return None
    if not text.is_fully_repeated():
        return Failure(AnswerDiffers(text.repeated_chars))
    assert last_chunk.finish is not None
    return Success(Finished(last_chunk.finish, last_chunk.usage or Usage(0, 0)))
