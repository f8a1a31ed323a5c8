"""Model of an engine: continuous batching in steps, within a fixed KV cache."""

from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from lagoonhinge_core.engine_messages import (
    CacheEvents,
    EngineCall,
    Holding,
    Holdings,
    LoadReport,
    ReservationRequest,
    SpanRequest,
)
from stand_ins.answers import count_tokens
from stand_ins.engine_batch import SpanRun, StreamRun, sort_by_priority
from stand_ins.engine_cache import PrefixCache
from stand_ins.engine_memory import EXPORT, RESERVATION, STREAM, HoldingKey, MemoryPool
from stand_ins.engine_orders import OrderState

PREFIX_CACHE_SHARE = 0.1


@dataclass(frozen=True)
class EngineRates:
    """Speed and size of one engine.

    Attributes:
        kv_tokens: Size of the KV cache, in tokens.
        prefill_tokens_per_s: Prefill of the whole batch, in tokens per second.
        decode_tokens_per_s: Decode of each stream, in tokens per second.
        max_waiting: Streams that may be queued for memory.
        step_s: Length of one batch step, in seconds.
        report_lag_s: Age of load reports, in seconds.
        event_lag_s: Age of cache events, in seconds.
    """

    kv_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    max_waiting: int = 64
    step_s: float = 0.005
    report_lag_s: float = 0.5
    event_lag_s: float = 0.5


@dataclass(frozen=True)
class EngineFaults:
    """Faults in force.

    Attributes:
        refuse: Whether new streams are refused.
        leaving: Whether load reports announce that the engine is about to stop.
        crash_marker: A prompt that contains this text ends the process.
        corrupt: How answers are corrupted: `""`, `cut`, `double`, `reorder`, `foreign`.
        lose_release_replies: Number of next releases that are applied but whose
            connection is cut instead of answered.
        lose_every_event: Cache events whose number is a multiple of this are omitted;
            0 omits none.
        load_s: Duration of a load of weights, in seconds.
    """

    refuse: bool = False
    leaving: bool = False
    crash_marker: str = ""
    corrupt: str = ""
    lose_release_replies: int = 0
    lose_every_event: int = 0
    load_s: float = 0.0


@dataclass(frozen=True)
class Refusal:
    """A request that the engine refused.

    Attributes:
        status: HTTP status.
        reason: Reason, as sent in the answer.
    """

    status: int
    reason: str


