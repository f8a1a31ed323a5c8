"""Fake engines behind the `EngineClient` port, with faults at chosen steps."""

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
    """An attempt held by an engine; produces a token per `CHUNK_S` after prefill."""

    def __init__(self, call, now_s, prefill_s, salt):
        self.call = call
        self.expires_at_s = now_s + call.expires_s
        self.first_at_s = now_s + prefill_s
        self.digest = prompt_digest(call.prompt + salt, call.seed)

    def produced_chunks(self, now_s) -> int:
        """Return the number of chunks produced so far."""
        produced_chunks = int((now_s - self.first_at_s) / CHUNK_S + 1e-6) + 1
        return max(0, min(self.call.max_tokens, produced_chunks))

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
    """One engine; its answers differ from those of engines with another `salt`."""

    url: str
    prefill_s: float = 0.5
    salt: str = ""
    corruption: str = ""
    boot: str = "boot-0"
    is_running: bool = True
    silent: bool = False
    refuses: bool = False
    listens: bool = True
    ignores_next_attempt: bool = False
    hung: bool = False
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
        """Lose every run, cut every connection and refuse new ones."""
        self.is_running = False
        self.runs.clear()
        self.finished.clear()
        self.cut()

    def restart(self) -> None:
        """Start again without runs, with a new boot identity."""
        self.is_running = True
        self.boot = f"boot-{int(self.boot.removeprefix('boot-')) + 1}"

    def cut(self) -> None:
        """Cut every open connection."""
        for stream in tuple(self.streams):
            stream.is_cut = True

    def silence_open(self) -> None:
        """Stop delivery over open connections."""
        for stream in tuple(self.streams):
            stream.is_silent = True


class FakeStream:
    """A connection that carries the chunks of one run."""

    def __init__(self, engines, engine, run, position):
        self.engines = engines
        self.engine = engine
        self.run = run
        self.start_position = position
        self.position = position
        self.is_cut = False
        self.is_silent = False
        self.extra = ()

    async def next_chunks(self, timeout_s):
        """Return the chunks that have arrived."""
        deadline_s = self.engines.loop.time() + timeout_s
        while True:
            if self.is_cut:
                return Failure(Broken("cut"))
            chunks = self._arrived()
            if chunks:
                return Success(chunks)
            if self.engines.loop.time() >= deadline_s:
                return Failure(Silent(timeout_s))
            await sleep(POLL_S)

    async def close(self):
        """Close the connection."""
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
            self.engines.notify_step("before first token", engine, self)
        if self.position == total // 2:
            self.engines.notify_step("mid-stream", engine, self)
        if self.position == total - 1:
            self.engines.notify_step("at the end mark", engine, self)
        if self.is_silent or engine.silent or engine.hung or self.is_cut:
            return ()
        produced_chunks = self.run.produced_chunks(self.engines.loop.time())
        if produced_chunks <= self.position:
            return ()
        # One chunk at a time, so that `on_step` is called for every step.
        chunks = self._corrupted((self.run.chunk(self.position),))
        self.position += 1
        if self.position == total:
            engine.finished[self.run.call.attempt] = self.run
            engine.runs.pop(self.run.call.attempt, None)
            self.engines.notify_step("after the end", engine, self)
        return chunks

    def _corrupted(self, chunks):
        match self.engine.corruption:
            case "doubled":
                return chunks * 2
            case "reordered" if chunks[0].seq % 2 == 0 and chunks[0].finish is None:
                later = self.run.chunk(self.position + 1)
                self.position += 1
                return (later, *chunks)
            case "late" if chunks[0].attempt == "vm-1-1":
                return chunks
            case "foreign" | "late":
                other = "another" if self.engine.corruption == "foreign" else "vm-1-1"
                wrong_chunk = replace(
                    chunks[0], attempt=other, text="WRONG ", finish="stop"
                )
                return (wrong_chunk, *chunks)
            case "gapped" if chunks[0].seq == 1 and self.start_position == 0:
                return ()
            case "without end mark" if chunks[0].finish is not None:
                self.is_cut = True
                return (replace(chunks[0], finish=None, usage=None),)
            case "cut at each chunk":
                self.is_cut = self.position > 0
        return chunks


class FakeEngines:
    """The `EngineClient` port over fake engines; calls `on_step` at each step."""

    def __init__(self, loop, engines):
        self.loop = loop
        self.engines = {engine.url: engine for engine in engines}
        self.on_step: Callable = lambda step, engine, stream: None
        self.dropped_urls: list[str] = []
        self.prompts: set[str] = set()

    def accepted_prompts(self):
        """Return the prompts that any engine has accepted."""
        return self.prompts

    def notify_step(self, step, engine, stream=None) -> None:
        """Call `on_step` with a step that is reached."""
        self.on_step(step, engine, stream)

    async def open_stream(self, url, call, timeout_s):
        """Send an attempt."""
        engine = self.engines[url]
        self.notify_step("connect", engine)
        error = await self._connection_error(engine, timeout_s)
        if error is not None:
            return Failure(error)
        if engine.refuses:
            return Failure(Refused("refusing new work"))
        if engine.ignores_next_attempt:
            engine.ignores_next_attempt = False
            await sleep(timeout_s)
            return Failure(Silent(timeout_s))
        engine.accepted.append(call.attempt)
        self.prompts.add(call.prompt)
        run = FakeRun(call, self.loop.time(), engine.prefill_s, engine.salt)
        engine.runs[call.attempt] = run
        stream = self._connect(engine, engine.runs[call.attempt], 0)
        self.notify_step("accept", engine, stream)
        if stream.is_cut:
            await stream.close()
            return Failure(Broken("cut"))
        if stream.is_silent or engine.silent:
            await sleep(timeout_s)
            await stream.close()
            return Failure(Silent(timeout_s))
        return Success(stream)

    async def resume_stream(self, url, attempt, from_seq, timeout_s):
        """Resume the stream of a run."""
        engine = self.engines[url]
        error = await self._connection_error(engine, timeout_s)
        if error is not None:
            return Failure(error)
        run = engine.runs.get(attempt) or engine.finished.get(attempt)
        if run is None:
            return Failure(Gone("no such stream"))
        return Success(self._connect(engine, run, from_seq))

    async def release(self, url, kind, name, timeout_s):
        """Free a run."""
        engine = self.engines[url]
        error = await self._connection_error(engine, timeout_s)
        if error is not None:
            return Failure(error)
        engine.runs.pop(name, None)
        return Success(None)

    async def holdings(self, url, timeout_s):
        """Return the runs held by an engine."""
        engine = self.engines[url]
        error = await self._connection_error(engine, timeout_s)
        if error is not None:
            return Failure(error)
        held = tuple(Holding("stream", n, "", 1, 1.0, 1.0) for n in engine.runs)
        return Success(Holdings(engine.boot, held))

    async def drop_connections(self, url):
        """Record that the connections were dropped."""
        self.dropped_urls.append(url)

    def _connect(self, engine, run, position):
        stream = FakeStream(self, engine, run, position)
        engine.streams.add(stream)
        return stream

    async def _connection_error(self, engine, timeout_s):
        if engine.silent:
            await sleep(timeout_s)
            return Silent(timeout_s)
        if not engine.is_running or not engine.listens:
            return NotSent("connection refused")
        return None
