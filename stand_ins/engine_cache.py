"""Prefix cache of the engine stand-in, with events that are late and have gaps."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from lagoonhinge_core.engine_messages import CacheEvent
from lagoonhinge_core.prefix_index import prefixes_of
from stand_ins.answers import count_tokens

MAX_KEPT_EVENTS = 4096


@dataclass(frozen=True)
class TimedEvent:
    """An event and when it happened, on the engine's clock, in seconds."""

    at: float
    event: CacheEvent


@dataclass(frozen=True)
class CacheEventsRead:
    """Published events, and the number of the first one that is not published yet."""

    events: tuple[CacheEvent, ...]
    next_seq: int


@dataclass
class PrefixCache:
    """Prefixes of prompts, the least recently used ones dropped first.

    Attributes:
        max_tokens: Memory of the cache, in tokens.
        event_lag_s: Age at which an event is published, in seconds.
        clock: Source of time.
        lose_every: Each event whose number is a multiple is left out of what is read
            on from a later number than 0; 0 for none.
        lengths: Length of each cached prefix, in tokens, by name.
    """

    max_tokens: int
    event_lag_s: float
    clock: Callable[[], float] = monotonic
    lose_every: int = 0
    lengths: OrderedDict[str, int] = field(default_factory=OrderedDict)
    events: deque[TimedEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_KEPT_EVENTS)
    )
    next_seq: int = 0

    def cached_tokens(self, prompt: str) -> int:
        """Return the length of the prompt's longest cached prefix, in tokens."""
        if not self.lengths:
            return 0
        for prefix in prefixes_of(prompt):
            if prefix.digest in self.lengths:
                return self.lengths[prefix.digest]
        return 0

    def store(self, prompt: str) -> None:
        """Keep as much of a prompt's prefix as the cache can hold."""
        tokens = count_tokens(prompt)
        # Longest first: shorter prefixes are used by more prompts and stay longer.
        for prefix in prefixes_of(prompt):
            length = int(prefix.fraction * tokens)
            if length > self.max_tokens:
                continue
            if prefix.digest not in self.lengths:
                self._note(prefix.digest, True)
            self.lengths[prefix.digest] = length
            self.lengths.move_to_end(prefix.digest)
        while sum(self.lengths.values()) > self.max_tokens:
            name, _ = self.lengths.popitem(last=False)
            self._note(name, False)

    def published(self, from_seq: int) -> CacheEventsRead:
        """Return the events from a number on that are old enough to be published.

        Args:
            from_seq: First number wanted; 0 reads everything, without gaps.
        """
        limit = self.clock() - self.event_lag_s
        events = [timed.event for timed in self.events if timed.at <= limit]
        next_seq = events[-1].seq + 1 if events else 0
        if from_seq > 0:
            events = [e for e in events if e.seq >= from_seq and not self._is_lost(e)]
        return CacheEventsRead(tuple(events), next_seq)

    def _note(self, name: str, cached: bool) -> None:
        event = CacheEvent(self.next_seq, name, cached)
        self.events.append(TimedEvent(self.clock(), event))
        self.next_seq += 1

    def _is_lost(self, event: CacheEvent) -> bool:
        return self.lose_every > 0 and event.seq % self.lose_every == 0
