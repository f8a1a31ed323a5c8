"""Prefix cache of the engine stand-in, with events that are late and have gaps."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from lagoonhinge_core.engine_messages import CacheEvent
from lagoonhinge_core.prefix_blocks import BLOCK_BYTES, prefix_names
from stand_ins.answers import BYTES_PER_TOKEN

BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
MAX_KEPT_EVENTS = 2048


@dataclass(frozen=True)
class TimedEvent:
    """An event and when it happened, on the engine's clock, in seconds."""

    at: float
    event: CacheEvent


@dataclass
class PrefixCache:
    """Blocks of prompt prefixes, the least recently used ones dropped first.

    Attributes:
        max_tokens: Memory of the cache, in tokens.
        event_lag_s: Age at which an event is published, in seconds.
        clock: Source of time.
        lose_every: Each event whose number is a multiple is never published; 0 for
            none.
    """

    max_tokens: int
    event_lag_s: float
    clock: Callable[[], float] = monotonic
    lose_every: int = 0
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[TimedEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_KEPT_EVENTS)
    )
    next_seq: int = 1

    def cached_tokens(self, prompt: str) -> int:
        """Return the length of the prompt's cached prefix, in tokens."""
        names = prefix_names(prompt.encode(), len(self.blocks))
        count = 0
        while count < len(names) and names[count] in self.blocks:
            count += 1
        return count * BLOCK_TOKENS

    def store(self, prompt: str) -> None:
        """Keep as much of a prompt's prefix as the cache can hold."""
        names = prefix_names(prompt.encode(), self.max_tokens // BLOCK_TOKENS)
        # Shorter prefixes are touched last, since longer ones are useless without.
        for name in reversed(names):
            if name not in self.blocks:
                self._note(name, True)
            self.blocks[name] = None
            self.blocks.move_to_end(name)
        while len(self.blocks) * BLOCK_TOKENS > self.max_tokens:
            name, _ = self.blocks.popitem(last=False)
            self._note(name, False)

    def published(self, after_seq: int) -> tuple[CacheEvent, ...]:
        """Return the events after a number that are old enough to be published."""
        limit = self.clock() - self.event_lag_s
        return tuple(
            timed.event
            for timed in self.events
            if timed.at <= limit
            and timed.event.seq > after_seq
            and not self._is_lost(timed.event.seq)
        )

    def _note(self, name: str, cached: bool) -> None:
        self.events.append(
            TimedEvent(self.clock(), CacheEvent(self.next_seq, name, cached))
        )
        self.next_seq += 1

    def _is_lost(self, seq: int) -> bool:
        return self.lose_every > 0 and seq % self.lose_every == 0
