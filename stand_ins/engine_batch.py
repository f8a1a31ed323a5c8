"""Work in the batch of the engine stand-in: streams and exported spans."""

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
    """Notifies the tasks that wait for the next change of a stream or span."""

    def __init__(self) -> None:
        self.event = Event()

    def notify_all(self) -> None:
        """Notify every waiting task of a change."""
        self.event.set()
        self.event = Event()

    async def wait(self) -> None:
        """Wait for the next change."""
        await self.event.wait()


class StreamRun:
    """One accepted stream.

    Args:
        call: The attempt.
        imported_text: Text of the spans exported by other engines, in order.
        cached_tokens: Part of the prompt that needs no prefill, in tokens.
        now_s: Time of arrival, on the engine's clock, in seconds.
    """

    def __init__(
        self, call: EngineCall, imported_text: str, cached_tokens: int, now_s: float
    ):
        prompt = imported_text + call.prompt
        self.call = call
        self.key = HoldingKey(STREAM, call.attempt)
        self.prompt_tokens = count_tokens(prompt)
        self.cached_tokens = cached_tokens
        own_tokens = count_tokens(call.prompt)
        self.tokens = own_tokens + call.max_tokens
        self.digest = prompt_digest(prompt, call.seed)
        self.priority = call.priority
        self.arrived_s = now_s
        self.expires_at_s = now_s + call.expires_s
        self.remaining_prefill_tokens = float(max(1, own_tokens - cached_tokens))
        self.token_credit = 0.0
        self.chunks: list[EngineChunk] = []
        self.generated_tokens = 0
        self.admitted = False
        self.finished = False
        self.cancelled = False
        self.progress = Progress()

    def is_open(self) -> bool:
        """Return whether the stream is neither finished nor cancelled."""
        return not self.finished and not self.cancelled

    def decode(self, tokens: float) -> None:
        """Run one decode step of `tokens` tokens, which may be a fraction.

        The fraction is carried over to the next step.
        """
        self.token_credit += tokens
        if self.token_credit >= 1.0:
            self.generate(int(self.token_credit))
            self.token_credit %= 1.0

    def generate(self, tokens: int) -> None:
        """Append up to `tokens` tokens as one chunk, with the finish reason if done."""
        tokens = min(tokens, self.call.max_tokens - self.generated_tokens)
        text = "".join(
            answer_token(self.digest, self.generated_tokens + i) for i in range(tokens)
        )
        self.generated_tokens += tokens
        done = self.generated_tokens >= self.call.max_tokens
        usage = Usage(self.prompt_tokens, self.generated_tokens, self.cached_tokens)
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
        self.progress.notify_all()


@dataclass
class SpanRun:
    """A span of a prompt that is prefilled, then exported."""

    request: SpanRequest
    arrived_s: float
    remaining_prefill_tokens: float
    cancelled: bool = False
    progress: Progress = field(default_factory=Progress)

    @property
    def key(self) -> HoldingKey:
        """Return the key of the memory that it uses."""
        return HoldingKey(EXPORT, self.request.export)

    @property
    def priority(self) -> int:
        """Return the scheduling priority; smaller runs earlier."""
        return self.request.priority

    def is_ready(self) -> bool:
        """Return whether the prefill is complete and the span not cancelled."""
        return self.remaining_prefill_tokens <= 0 and not self.cancelled


def sort_by_priority(
    runs: Iterable[StreamRun | SpanRun],
) -> list[StreamRun | SpanRun]:
    """Return the work sorted by priority, then by arrival."""
    return sorted(runs, key=lambda run: (run.priority, run.arrived_s))
