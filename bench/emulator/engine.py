"""A model engine that works in passes, in virtual time.

A pass that serves answers makes `stride` steps, each of which yields a token of every
answer and reads up to `chunk` tokens of waiting prompts. Without answers, a pass ends
as soon as one part of a prompt has been read. Parts for other engines are read first,
and the newest of them before the others: on the users' engines a long part overtakes
all that were given before it.
"""

from collections import deque
from dataclasses import dataclass, field
from math import ceil

from bench.emulator.clock import Timed, VirtualClock
from lagoonhinge_core.forwarding.engine_time import MILLION, EngineProfile

# What an answer adds to each step, itself and by 1,000 tokens of context, in seconds.
STEP_PER_ANSWER_S = 9.17e-7
STEP_PER_CONTEXT_S = 2.13e-6
STEP_PER_HELPED_S = 1e-4  # of an answer whose prompt several engines hold
CONTEXT_UNIT = 1000  # tokens


@dataclass(eq=False)
class EngineRequest:
    """A request on its way through one engine and its helpers.

    Attributes:
        prompt_tokens: Length of the prompt, in tokens.
        answer_tokens: Length of the answer, in tokens.
        readers: Engines that read the prompt; the first one answers it.
        held: Memory set aside on each of them, in tokens; the first one keeps the rest.
        on_event: Called with the time of each event, in seconds.
        on_end: Called with the time of the last one, in seconds.
        unread: Parts that are still to be read.
        written: Answer tokens so far.
        left: Whether its caller has gone.
    """

    prompt_tokens: int
    answer_tokens: int
    readers: tuple["EmulatedEngine", ...]
    held: tuple[int, ...]
    on_event: Timed
    on_end: Timed
    unread: int = 0
    written: int = 0
    left: bool = False

    def size(self) -> int:
        """Return the memory that it takes on the first engine, in tokens."""
        return self.prompt_tokens + self.answer_tokens - sum(self.held)

    def send(self, now_s: float) -> None:
        """Give the request to its engines."""
        self.unread = len(self.readers)
        first, *helpers = self.readers
        first.submit(self, now_s)
        for reader, tokens in zip(self.readers, self.held, strict=True):
            reader.tokens += tokens
        for helper in helpers:
            helper.help_read(self, now_s)


@dataclass(eq=False)
class Part:
    """A part of a prompt that one engine reads.

    Attributes:
        request: The request.
        tokens: Tokens that are still to be read.
        token_s: Time for each, in seconds.
    """

    request: EngineRequest
    tokens: float
    token_s: float


