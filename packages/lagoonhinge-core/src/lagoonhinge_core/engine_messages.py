"""JSON messages between a node and a model engine."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Usage:
    """Tokens that an engine counted for one answer."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int = 0


@dataclass(frozen=True)
class SpanRef:
    """A span of KV cache held by another member of a group.

    Attributes:
        url: Engine that exports the span.
        export: Name of the export.
        tokens: Length of the span, in tokens.
    """

    url: str
    export: str
    tokens: int


@dataclass(frozen=True)
class Sampling:
    """Sampling parameters; passed to the engine unchanged."""

    temperature: float = 1.0
    top_p: float = 1.0
    stop: tuple[str, ...] = ()


@dataclass(frozen=True)
class EngineCall:
    """One attempt of a model request.

    Attributes:
        attempt: Identity of the attempt, repeated in its chunks.
        owner: Identity of the node, as written by `NodeId`.
        model: Name of the model.
        prompt: Text of the prompt.
        max_tokens: Longest answer, in tokens.
        seed: Sampling seed; equal calls with equal seeds give equal answers.
        priority: Scheduling priority; smaller runs earlier.
        expires_s: The engine may drop the stream after this time, in seconds.
        reservation: Memory reservation to run in, if any.
        spans: Spans to import before the answer starts, for a group.
        sampling: Sampling parameters.
    """

    attempt: str
    owner: str
    model: str
    prompt: str
    max_tokens: int
    seed: int
    priority: int
    expires_s: float
    reservation: str | None = None
    spans: tuple[SpanRef, ...] = ()
    sampling: Sampling = Sampling()


@dataclass(frozen=True)
class EngineChunk:
    """One piece of an answer.

    Attributes:
        attempt: The attempt it answers.
        seq: Position in the answer, from 0 without gaps.
        text: Generated text.
        tokens: Tokens in `text`.
        finish: Finish reason; set on the last chunk only, as the end mark.
        usage: Usage; set on the last chunk only.
    """

    attempt: str
    seq: int
    text: str = ""
    tokens: int = 0
    finish: str | None = None
    usage: Usage | None = None


@dataclass(frozen=True)
class LoadReport:
    """Load of an engine, as reported by it; stale by at least `age_s`.

    Attributes:
        age_s: Age of the values when sent, in seconds.
        running: Streams in the batch.
        waiting: Streams waiting for memory.
        queued_tokens: Prompt tokens not yet processed.
        kv_used_tokens: KV cache in use, in tokens.
        kv_total_tokens: Size of the KV cache, in tokens.
        leaving: Whether the engine is about to stop.
        boot: Identity of the engine's process, new at each start.
    """

    age_s: float
    running: int
    waiting: int
    queued_tokens: int
    kv_used_tokens: int
    kv_total_tokens: int
    leaving: bool
    boot: str


@dataclass(frozen=True)
class Holding:
    """Memory that an engine holds for an owner.

    Attributes:
        kind: `stream`, `reservation` or `export`.
        name: Name under which it is released.
        owner: Identity of the node that requested it.
        tokens: Size, in tokens.
        expires_in_s: Time until the engine may drop it, in seconds.
        age_s: Time since it was allocated, in seconds.
    """

    kind: str
    name: str
    owner: str
    tokens: int
    expires_in_s: float
    age_s: float


@dataclass(frozen=True)
class Holdings:
    """All holdings of an engine."""

    boot: str
    holdings: tuple[Holding, ...]


@dataclass(frozen=True)
class ReservationRequest:
    """Request to reserve memory."""

    name: str
    owner: str
    tokens: int
    expires_s: float


@dataclass(frozen=True)
class SpanRequest:
    """Request to process a span of a prompt and to export its KV cache.

    Attributes:
        export: Name of the export.
        owner: Identity of the node.
        reservation: Reservation on this engine that holds the span.
        prompt: Text of the span.
        priority: Scheduling priority; smaller runs earlier.
        expires_s: The engine may drop the export after this time, in seconds.
    """

    export: str
    owner: str
    reservation: str
    prompt: str
    priority: int
    expires_s: float


@dataclass(frozen=True)
class CacheEvent:
    """A prefix that was added to or evicted from an engine's prefix cache."""

    seq: int
    prefix: str
    cached: bool


@dataclass(frozen=True)
class CacheEvents:
    """Cache events after a sequence number; may arrive late and with gaps."""

    boot: str
    events: tuple[CacheEvent, ...]
    next_seq: int


@dataclass(frozen=True)
class Order:
    """The whole desired state of an engine, with the sender's fencing number."""

    fencing: int
    version: str
    adapters: tuple[str, ...]
    role: str


@dataclass(frozen=True)
class OrderReport:
    """The state that an engine has reached."""

    version: str
    adapters: tuple[str, ...]
    role: str
    busy: bool
