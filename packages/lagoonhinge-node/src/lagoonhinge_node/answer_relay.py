"""Passing on an attempt's chunks: in order, each once, compared with what was sent."""

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from returns.result import Failure, Result, Success

from lagoonhinge_core.answer_text import AnswerDiffers, AnswerText
from lagoonhinge_core.chunk_sequence import ChunkSequence, SequenceGap
from lagoonhinge_core.engine_messages import EngineChunk, Usage
from lagoonhinge_core.upstream_errors import Broken


class AnswerSink(Protocol):
    """Where the answer's text goes."""

    async def write(self, text: str) -> None:
        """Take the next part of the answer."""

    def restart(self) -> bool:
        """Forget what was taken; returns whether nothing of it was passed on."""


@dataclass(frozen=True)
class Finished:
    """The answer is whole."""

    finish: str
    usage: Usage


RelayFault: TypeAlias = Broken | AnswerDiffers


async def deliver(
    arrived: tuple[EngineChunk, ...],
    sequence: ChunkSequence,
    text: AnswerText,
    sink: AnswerSink,
) -> Result[Finished, RelayFault] | None:
    """Pass on what is in order; returns the end, a fault, or `None` to go on."""
    new: list[str] = []
    end: EngineChunk | None = None
    for chunk in arrived:
        ready = sequence.accept(chunk)
        if isinstance(ready, SequenceGap):
            return Failure(Broken(ready.reason))
        for part in ready:
            fresh = text.accept(part.text)
            if isinstance(fresh, AnswerDiffers):
                return Failure(fresh)
            new.append(fresh)
            end = part if part.finish is not None else end
    whole = "".join(new)
    if whole:
        await sink.write(whole)
    if end is None:
        return None
    if not text.is_fully_repeated():
        return Failure(AnswerDiffers(text.repeated_chars))
    assert end.finish is not None
    return Success(Finished(end.finish, end.usage or Usage(0, 0)))
