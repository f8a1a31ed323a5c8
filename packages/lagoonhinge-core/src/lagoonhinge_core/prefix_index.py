"""Index of the prompt prefixes in the KV caches of engines.

Cache events may be delayed or lost. The entries of an engine are used only while its
events have been read without a gap from one boot of the engine; otherwise they are
removed until the events are read again from the start.
"""

from dataclasses import dataclass, field
from hashlib import blake2b

from lagoonhinge_core.engine_messages import CacheEvents

MIN_PREFIX_BYTES = 4096  # each further prefix is twice as long
PREFIX_DIGEST_BYTES = 16
MAX_PREFIXES_PER_ENGINE = 20_000


@dataclass(frozen=True)
class Prefix:
    """The start of a prompt.

    Attributes:
        digest: Digest of the text, as reported by engines.
        fraction: Its length relative to the whole prompt, between 0 and 1.
    """

    digest: str
    fraction: float


def prefixes_of(prompt: str) -> tuple[Prefix, ...]:
    """Return the prefixes of a prompt, longest first, of doubling byte lengths."""
    raw = prompt.encode()
    digest = blake2b(digest_size=PREFIX_DIGEST_BYTES)
    prefixes: list[Prefix] = []
    start, end = 0, MIN_PREFIX_BYTES
    while end <= len(raw):
        digest.update(memoryview(raw)[start:end])
        prefixes.append(Prefix(digest.hexdigest(), end / len(raw)))
        start, end = end, 2 * end
    return tuple(reversed(prefixes))


@dataclass
class EngineCache:
    """Cached prefixes of one engine.

    Attributes:
        boot: Boot of the engine that emitted the events.
        next_seq: Sequence number of the next event.
        prefixes: Digests of the cached prefixes.
    """

    boot: str
    next_seq: int = 0
    prefixes: set[str] = field(default_factory=set)


class PrefixIndex:
    """Cached prefixes by upstream name."""

    def __init__(self) -> None:
        self.engines: dict[str, EngineCache] = {}

    def next_seq(self, upstream: str) -> int:
        """Return the next event number to read; 0 reads the whole cache."""
        engine = self.engines.get(upstream)
        return 0 if engine is None else engine.next_seq

    def apply(self, upstream: str, events: CacheEvents) -> bool:
        """Apply events that were read from `next_seq` on.

        Returns:
            Whether the events were applied. After a gap or a new boot the engine is
            removed and its events must be read from 0.
        """
        engine = self.engines.get(upstream)
        if engine is None:
            engine = EngineCache(events.boot)
        if engine.boot != events.boot:
            self.remove(upstream)
            return False
        for event in events.events:
            if event.seq < engine.next_seq:
                continue
            if event.seq > engine.next_seq:
                self.remove(upstream)
                return False
            engine.next_seq += 1
            if event.cached and len(engine.prefixes) < MAX_PREFIXES_PER_ENGINE:
                engine.prefixes.add(event.prefix)
            else:
                engine.prefixes.discard(event.prefix)
        if engine.next_seq != events.next_seq:
            self.remove(upstream)
            return False
        self.engines[upstream] = engine
        return True

    def remove(self, upstream: str) -> None:
        """Remove the entries of an engine."""
        self.engines.pop(upstream, None)

    def retain(self, upstreams: set[str]) -> None:
        """Remove all engines but those given."""
        for name in self.engines.keys() - upstreams:
            del self.engines[name]

    def cached_tokens(self, prompt: str, prompt_tokens: int) -> dict[str, int]:
        """Return the cached part of a prompt, in tokens by upstream name."""
        if not any(engine.prefixes for engine in self.engines.values()):
            return {}
        prefixes = prefixes_of(prompt)
        cached: dict[str, int] = {}
        for name, engine in self.engines.items():
            for prefix in prefixes:
                if prefix.digest in engine.prefixes:
                    cached[name] = int(prefix.fraction * prompt_tokens)
                    break
        return cached
