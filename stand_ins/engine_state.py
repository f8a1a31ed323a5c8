"""Model of an engine: continuous batching by token steps over a memory ledger."""

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
from stand_ins.engine_batch import SpanRun, StreamRun, in_running_order
from stand_ins.engine_cache import PrefixCache
from stand_ins.engine_memory import EXPORT, RESERVATION, STREAM, HoldingKey
from stand_ins.engine_memory import MemoryLedger as Memory
from stand_ins.engine_orders import OrderedState

CACHE_SHARE = 0.1


@dataclass(frozen=True)
class EngineRates:
    """Speed and size of one engine.

    Attributes:
        kv_tokens: Memory, in tokens.
        prefill_tokens_per_s: Prompt processing, in tokens per second.
        decode_tokens_per_s: Generation of each stream, in tokens per second.
        max_waiting: Streams that may wait for memory.
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
        leaving: Whether load reports say that the engine is about to stop.
        crash_marker: A prompt that contains this text kills the process.
        corrupt: How answers are damaged: `""`, `cut`, `double`, `reorder`, `foreign`.
        lose_release_replies: Releases still to be applied and then cut, instead of
            answered.
        lose_every_event: Each cache event with a multiple of this number is lost.
        load_s: Time that a load of weights takes, in seconds.
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
    """The engine did not take a piece of work.

    Attributes:
        status: HTTP status.
        reason: Why.
    """

    status: int
    reason: str


@dataclass
class EngineState:
    """The engine: its work by name and the memory that it holds."""

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
        self.ordered = OrderedState(self.checks_fencing, self.clock)
        self.memory = Memory(self.rates.kv_tokens, self.clock)
        cache_tokens = int(self.rates.kv_tokens * CACHE_SHARE)
        self.cache = PrefixCache(cache_tokens, self.rates.event_lag_s, self.clock)

    @property
    def used_tokens(self) -> int:
        """Return the memory in use, in tokens."""
        return self.memory.used_tokens

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace the faults in force."""
        self.faults = faults
        self.cache.lose_every = faults.lose_every_event

    def accept(self, call: EngineCall, imported: str = "") -> StreamRun | Refusal:
        """Take a stream into the batch or the waiting line, or refuse it.

        Args:
            call: The attempt.
            imported: Text of the spans that it imports, in order.
        """
        if self.faults.refuse or self.faults.leaving:
            return Refusal(503, "refusing new work")
        if call.attempt in self.streams:
            return Refusal(409, "attempt already known")
        cached = 0 if call.spans else self.cache.cached_tokens(call.prompt)
        run = StreamRun(call, imported, cached, self.clock())
        if run.tokens > self.rates.kv_tokens:
            return Refusal(422, f"{run.tokens} tokens exceed the memory")
        if call.reservation is not None:
            source = HoldingKey(RESERVATION, call.reservation)
            if not self.memory.move(source, run.key, run.tokens, run.expires):
                return Refusal(503, f"{call.reservation} has not {run.tokens} tokens")
            run.admitted = True
        elif len(self.waiting()) >= self.rates.max_waiting:
            return Refusal(503, "too many waiting")
        self.streams[call.attempt] = run
        self.accepted += 1
        self.admit_waiting()
        return run

    def reserve(self, request: ReservationRequest) -> Refusal | None:
        """Set memory aside now or not at all; a repeated request changes nothing."""
        key = HoldingKey(RESERVATION, request.name)
        if key in self.memory.held:
            return None
        if self.faults.refuse or self.faults.leaving:
            return Refusal(503, "refusing new work")
        expires = self.clock() + request.expires_s
        if self.memory.take(key, request.owner, request.tokens, expires):
            return None
        return Refusal(503, f"{request.tokens} tokens are not free")

    def add_span(self, request: SpanRequest) -> SpanRun | Refusal:
        """Process a span in a reservation; a repeated request joins the first."""
        known = self.spans.get(request.export)
        if known is not None:
            return known
        tokens = count_tokens(request.prompt)
        now = self.clock()
        run = SpanRun(request, now, float(tokens))
        source = HoldingKey(RESERVATION, request.reservation)
        if not self.memory.move(source, run.key, tokens, now + request.expires_s):
            return Refusal(503, f"{request.reservation} has not {tokens} tokens")
        self.spans[request.export] = run
        return run

    def waiting(self) -> list[StreamRun]:
        """Return the streams that wait for memory, first in line first."""
        runs = (r for r in self.streams.values() if r.is_open() and not r.admitted)
        return sorted(runs, key=lambda run: (run.priority, run.arrived))

    def running(self) -> list[StreamRun]:
        """Return the streams in the batch."""
        return [r for r in self.streams.values() if r.is_open() and r.admitted]

    def admit_waiting(self) -> None:
        """Give memory to waiting streams while it lasts."""
        for run in self.waiting():
            if not self.memory.take(run.key, run.call.owner, run.tokens, run.expires):
                return
            run.admitted = True

    def release(self, kind: str, name: str) -> bool:
        """Drop a stream, reservation or export; returns whether it was known."""
        match kind:
            case "stream":
                return self._drop_stream(name)
            case "export":
                return self._drop_span(name)
            case _:
                return self.memory.free(HoldingKey(kind, name))

    def step(self, elapsed_s: float) -> None:
        """Run the batch for a time."""
        self._drop_expired()
        self.admit_waiting()
        budget = self.rates.prefill_tokens_per_s * elapsed_s
        unready = (span for span in self.spans.values() if not span.is_ready())
        for run in in_running_order((*self.running(), *unready)):
            if run.to_prefill > 0:
                used = min(budget, run.to_prefill)
                run.to_prefill -= used
                budget -= used
                if run.to_prefill <= 0:
                    self._end_prefill(run)
            elif isinstance(run, StreamRun):
                run.decode(self.rates.decode_tokens_per_s * elapsed_s)
                if run.finished:
                    self.memory.free(run.key)
        self._report()

    def held(self) -> Holdings:
        """Return everything that is held, waiting streams included."""
        now = self.clock()
        waiting = tuple(
            Holding(
                kind=STREAM,
                name=run.call.attempt,
                owner=run.call.owner,
                tokens=0,
                expires_in_s=run.expires - now,
                age_s=now - run.arrived,
            )
            for run in self.waiting()
        )
        return Holdings(self.boot, self.memory.holdings() + waiting)

    def published_events(self, from_seq: int) -> CacheEvents:
        """Return the cache events from a number on that are published so far."""
        read = self.cache.published(from_seq)
        return CacheEvents(self.boot, read.events, read.next_seq)

    def _end_prefill(self, run: StreamRun | SpanRun) -> None:
        if isinstance(run, SpanRun):
            run.progress.wake()
        elif not run.call.spans:
            self.cache.store(run.call.prompt)

    def _drop_stream(self, attempt: str) -> bool:
        run = self.streams.pop(attempt, None)
        if run is None:
            return False
        self.memory.free(run.key)
        run.cancelled = True
        run.progress.wake()
        return True

    def _drop_span(self, export: str) -> bool:
        run = self.spans.pop(export, None)
        if run is None:
            return False
        self.memory.free(run.key)
        run.cancelled = True
        run.progress.wake()
        return True

    def _drop_expired(self) -> None:
        now = self.clock()
        for run in tuple(self.streams.values()):
            if run.expires < now:
                self.release(STREAM, run.call.attempt)
        for key in self.memory.expired():
            if key.kind in (RESERVATION, EXPORT):
                self.release(key.kind, key.name)

    def _report(self) -> None:
        now = self.clock()
        running = self.running()
        waiting = self.waiting()
        report = LoadReport(
            age_s=0.0,
            running=len(running),
            waiting=len(waiting),
            queued_tokens=int(sum(r.to_prefill for r in running + waiting)),
            kv_used_tokens=self.used_tokens,
            kv_total_tokens=self.rates.kv_tokens,
            leaving=self.faults.leaving,
            boot=self.boot,
        )
        self.reports.append((now, report))
        while (
            len(self.reports) > 1 and self.reports[1][0] < now - self.rates.report_lag_s
        ):
            self.reports.pop(0)
