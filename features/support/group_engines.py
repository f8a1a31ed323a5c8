"""The `EngineClient` port over simulated engines, with faults at chosen steps."""

from asyncio import sleep
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure, Success

from features.support.fake_engine import make_engine
from lagoonhinge_core.upstream_errors import (
    Broken,
    Gone,
    NotSent,
    Refused,
    Rejected,
    Silent,
)
from stand_ins.engine_state import Refusal

TICK_S = 0.02
ERROR_BY_STATUS = {
    503: Refused,
    409: Refused,
    422: lambda reason: Rejected(422, reason),
}


@dataclass(frozen=True)
class StepFault:
    """A fault at one call of a step.

    Attributes:
        step: `reserve`, `prefill`, `open`, `read` or `release`.
        call: Number of the call of this step that fails, from 1.
        fault: `refuse`, `crash`, `cut` (done, the reply is lost), `silent` (done, and
            the connection carries no more data) or `unreachable`.
    """

    step: str
    call: int
    fault: str


@dataclass
class GroupEngines:
    """Engines of one zone under a virtual clock; every call takes one tick."""

    loop: object
    kv_tokens: dict[str, int]
    faults: list[StepFault] = field(default_factory=list)
    calls: dict[str, int] = field(default_factory=dict)
    started_owners: set[str] = field(default_factory=set)
    on_step: Callable[[str, int], None] = lambda step, call: None

    def __post_init__(self):
        self.engines = {}
        self.boot_count = 0
        for name in self.kv_tokens:
            self.restart(name)

    def restart(self, name):
        """Start an engine, or replace it by one without holdings."""
        self.boot_count += 1
        boot = f"{name}/{self.boot_count}"
        self.engines[name] = make_engine(self.kv_tokens[name], self.loop, boot)

    async def run_steps(self):
        """Step every engine for ever."""
        while True:
            await sleep(TICK_S)
            for engine in self.engines.values():
                engine.step(TICK_S)

    async def reserve(self, url, request, timeout_s):
        """Reserve memory."""
        return await self._call(
            "reserve", url, timeout_s, lambda engine: engine.reserve(request)
        )

    async def prefill_span(self, url, request, timeout_s):
        """Process a span."""
        deadline_s = self.loop.time() + timeout_s
        engine = self.engines[_name(url)]

        def add(engine):
            return self._record_owner(request.owner, engine.add_span(request))

        answer = await self._call("prefill", url, timeout_s, add)
        while isinstance(answer, Success):
            if engine is not self.engines[_name(url)]:
                return Failure(Broken("crashed"))
            run = engine.spans.get(request.export)
            if run is None:
                return Failure(Gone("released"))
            if run.is_ready():
                return Success(None)
            if self.loop.time() >= deadline_s:
                return Failure(Silent(timeout_s))
            await sleep(TICK_S)
        return answer

    async def open_stream(self, url, call, timeout_s):
        """Send an attempt that imports its spans."""

        def accept(engine):
            texts = []
            for span in call.spans:
                run = self.engines[_name(span.url)].spans.get(span.export)
                if run is None or not run.is_ready():
                    return Refusal(503, f"{span.export} is missing")
                texts.append(run.request.prompt)
            return self._record_owner(call.owner, engine.accept(call, "".join(texts)))

        answer = await self._call("open", url, timeout_s, accept)
        return answer.map(lambda run: GroupStream(self, _name(url), run, 0))

    async def resume_stream(self, url, attempt, from_seq, timeout_s):
        """Resume reading a stream."""
        await sleep(TICK_S)
        run = self.engines[_name(url)].streams.get(attempt)
        if run is None:
            return Failure(Gone("no such stream"))
        return Success(GroupStream(self, _name(url), run, from_seq))

    async def release(self, url, kind, name, timeout_s):
        """Free a holding."""
        answer = await self._call(
            "release", url, timeout_s, lambda engine: _release(engine, kind, name)
        )
        return answer.map(lambda _: None)

    async def holdings(self, url, timeout_s):
        """List what is held."""
        await sleep(TICK_S)
        return Success(self.engines[_name(url)].list_holdings())

    async def drop_connections(self, url):
        """Do nothing, since there are no pooled connections."""

    def _record_owner(self, owner, answer):
        """Record the owner if its work was started, and return the answer."""
        if not isinstance(answer, Refusal):
            self.started_owners.add(owner)
        return answer

    async def _call(self, step, url, timeout_s, operation):
        await sleep(TICK_S)
        name = _name(url)
        fault = self.next_fault(step)
        match fault:
            case "unreachable":
                return Failure(NotSent("connection refused"))
            case "refuse":
                return Failure(Refused("refusing new work"))
            case "crash":
                self.restart(name)
                return Failure(Broken("crashed"))
        answer = operation(self.engines[name])
        if fault == "cut":
            return Failure(Broken("cut"))
        if fault == "silent":
            await sleep(timeout_s)
            return Failure(Silent(timeout_s))
        if isinstance(answer, Refusal):
            return Failure(ERROR_BY_STATUS[answer.status](answer.reason))
        return Success(answer)

    def next_fault(self, step) -> str:
        """Count a call, notify `on_step`, and return the fault to inject, if any."""
        call = self.calls[step] = self.calls.get(step, 0) + 1
        self.on_step(step, call)
        for fault in self.faults:
            if fault.step == step and fault.call == call:
                return fault.fault
        return ""


class GroupStream:
    """A connection that carries the chunks of one stream."""

    def __init__(self, engines, name, run, position):
        self.engines = engines
        self.name = name
        self.run = run
        self.position = position

    async def next_chunks(self, timeout_s):
        """Return the chunks that have arrived."""
        deadline_s = self.engines.loop.time() + timeout_s
        fault = self.engines.next_fault("read")
        if fault == "crash":
            self.engines.restart(self.name)
        if fault in ("crash", "cut"):
            return Failure(Broken(fault))
        if fault == "silent":
            await sleep(timeout_s)
            return Failure(Silent(timeout_s))
        while self.position >= len(self.run.chunks):
            if self.run.cancelled or self.engines.loop.time() >= deadline_s:
                return Failure(Silent(timeout_s))
            await sleep(TICK_S)
        chunks = tuple(self.run.chunks[self.position :])
        self.position += len(chunks)
        return Success(chunks)

    async def close(self):
        """Close the connection."""


def _name(url) -> str:
    return url.removeprefix("http://")


def _release(engine, kind, name) -> None:
    engine.release(kind, name)
