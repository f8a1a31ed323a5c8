"""Work in the batch of the engine stand-in: streams, and spans to be exported."""

from asyncio import Event
from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonhinge_core.engine_messages import (
    EngineCall,
    EngineChunk,
    SpanRequest,
    Usage,
)
from stand_ins.answers import answer_token, count_tokens, prompt_digest
from stand_ins.engine_memory import EXPORT, STREAM, HoldingKey


class Progress:
    """Wakes everyone who waits for the next change of a piece of work."""

    def __init__(self) -> None:
        self.event = Event()

    def wake(self) -> None:
        """Tell those who wait that something changed."""
        self.event.set()
        self.event = Event()

    async def wait(self) -> None:
        """Return at the next change."""
        await self.event.wait()


class StreamRun:
    """One accepted stream.

    Args:
        call: The attempt.
        imported: Text of the spans that other engines export, in order.
        cached_tokens: Part of the prompt that needs no processing, in tokens.
        now: Time of arrival, in seconds.
    """

    def __init__(self, call: EngineCall, imported: str, cached_tokens: int, now: float):
        prompt = imported + call.prompt
        self.call = call
        self.key = HoldingKey(STREAM, call.attempt)
        self.prompt_tokens = count_tokens(prompt)
        self.cached_tokens = cached_tokens
        own_tokens = count_tokens(call.prompt)
        self.tokens = own_tokens + call.max_tokens
        self.digest = prompt_digest(prompt, call.seed)
        self.priority = call.priority
        self.arrived = now
        self.expires = now + call.expires_s
        self.to_prefill = float(max(1, own_tokens - cached_tokens))
        self.credit = 0.0
        self.chunks: list[EngineChunk] = []
        self.generated = 0
        self.admitted = False
        self.finished = False
        self.cancelled = False
        self.progress = Progress()

    def is_open(self) -> bool:
        """Return whether the stream still has work to do."""
        return not self.finished and not self.cancelled

    def decode(self, tokens: float) -> None:
        """Generate for a step that allows a fraction of tokens."""
        self.credit += tokens
        if self.credit >= 1.0:
            self.generate(int(self.credit))
            self.credit %= 1.0

    def generate(self, tokens: int) -> None:
        """Append up to `tokens` tokens as one chunk, with the end mark if done."""
        tokens = min(tokens, self.call.max_tokens - self.generated)
        text = "".join(
            answer_token(self.digest, self.generated + i) for i in range(tokens)
        )
        self.generated += tokens
        done = self.generated >= self.call.max_tokens
        usage = Usage(self.prompt_tokens, self.generated, self.cached_tokens)
        self.chunks.append(
            EngineChunk(
                attempt=self.call.attempt,
                seq=len(self.chunks),
                text=text,
                tokens=tokens,
                finish="length" if done else None,
                usage=usage if done else None,
            )
        )
        self.finished = done
        self.progress.wake()


@dataclass
class SpanRun:
    """A span of a prompt that is processed, then exported."""

    request: SpanRequest
    arrived: float
    to_prefill: float
    cancelled: bool = False
    progress: Progress = field(default_factory=Progress)

    @property
    def key(self) -> HoldingKey:
        """Return the key of its memory."""
        return HoldingKey(EXPORT, self.request.export)

    @property
    def priority(self) -> int:
        """Return its priority; smaller runs earlier."""
        return self.request.priority

    def is_ready(self) -> bool:
        """Return whether the span may be imported."""
        return self.to_prefill <= 0 and not self.cancelled


def in_running_order(
    runs: Iterable[StreamRun | SpanRun],
) -> list[StreamRun | SpanRun]:
    """Return work by priority, then by arrival."""
    return sorted(runs, key=lambda run: (run.priority, run.arrived))
