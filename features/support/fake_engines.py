"""Fake engines behind the `EngineClient` port, failing at a chosen step."""

from asyncio import sleep
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from returns.result import Failure, Success

from lagoonhinge_core.engine_messages import EngineChunk, Holding, Holdings, Usage
from lagoonhinge_core.upstream_errors import Broken, Gone, NotSent, Refused, Silent
from stand_ins.answers import answer_token, prompt_digest

POLL_S = 0.05
CHUNK_S = 0.1


class FakeRun:
    """One attempt held by an engine; makes a token each `CHUNK_S` after prefill."""

    def __init__(self, call, now_s, prefill_s, salt):
        self.call = call
        self.expires_at_s = now_s + call.expires_s
        self.first_at_s = now_s + prefill_s
        self.digest = prompt_digest(call.prompt + salt, call.seed)

    def made(self, now_s) -> int:
        """Return how many chunks exist."""
        made = int((now_s - self.first_at_s) / CHUNK_S + 1e-6) + 1
        return max(0, min(self.call.max_tokens, made))

    def chunk(self, seq) -> EngineChunk:
        """Return one chunk."""
        is_last = seq == self.call.max_tokens - 1
        return EngineChunk(
            self.call.attempt,
            seq,
            answer_token(self.digest, seq),
            1,
            "length" if is_last else None,
            Usage(9, self.call.max_tokens) if is_last else None,
        )


@dataclass
class FakeEngine:
    """One engine; `salt` makes its answers differ from those of the others."""

    url: str
    prefill_s: float = 0.5
    salt: str = ""
    corrupt: str = ""
    boot: str = "boot-0"
    alive: bool = True
    silent: bool = False
    refuses: bool = False
    listens: bool = True
    swallows_next: bool = False
    stuck: bool = False
    runs: dict[str, FakeRun] = field(default_factory=dict)
    finished: dict[str, FakeRun] = field(default_factory=dict)
    accepted: list[str] = field(default_factory=list)
    streams: set["FakeStream"] = field(default_factory=set)

    def expire(self, now_s) -> None:
        """Drop the runs that are past their expiry."""
        for name, run in tuple(self.runs.items()):
            if run.expires_at_s <= now_s:
                del self.runs[name]

    def crash(self) -> None:
        """Die: everything is lost and nobody listens."""
        self.alive = False
        self.runs.clear()
        self.finished.clear()
        self.cut()

    def restart(self) -> None:
        """Come back empty, as a new run."""
        self.alive = True
        self.boot = f"boot-{int(self.boot.removeprefix('boot-')) + 1}"

    def cut(self) -> None:
        """Cut every open connection."""
        for stream in tuple(self.streams):
            stream.is_cut = True

    def silence_open(self) -> None:
        """Let open connections carry nothing more."""
        for stream in tuple(self.streams):
            stream.is_silent = True


class FakeStream:
    """A connection that carries the chunks of one run."""

    def __init__(self, engines, engine, run, position):
        self.engines = engines
        self.engine = engine
        self.run = run
        self.first_position = position
        self.position = position
        self.is_cut = False
        self.is_silent = False
        self.extra = ()

    async def next_chunks(self, timeout_s):
        """Return what has arrived."""
        until_s = self.engines.loop.time() + timeout_s
        while True:
            if self.is_cut:
                return Failure(Broken("cut"))
            chunks = self._arrived()
            if chunks:
                return Success(chunks)
            if self.engines.loop.time() >= until_s:
                return Failure(Silent(timeout_s))
            await sleep(POLL_S)

    async def close(self):
        """Drop the connection."""
        self.engine.streams.discard(self)

    def _arrived(self):
        engine = self.engine
        total = self.run.call.max_tokens
        name = self.run.call.attempt
        is_lost = name not in engine.runs and name not in engine.finished
        if is_lost or self.position >= total:
            self.is_cut = True
            return ()
        if self.position == 0:
            self.engines.reach("before first token", engine, self)
        if self.position == total // 2:
            self.engines.reach("mid-stream", engine, self)
        if self.position == total - 1:
            self.engines.reach("at the end mark", engine, self)
        if self.is_silent or engine.silent or engine.stuck or self.is_cut:
            return ()
        made = self.run.made(self.engines.loop.time())
        if made <= self.position:
            return ()
        # One at a time, so that every step is reached.
        chunks = self._damaged((self.run.chunk(self.position),))
        self.position += 1
        if self.position == total:
            engine.finished[self.run.call.attempt] = self.run
            engine.runs.pop(self.run.call.attempt, None)
            self.engines.reach("after the end", engine, self)
        return chunks

    def _damaged(self, chunks):
        match self.engine.corrupt:
            case "doubled":
                return chunks * 2
            case "reordered" if chunks[0].seq % 2 == 0 and chunks[0].finish is None:
                later = self.run.chunk(self.position + 1)
                self.position += 1
                return (later, *chunks)
            case "late" if chunks[0].attempt == "vm-1-1":
                return chunks
            case "foreign" | "late":
                other = "another" if self.engine.corrupt == "foreign" else "vm-1-1"
                lie = replace(chunks[0], attempt=other, text="WRONG ", finish="stop")
                return (lie, *chunks)
            case "gapped" if chunks[0].seq == 1 and self.first_position == 0:
                return ()
            case "without end mark" if chunks[0].finish is not None:
                self.is_cut = True
                return (replace(chunks[0], finish=None, usage=None),)
            case "cut at each chunk":
                self.is_cut = self.position > 0
        return chunks


