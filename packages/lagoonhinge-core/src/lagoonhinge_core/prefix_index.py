"""Index of the prompt prefixes that engines are believed to hold in their caches.

Cache events come late and with gaps. An engine's part of the index is used only while
its events are known without a gap from one run of the engine; otherwise it is unknown
until it has been read again from the start.
"""

from dataclasses import dataclass, field
from hashlib import blake2b

from lagoonhinge_core.engine_messages import CacheEvents

FIRST_PREFIX_BYTES = 4096
PREFIX_DIGEST_BYTES = 16
MAX_PREFIXES_PER_ENGINE = 20_000


@dataclass(frozen=True)
class Prefix:
    """The start of a prompt.

    Attributes:
        digest: Digest of the text, as engines report it.
        part: Its part of the whole prompt, between 0 and 1.
    """

    digest: str
    part: float


def prefixes_of(prompt: str) -> tuple[Prefix, ...]:
    """Return the prefixes of a prompt, longest first, of doubling byte lengths."""
    raw = prompt.encode()
    digest = blake2b(digest_size=PREFIX_DIGEST_BYTES)
    found: list[Prefix] = []
    start, end = 0, FIRST_PREFIX_BYTES
    while end <= len(raw):
        digest.update(memoryview(raw)[start:end])
        found.append(Prefix(digest.hexdigest(), end / len(raw)))
        start, end = end, 2 * end
    return tuple(reversed(found))


@dataclass
class EngineCache:
    """What is known of one engine's cache.

    Attributes:
        boot: Run of the engine that the events came from.
        next_seq: Sequence number of the next event.
        prefixes: Digests believed cached.
    """

    boot: str
    next_seq: int = 0
    prefixes: set[str] = field(default_factory=set)


class PrefixIndex:
    """Cached prefixes by upstream name."""

    def __init__(self) -> None:
        self.engines: dict[str, EngineCache] = {}

    def next_seq(self, upstream: str) -> int:
        """Return where to read an engine's events on; 0 reads the whole state."""
        engine = self.engines.get(upstream)
        return 0 if engine is None else engine.next_seq

    def observe(self, upstream: str, events: CacheEvents) -> bool:
        """Take in events read from `next_seq` on.

        Returns:
            Whether the engine is known now. After a gap or a new run it is unknown,
            and its events are to be read from 0.
        """
        engine = self.engines.get(upstream)
        if engine is None:
            engine = EngineCache(events.boot)
        if engine.boot != events.boot:
            self.forget(upstream)
            return False
        for event in events.events:
            if event.seq < engine.next_seq:
                continue
            if event.seq > engine.next_seq:
                self.forget(upstream)
                return False
            engine.next_seq += 1
            if event.cached and len(engine.prefixes) < MAX_PREFIXES_PER_ENGINE:
                engine.prefixes.add(event.prefix)
            else:
                engine.prefixes.discard(event.prefix)
        if engine.next_seq != events.next_seq:
            self.forget(upstream)
            return False
        self.engines[upstream] = engine
        return True

    def forget(self, upstream: str) -> None:
        """Hold an engine's cache for unknown."""
        self.engines.pop(upstream, None)

    def keep_only(self, upstreams: set[str]) -> None:
        """Drop engines that are no longer configured."""
        for name in self.engines.keys() - upstreams:
            del self.engines[name]

    def cached_tokens(self, prompt: str, prompt_tokens: int) -> dict[str, int]:
        """Return the part of a prompt believed cached, in tokens by upstream name."""
        if not any(engine.prefixes for engine in self.engines.values()):
            return {}
        prefixes = prefixes_of(prompt)
        found: dict[str, int] = {}
        for name, engine in self.engines.items():
            for prefix in prefixes:
                if prefix.digest in engine.prefixes:
                    found[name] = int(prefix.part * prompt_tokens)
                    break
        return found
