"""Model engine that works in passes, in virtual time.

A pass that decodes answers has `steps_per_pass` steps. Each step decodes one token of
every answer and prefills up to `chunk_tokens` tokens of waiting prompts. Without
answers, a pass ends as soon as one part of a prompt is prefilled. Parts for other
engines are prefilled first, the newest of them before the others: on the users' engines
a long part is prefilled before all parts submitted earlier.
"""

from collections import deque
from dataclasses import dataclass, field
from math import ceil

from bench.emulator.clock import TimedCallback, VirtualClock
from lagoonhinge_core.forwarding.engine_time import MILLION, EngineProfile

# Time that an answer adds to each decode step, itself and for each 1,000 tokens of its
# context, in seconds.
STEP_S_PER_ANSWER = 9.17e-7
STEP_S_PER_CONTEXT_UNIT = 2.13e-6
STEP_S_PER_HELPED_ANSWER = 1e-4  # added by an answer whose prompt is on several engines
CONTEXT_UNIT_TOKENS = 1000


@dataclass(eq=False)
class EngineRequest:
    """Request on its answering engine and the helpers.

    Attributes:
        prompt_tokens: Length of the prompt, in tokens.
        answer_tokens: Length of the answer, in tokens.
        engines: Engines that prefill the prompt; the first one answers it.
        reserved_tokens: Memory reserved on each of them, in tokens; the first one holds
            the rest.
        on_event: Called with the time of each event, in seconds.
        on_end: Called with the time of the last one, in seconds.
        pending_parts: Number of parts that are not prefilled yet.
        decoded_tokens: Answer tokens decoded so far.
        cancelled: Whether it was cancelled, because its caller disconnected.
    """

    prompt_tokens: int
    answer_tokens: int
    engines: tuple["EmulatedEngine", ...]
    reserved_tokens: tuple[int, ...]
    on_event: TimedCallback
    on_end: TimedCallback
    pending_parts: int = 0
    decoded_tokens: int = 0
    cancelled: bool = False

    def unreserved_tokens(self) -> int:
        """Return the memory that it uses on the first engine, in tokens."""
        return self.prompt_tokens + self.answer_tokens - sum(self.reserved_tokens)

    def send(self, now_s: float) -> None:
        """Submit the request to its engines."""
        self.pending_parts = len(self.engines)
        answering, *helpers = self.engines
        answering.submit(self, now_s)
        for engine, tokens in zip(self.engines, self.reserved_tokens, strict=True):
            engine.used_tokens += tokens
        for helper in helpers:
            helper.submit_part(self, now_s)


@dataclass(eq=False)
class PrefillPart:
    """Part of a prompt that one engine prefills.

    Attributes:
        request: The request.
        remaining_tokens: Tokens that are not prefilled yet.
        token_s: Prefill time of each token, in seconds.
    """

    request: EngineRequest
    remaining_tokens: float
    token_s: float


