"""Prefix cache of the engine stand-in, with delayed events that may have gaps."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from lagoonhinge_core.engine_messages import CacheEvent
from lagoonhinge_core.prefix_index import prefixes_of
from stand_ins.answers import count_tokens

MAX_RETAINED_EVENTS = 4096


@dataclass(frozen=True)
class TimedEvent:
    """An event and its time on the engine's clock, in seconds."""

    recorded_s: float
    event: CacheEvent


@dataclass(frozen=True)
class PublishedEvents:
    """Published events, and the number of the first unpublished one."""

    events: tuple[CacheEvent, ...]
    next_seq: int


@dataclass
class PrefixCache:
    """Prefixes of prompts; the least recently used are evicted first.

    Attributes:
        max_tokens: Memory of the cache, in tokens.
        event_lag_s: Age at which an event is published, in seconds.
        clock: Source of time.
        omit_every: Events whose number is a multiple of this are omitted from reads
            that start after number 0; 0 omits none.
        prefix_tokens: Length of each cached prefix, in tokens, by digest.
    """

    max_tokens: int
    event_lag_s: float
    clock: Callable[[], float] = monotonic
    omit_every: int = 0
    prefix_tokens: OrderedDict[str, int] = field(default_factory=OrderedDict)
    events: deque[TimedEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_RETAINED_EVENTS)
    )
    next_seq: int = 0

    def cached_tokens(self, prompt: str) -> int:
        """Return the length of the prompt's longest cached prefix, in tokens."""
        if not self.prefix_tokens:
            return 0
        for prefix in prefixes_of(prompt):
            if prefix.digest in self.prefix_tokens:
                return self.prefix_tokens[prefix.digest]
        return 0

    def store(self, prompt: str) -> None:
        """Cache the prefixes of a prompt that fit."""
        tokens = count_tokens(prompt)
        # Longest first, so that the shorter prefixes, which more prompts share, are
        # evicted last.
        for prefix in prefixes_of(prompt):
            length = int(prefix.fraction * tokens)
            if length > self.max_tokens:
                continue
            if prefix.digest not in self.prefix_tokens:
                self._record(prefix.digest, True)
            self.prefix_tokens[prefix.digest] = length
            self.prefix_tokens.move_to_end(prefix.digest)
        while sum(self.prefix_tokens.values()) > self.max_tokens:
            digest, _ = self.prefix_tokens.popitem(last=False)
            self._record(digest, False)

    def published(self, from_seq: int) -> PublishedEvents:
        """Return the published events from a number on.

        Args:
            from_seq: First number to return; 0 returns all events without gaps.
        """
        published_until_s = self.clock() - self.event_lag_s
        events = [
            timed.event
            for timed in self.events
            if timed.recorded_s <= published_until_s
        ]
        next_seq = events[-1].seq + 1 if events else 0
        if from_seq > 0:
            events = [
                event
                for event in events
                if event.seq >= from_seq and not self._is_omitted(event)
            ]
        return PublishedEvents(tuple(events), next_seq)

    def _record(self, digest: str, cached: bool) -> None:
        event = CacheEvent(self.next_seq, digest, cached)
        self.events.append(TimedEvent(self.clock(), event))
        self.next_seq += 1

    def _is_omitted(self, event: CacheEvent) -> bool:
        return self.omit_every > 0 and event.seq % self.omit_every == 0
