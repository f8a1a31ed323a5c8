"""Model of an engine: continuous batching by token steps over a memory ledger."""

from asyncio import Event
from dataclasses import dataclass, field, replace
from time import monotonic

from lagoonhinge_core.engine_messages import (
    EngineCall,
    EngineChunk,
    Holding,
    Holdings,
    LoadReport,
    Order,
    OrderReport,
    Usage,
)
from stand_ins.answers import answer_token, count_tokens, prompt_digest

NOTHING_LOADED = OrderReport("", (), "mixed", False)


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
    """

    kv_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    max_waiting: int = 64
    step_s: float = 0.005
    report_lag_s: float = 0.5


@dataclass(frozen=True)
class EngineFaults:
    """Faults in force.

    Attributes:
        refuse: Whether new streams are refused.
        leaving: Whether load reports say that the engine is about to stop.
        crash_marker: A prompt that contains this text kills the process.
        corrupt: How answers are damaged: `""`, `cut`, `double`, `reorder`, `foreign`.
        load_s: Time that a load of weights takes, in seconds.
    """

    refuse: bool = False
    leaving: bool = False
    crash_marker: str = ""
    corrupt: str = ""
    load_s: float = 0.0


class StreamRun:
    """One accepted stream."""

    def __init__(self, call: EngineCall, now: float):
        self.call = call
        self.prompt_tokens = count_tokens(call.prompt)
        self.tokens = self.prompt_tokens + call.max_tokens
        self.digest = prompt_digest(call.prompt, call.seed)
        self.arrived = now
        self.expires = now + call.expires_s
        self.to_prefill = float(self.prompt_tokens)
        self.credit = 0.0
        self.chunks: list[EngineChunk] = []
        self.generated = 0
        self.admitted = False
        self.finished = False
        self.cancelled = False
        self.progress = Event()

    def wake_readers(self) -> None:
        """Tell the readers that something changed."""
        self.progress.set()
        self.progress = Event()

    def generate(self, tokens: int) -> None:
        """Append up to `tokens` tokens as one chunk, with the end mark if done."""
        tokens = min(tokens, self.call.max_tokens - self.generated)
        text = "".join(
            answer_token(self.digest, self.generated + i) for i in range(tokens)
        )
        self.generated += tokens
        done = self.generated >= self.call.max_tokens
        usage = Usage(self.prompt_tokens, self.generated) if done else None
        self.chunks.append(
            EngineChunk(
                attempt=self.call.attempt,
                seq=len(self.chunks),
                text=text,
                tokens=tokens,
                finish="length" if done else None,
                usage=usage,
            )
        )
        self.finished = done
        self.wake_readers()


@dataclass(frozen=True)
class Refusal:
    """The engine did not take a stream.

    Attributes:
        status: HTTP status.
        reason: Why.
    """

    status: int
    reason: str


@dataclass
class EngineState:
    """The engine: streams by attempt and the memory they hold."""

    rates: EngineRates
    boot: str
    checks_fencing: bool = True
    faults: EngineFaults = EngineFaults()
    streams: dict[str, StreamRun] = field(default_factory=dict)
    used_tokens: int = 0
    accepted: int = 0
    reports: list[tuple[float, LoadReport]] = field(default_factory=list)
    fencing: int = 0
    loaded: OrderReport = NOTHING_LOADED
    loading: OrderReport | None = None
    loaded_at: float = 0.0
    orders: list[Order] = field(default_factory=list)

    def accept(self, call: EngineCall) -> StreamRun | Refusal:
        """Take a stream into the batch or the waiting line, or refuse it."""
        if self.faults.refuse or self.faults.leaving:
            return Refusal(503, "refusing new work")
        if call.attempt in self.streams:
            return Refusal(409, "attempt already known")
        run = StreamRun(call, monotonic())
        if run.tokens > self.rates.kv_tokens:
            return Refusal(422, f"{run.tokens} tokens exceed the memory")
        if len(self.waiting()) >= self.rates.max_waiting:
            return Refusal(503, "too many waiting")
        self.streams[call.attempt] = run
        self.accepted += 1
        self.admit_waiting()
        return run

    def waiting(self) -> list[StreamRun]:
        """Return the streams that wait for memory, first in line first."""
        runs = (r for r in self.streams.values() if self._is_open(r) and not r.admitted)
        return sorted(runs, key=lambda r: (r.call.priority, r.arrived))

    def running(self) -> list[StreamRun]:
        """Return the streams in the batch."""
        return [r for r in self.streams.values() if self._is_open(r) and r.admitted]

    def admit_waiting(self) -> None:
        """Give memory to waiting streams while it lasts."""
        for run in self.waiting():
            if self.used_tokens + run.tokens > self.rates.kv_tokens:
                return
            run.admitted = True
            self.used_tokens += run.tokens

    def release(self, run: StreamRun) -> None:
        """Free what a stream holds."""
        if run.admitted:
            run.admitted = False
            self.used_tokens -= run.tokens

    def cancel(self, attempt: str) -> bool:
        """Drop a stream; returns whether it was known."""
        run = self.streams.pop(attempt, None)
        if run is None:
            return False
        self.release(run)
        run.cancelled = True
        run.wake_readers()
        return True

    def step(self, elapsed_s: float) -> None:
        """Run the batch for a time."""
        now = monotonic()
        for run in [r for r in self.streams.values() if r.expires < now]:
            self.cancel(run.call.attempt)
        self.admit_waiting()
        running = sorted(self.running(), key=lambda r: (r.call.priority, r.arrived))
        budget = self.rates.prefill_tokens_per_s * elapsed_s
        for run in running:
            if run.to_prefill > 0:
                used = min(budget, run.to_prefill)
                run.to_prefill -= used
                budget -= used
            else:
                self._decode(run, elapsed_s)
        self._report(now)

    def _decode(self, run: StreamRun, elapsed_s: float) -> None:
        run.credit += self.rates.decode_tokens_per_s * elapsed_s
        if run.credit >= 1.0:
            run.generate(int(run.credit))
            run.credit %= 1.0
        if run.finished:
            self.release(run)

    def _is_open(self, run: StreamRun) -> bool:
        return not run.finished and not run.cancelled

    def _report(self, now: float) -> None:
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

    def held(self) -> Holdings:
        """Return everything that is held."""
        now = monotonic()
        return Holdings(
            self.boot,
            tuple(
                Holding(
                    kind="stream",
                    name=run.call.attempt,
                    owner=run.call.owner,
                    tokens=run.tokens,
                    expires_in_s=run.expires - now,
                    age_s=now - run.arrived,
                )
                for run in self.streams.values()
                if self._is_open(run)
            ),
        )

    def obey(self, order: Order) -> OrderReport | Refusal:
        """Take an order, unless its fencing number is old and checked."""
        if self.checks_fencing and order.fencing < self.fencing:
            return Refusal(412, f"fencing {order.fencing} is below {self.fencing}")
        self.fencing = max(self.fencing, order.fencing)
        self.orders.append(order)
        self.loading = OrderReport(order.version, order.adapters, order.role, False)
        self.loaded_at = monotonic() + self.faults.load_s
        return self.order_state()

    def order_state(self) -> OrderReport:
        """Return what is loaded, and whether a load is under way."""
        if self.loading is not None and monotonic() >= self.loaded_at:
            self.loaded = self.loading
            self.loading = None
        return replace(self.loaded, busy=self.loading is not None)