@dataclass
class EmulatedEngine:
    """One engine.

    Attributes:
        profile: Speeds and memory.
        clock: Clock that runs the end of each pass.
        waiting: Requests without a slot, in order of arrival.
        helper_parts: Unfinished parts of requests that other engines answer.
        own_parts: Parts of requests that this engine answers, until all parts of the
            prompt are prefilled.
        decoding: Requests whose answers are being decoded.
        used_tokens: Memory in use, in tokens.
        in_pass: Whether a pass is in progress.
    """

    profile: EngineProfile
    clock: VirtualClock
    waiting: deque[EngineRequest] = field(default_factory=deque)
    helper_parts: list[PrefillPart] = field(default_factory=list)
    own_parts: list[PrefillPart] = field(default_factory=list)
    decoding: list[EngineRequest] = field(default_factory=list)
    used_tokens: int = 0
    in_pass: bool = False

    def submit(self, request: EngineRequest, now_s: float) -> None:
        """Queue a request that this engine answers."""
        self.waiting.append(request)
        self._start_if_idle(now_s)

    def submit_part(self, request: EngineRequest, now_s: float) -> None:
        """Prefill a part of a request of another engine, before older parts."""
        self.helper_parts.insert(0, self._build_part(request))
        self._start_if_idle(now_s)

    def start_decode(self, request: EngineRequest, now_s: float) -> None:
        """Start to decode the answer; all parts of the prompt are prefilled."""
        if request.cancelled:
            return
        part = next(part for part in self.own_parts if part.request is request)
        self.own_parts.remove(part)
        self.decoding.append(request)
        request.on_event(now_s)
        self._start_if_idle(now_s)

    def _build_part(self, request: EngineRequest) -> PrefillPart:
        profile = self.profile
        pairs = request.prompt_tokens / 2 / MILLION
        token_s = (
            1 / profile.prefill_tokens_per_s
            + pairs * profile.attention_s_per_million_pairs
        )
        return PrefillPart(
            request, request.prompt_tokens / len(request.engines), token_s
        )

    def _start_if_idle(self, now_s: float) -> None:
        if not self.in_pass:
            self._start_pass(now_s)

    def _start_pass(self, now_s: float) -> None:
        self._drop_cancelled()
        self._admit()
        batch = tuple(self.decoding)
        parts = [
            part
            for part in (*self.helper_parts, *self.own_parts)
            if part.remaining_tokens > 0
        ]
        if not batch and not parts:
            return
        self.in_pass = True
        finished, prefilled_tokens, prefill_s = self._prefill(parts, bool(batch))
        profile = self.profile
        steps = (
            profile.steps_per_pass
            if batch
            else ceil(prefilled_tokens / profile.chunk_tokens)
        )
        duration_s = steps * (profile.step_s + _decode_s(batch)) + prefill_s
        self.clock.schedule(
            now_s + duration_s, lambda at_s: self._end_pass(at_s, batch, finished)
        )

    def _prefill(
        self, parts: list[PrefillPart], has_answers: bool
    ) -> tuple[list[PrefillPart], float, float]:
        """Prefill in one pass; return finished parts, tokens and seconds."""
        remaining = float(self.profile.steps_per_pass * self.profile.chunk_tokens)
        finished: list[PrefillPart] = []
        prefilled_tokens = prefill_s = 0.0
        for part in parts:
            part_tokens = min(part.remaining_tokens, remaining)
            part.remaining_tokens -= part_tokens
            remaining -= part_tokens
            prefilled_tokens += part_tokens
            prefill_s += part_tokens * part.token_s
            if part.remaining_tokens <= 0:
                finished.append(part)
            if remaining <= 0 or not has_answers:
                break
        return finished, prefilled_tokens, prefill_s

    def _end_pass(
        self,
        now_s: float,
        batch: tuple[EngineRequest, ...],
        finished: list[PrefillPart],
    ) -> None:
        self.in_pass = False
        for request in batch:
            if not request.cancelled:
                self._decode(request, now_s)
        for part in finished:
            if part in self.helper_parts:
                self.helper_parts.remove(part)
            part.request.pending_parts -= 1
            if not part.request.pending_parts:
                part.request.engines[0].start_decode(part.request, now_s)
        self._start_if_idle(now_s)

    def _decode(self, request: EngineRequest, now_s: float) -> None:
        request.decoded_tokens += self.profile.steps_per_pass
        request.on_event(now_s)
        if request.decoded_tokens >= request.answer_tokens:
            self.decoding.remove(request)
            self.release(request)
            request.on_end(now_s)

    def _admit(self) -> None:
        while self.waiting and self._has_room(self.waiting[0]):
            request = self.waiting.popleft()
            if not request.cancelled:
                self.used_tokens += request.unreserved_tokens()
                self.own_parts.append(self._build_part(request))

    def _has_room(self, request: EngineRequest) -> bool:
        open_requests = len(self.own_parts) + len(self.decoding)
        if open_requests >= self.profile.slots:
            return False
        return self.used_tokens + request.unreserved_tokens() <= self.profile.kv_tokens

    def release(self, request: EngineRequest) -> None:
        """Free the memory of a request of this engine, here and on its helpers."""
        self.used_tokens -= request.unreserved_tokens()
        for engine, tokens in zip(
            request.engines, request.reserved_tokens, strict=True
        ):
            engine.used_tokens -= tokens

    def _drop_cancelled(self) -> None:
        for request in [request for request in self.decoding if request.cancelled]:
            self.decoding.remove(request)
            self.release(request)
        for part in [part for part in self.own_parts if part.request.cancelled]:
            self.own_parts.remove(part)
            self.release(part.request)
        self.helper_parts = [
            part for part in self.helper_parts if not part.request.cancelled
        ]


def _decode_s(batch: tuple[EngineRequest, ...]) -> float:
    """Return the time that answers add to a decode step, in seconds."""
    total_s = 0.0
    for request in batch:
        context = request.prompt_tokens / len(request.engines) + request.decoded_tokens
        total_s += (
            STEP_S_PER_ANSWER + STEP_S_PER_CONTEXT_UNIT * context / CONTEXT_UNIT_TOKENS
        )
        if len(request.engines) > 1:
            total_s += STEP_S_PER_HELPED_ANSWER
    return total_s