@dataclass
class EngineState:
    """State of the engine: work by name, memory, cache and orders."""

    rates: EngineRates
    boot: str
    checks_fencing: bool = True
    faults: EngineFaults = EngineFaults()
    clock: Callable[[], float] = monotonic
    streams: dict[str, StreamRun] = field(default_factory=dict)
    accepted: int = 0
    spans: dict[str, SpanRun] = field(default_factory=dict)
    reports: list[tuple[float, LoadReport]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start with empty memory, an empty cache and nothing loaded."""
        self.orders = OrderState(self.checks_fencing, self.clock)
        self.memory = MemoryPool(self.rates.kv_tokens, self.clock)
        cache_tokens = int(self.rates.kv_tokens * PREFIX_CACHE_SHARE)
        self.cache = PrefixCache(cache_tokens, self.rates.event_lag_s, self.clock)

    @property
    def used_tokens(self) -> int:
        """Return the memory in use, in tokens."""
        return self.memory.used_tokens

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace the faults in force."""
        self.faults = faults
        self.cache.omit_every = faults.lose_every_event

    def accept(self, call: EngineCall, imported_text: str = "") -> StreamRun | Refusal:
        """Add a stream to the batch or the queue, or refuse it.

        Args:
            call: The attempt.
            imported_text: Text of the imported spans, in order.
        """
        if self.faults.refuse or self.faults.leaving:
            return Refusal(503, "refusing new work")
        if call.attempt in self.streams:
            return Refusal(409, "attempt already known")
        cached_tokens = 0 if call.spans else self.cache.cached_tokens(call.prompt)
        run = StreamRun(call, imported_text, cached_tokens, self.clock())
        if run.tokens > self.rates.kv_tokens:
            return Refusal(422, f"{run.tokens} tokens exceed the memory")
        if call.reservation is not None:
            source = HoldingKey(RESERVATION, call.reservation)
            if not self.memory.transfer(source, run.key, run.tokens, run.expires_at_s):
                return Refusal(503, f"{call.reservation} has not {run.tokens} tokens")
            run.admitted = True
        elif len(self.waiting()) >= self.rates.max_waiting:
            return Refusal(503, "too many waiting")
        self.streams[call.attempt] = run
        self.accepted += 1
        self.admit_waiting()
        return run

    def reserve(self, request: ReservationRequest) -> Refusal | None:
        """Reserve memory or refuse at once; a repeated request has no effect."""
        key = HoldingKey(RESERVATION, request.name)
        if key in self.memory.allocations:
            return None
        if self.faults.refuse or self.faults.leaving:
            return Refusal(503, "refusing new work")
        expires_at_s = self.clock() + request.expires_s
        if self.memory.allocate(key, request.owner, request.tokens, expires_at_s):
            return None
        return Refusal(503, f"{request.tokens} tokens are not free")

    def add_span(self, request: SpanRequest) -> SpanRun | Refusal:
        """Prefill a span in a reservation; a repeated request returns the same run."""
        existing = self.spans.get(request.export)
        if existing is not None:
            return existing
        tokens = count_tokens(request.prompt)
        now_s = self.clock()
        run = SpanRun(request, now_s, float(tokens))
        source = HoldingKey(RESERVATION, request.reservation)
        if not self.memory.transfer(source, run.key, tokens, now_s + request.expires_s):
            return Refusal(503, f"{request.reservation} has not {tokens} tokens")
        self.spans[request.export] = run
        return run

    def waiting(self) -> list[StreamRun]:
        """Return the streams that are queued for memory, in queue order."""
        runs = (r for r in self.streams.values() if r.is_open() and not r.admitted)
        return sorted(runs, key=lambda run: (run.priority, run.arrived_s))

    def running(self) -> list[StreamRun]:
        """Return the streams in the batch."""
        return [r for r in self.streams.values() if r.is_open() and r.admitted]

    def admit_waiting(self) -> None:
        """Admit queued streams in order, up to the first that does not fit."""
        for run in self.waiting():
            if not self.memory.allocate(
                run.key, run.call.owner, run.tokens, run.expires_at_s
            ):
                return
            run.admitted = True

    def release(self, kind: str, name: str) -> bool:
        """Drop a stream, reservation or export; return whether it existed."""
        match kind:
            case "stream":
                return self._drop_stream(name)
            case "export":
                return self._drop_span(name)
            case _:
                return self.memory.free(HoldingKey(kind, name))

    def step(self, elapsed_s: float) -> None:
        """Run one batch step of `elapsed_s` seconds."""
        self._drop_expired()
        self.admit_waiting()
        prefill_budget = self.rates.prefill_tokens_per_s * elapsed_s
        pending_spans = (span for span in self.spans.values() if not span.is_ready())
        for run in sort_by_priority((*self.running(), *pending_spans)):
            if run.remaining_prefill_tokens > 0:
                processed = min(prefill_budget, run.remaining_prefill_tokens)
                run.remaining_prefill_tokens -= processed
                prefill_budget -= processed
                if run.remaining_prefill_tokens <= 0:
                    self._end_prefill(run)
            elif isinstance(run, StreamRun):
                run.decode(self.rates.decode_tokens_per_s * elapsed_s)
                if run.finished:
                    self.memory.free(run.key)
        self._record_report()

    def list_holdings(self) -> Holdings:
        """Return all holdings, including queued streams."""
        now_s = self.clock()
        waiting = tuple(
            Holding(
                kind=STREAM,
                name=run.call.attempt,
                owner=run.call.owner,
                tokens=0,
                expires_in_s=run.expires_at_s - now_s,
                age_s=now_s - run.arrived_s,
            )
            for run in self.waiting()
        )
        return Holdings(self.boot, self.memory.holdings() + waiting)

    def published_events(self, from_seq: int) -> CacheEvents:
        """Return the published cache events from a number on."""
        published = self.cache.published(from_seq)
        return CacheEvents(self.boot, published.events, published.next_seq)

    def _end_prefill(self, run: StreamRun | SpanRun) -> None:
        if isinstance(run, SpanRun):
            run.progress.notify_all()
        elif not run.call.spans:
            self.cache.store(run.call.prompt)

    def _drop_stream(self, attempt: str) -> bool:
        run = self.streams.pop(attempt, None)
        if run is None:
            return False
        self.memory.free(run.key)
        run.cancelled = True
        run.progress.notify_all()
        return True

    def _drop_span(self, export: str) -> bool:
        run = self.spans.pop(export, None)
        if run is None:
            return False
        self.memory.free(run.key)
        run.cancelled = True
        run.progress.notify_all()
        return True

    def _drop_expired(self) -> None:
        now_s = self.clock()
        for run in tuple(self.streams.values()):
            if run.expires_at_s < now_s:
                self.release(STREAM, run.call.attempt)
        for key in self.memory.expired():
            if key.kind in (RESERVATION, EXPORT):
                self.release(key.kind, key.name)

    def _record_report(self) -> None:
        now_s = self.clock()
        running = self.running()
        waiting = self.waiting()
        report = LoadReport(
            age_s=0.0,
            running=len(running),
            waiting=len(waiting),
            queued_tokens=int(
                sum(r.remaining_prefill_tokens for r in running + waiting)
            ),
            kv_used_tokens=self.used_tokens,
            kv_total_tokens=self.rates.kv_tokens,
            leaving=self.faults.leaving,
            boot=self.boot,
        )
        self.reports.append((now_s, report))
        while (
            len(self.reports) > 1
            and self.reports[1][0] < now_s - self.rates.report_lag_s
        ):
            self.reports.pop(0)