class FakeEngines:
    """The `EngineClient` port over fake engines; `reach` is called at each step."""

    def __init__(self, loop, engines):
        self.loop = loop
        self.engines = {engine.url: engine for engine in engines}
        self.on_step: Callable = lambda step, engine, stream: None
        self.dropped: list[str] = []
        self.prompts: set[str] = set()

    def accepted_prompts(self):
        """Return the prompts that any engine ever took."""
        return self.prompts

    def reach(self, step, engine, stream=None) -> None:
        """Tell the scenario that a step is reached."""
        self.on_step(step, engine, stream)

    async def open_stream(self, url, call, timeout_s):
        """Send an attempt."""
        engine = self.engines[url]
        self.reach("connect", engine)
        error = await self._unreachable(engine, timeout_s)
        if error is not None:
            return Failure(error)
        if engine.refuses:
            return Failure(Refused("refusing new work"))
        if engine.swallows_next:
            engine.swallows_next = False
            await sleep(timeout_s)
            return Failure(Silent(timeout_s))
        engine.accepted.append(call.attempt)
        self.prompts.add(call.prompt)
        run = FakeRun(call, self.loop.time(), engine.prefill_s, engine.salt)
        engine.runs[call.attempt] = run
        stream = self._connect(engine, engine.runs[call.attempt], 0)
        self.reach("accept", engine, stream)
        if stream.is_cut:
            await stream.close()
            return Failure(Broken("cut"))
        if stream.is_silent or engine.silent:
            await sleep(timeout_s)
            await stream.close()
            return Failure(Silent(timeout_s))
        return Success(stream)

    async def resume_stream(self, url, attempt, from_seq, timeout_s):
        """Read a run again."""
        engine = self.engines[url]
        error = await self._unreachable(engine, timeout_s)
        if error is not None:
            return Failure(error)
        run = engine.runs.get(attempt) or engine.finished.get(attempt)
        if run is None:
            return Failure(Gone("no such stream"))
        return Success(self._connect(engine, run, from_seq))

    async def release(self, url, kind, name, timeout_s):
        """Free a run."""
        engine = self.engines[url]
        error = await self._unreachable(engine, timeout_s)
        if error is not None:
            return Failure(error)
        engine.runs.pop(name, None)
        return Success(None)

    async def holdings(self, url, timeout_s):
        """Return what is held."""
        engine = self.engines[url]
        error = await self._unreachable(engine, timeout_s)
        if error is not None:
            return Failure(error)
        held = tuple(Holding("stream", n, "", 1, 1.0, 1.0) for n in engine.runs)
        return Success(Holdings(engine.boot, held))

    async def drop_connections(self, url):
        """Note that the pool was dropped."""
        self.dropped.append(url)

    def _connect(self, engine, run, position):
        stream = FakeStream(self, engine, run, position)
        engine.streams.add(stream)
        return stream

    async def _unreachable(self, engine, timeout_s):
        if engine.silent:
            await sleep(timeout_s)
            return Silent(timeout_s)
        if not engine.alive or not engine.listens:
            return NotSent("connection refused")
        return None