@dataclass
class EmulatedEngine:
    """One engine.

    Attributes:
        profile: Speeds and memory.
        clock: Calls back at the ends of passes.
        waiting: Requests without a slot, in order of arrival.
        helping: Parts of requests that other engines answer.
        reading: Parts of own requests, also while helpers still read.
        writing: Requests whose answers are being written.
        tokens: Memory in use, in tokens.
        in_pass: Whether a pass is under way.
    """

    profile: EngineProfile
    clock: VirtualClock
    waiting: deque[EngineRequest] = field(default_factory=deque)
    helping: list[Part] = field(default_factory=list)
    reading: list[Part] = field(default_factory=list)
    writing: list[EngineRequest] = field(default_factory=list)
    tokens: int = 0
    in_pass: bool = False

    def submit(self, request: EngineRequest, now_s: float) -> None:
        """Queue a request that this engine is to answer."""
        self.waiting.append(request)
        self._wake(now_s)

    def help_read(self, request: EngineRequest, now_s: float) -> None:
        """Read a part of a request that another engine answers, before older parts."""
        self.helping.insert(0, self._part(request))
        self._wake(now_s)

    def begin_answer(self, request: EngineRequest, now_s: float) -> None:
        """Begin to write, once all parts of the prompt have been read."""
        if request.left:
            return
        part = next(part for part in self.reading if part.request is request)
        self.reading.remove(part)
        self.writing.append(request)
        request.on_event(now_s)
        self._wake(now_s)

    def _part(self, request: EngineRequest) -> Part:
        profile = self.profile
        pairs = request.prompt_tokens / 2 / MILLION
        token_s = (
            1 / profile.prefill_tokens_per_s
            + pairs * profile.attention_s_per_million_pairs
        )
        return Part(request, request.prompt_tokens / len(request.readers), token_s)

    def _wake(self, now_s: float) -> None:
        if not self.in_pass:
            self._start_pass(now_s)

    def _start_pass(self, now_s: float) -> None:
        self._drop_left()
        self._admit()
        writers = tuple(self.writing)
        queue = [part for part in (*self.helping, *self.reading) if part.tokens > 0]
        if not writers and not queue:
            return
        self.in_pass = True
        done, read_tokens, read_s = self._read(queue, bool(writers))
        profile = self.profile
        steps = (
            profile.steps_per_pass
            if writers
            else ceil(read_tokens / profile.chunk_tokens)
        )
        took_s = steps * (profile.step_s + _answers_s(writers)) + read_s
        self.clock.schedule(
            now_s + took_s, lambda at_s: self._end_pass(at_s, writers, done)
        )

    def _read(
        self, queue: list[Part], serves_answers: bool
    ) -> tuple[list[Part], float, float]:
        """Read within one pass; return parts that are done, tokens and seconds."""
        left = float(self.profile.steps_per_pass * self.profile.chunk_tokens)
        done: list[Part] = []
        read_tokens = read_s = 0.0
        for part in queue:
            taken = min(part.tokens, left)
            part.tokens -= taken
            left -= taken
            read_tokens += taken
            read_s += taken * part.token_s
            if part.tokens <= 0:
                done.append(part)
            if left <= 0 or not serves_answers:
                break
        return done, read_tokens, read_s

    def _end_pass(
        self, now_s: float, writers: tuple[EngineRequest, ...], done: list[Part]
    ) -> None:
        self.in_pass = False
        for request in writers:
            if not request.left:
                self._write(request, now_s)
        for part in done:
            if part in self.helping:
                self.helping.remove(part)
            part.request.unread -= 1
            if not part.request.unread:
                part.request.readers[0].begin_answer(part.request, now_s)
        self._wake(now_s)

    def _write(self, request: EngineRequest, now_s: float) -> None:
        request.written += self.profile.steps_per_pass
        request.on_event(now_s)
        if request.written >= request.answer_tokens:
            self.writing.remove(request)
            self.release(request)
            request.on_end(now_s)

    def _admit(self) -> None:
        while self.waiting and self._has_room(self.waiting[0]):
            request = self.waiting.popleft()
            if not request.left:
                self.tokens += request.size()
                self.reading.append(self._part(request))

    def _has_room(self, request: EngineRequest) -> bool:
        open_requests = len(self.reading) + len(self.writing)
        if open_requests >= self.profile.slots:
            return False
        return self.tokens + request.size() <= self.profile.kv_tokens

    def release(self, request: EngineRequest) -> None:
        """Free what a request of this engine takes, here and on its helpers."""
        self.tokens -= request.size()
        for reader, tokens in zip(request.readers, request.held, strict=True):
            reader.tokens -= tokens

    def _drop_left(self) -> None:
        for request in [request for request in self.writing if request.left]:
            self.writing.remove(request)
            self.release(request)
        for part in [part for part in self.reading if part.request.left]:
            self.reading.remove(part)
            self.release(part.request)
        self.helping = [part for part in self.helping if not part.request.left]


def _answers_s(writers: tuple[EngineRequest, ...]) -> float:
    """Return what answers add to a step, in seconds."""
    total_s = 0.0
    for request in writers:
        context = request.prompt_tokens / len(request.readers) + request.written
        total_s += STEP_PER_ANSWER_S + STEP_PER_CONTEXT_S * context / CONTEXT_UNIT
        if len(request.readers) > 1:
            total_s += STEP_PER_HELPED_S
    return total_s
