"""Memory ledger of the engine stand-in: who holds how many tokens, and until when."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from time import monotonic

from lagoonhinge_core.engine_messages import Holding

STREAM = "stream"
RESERVATION = "reservation"
EXPORT = "export"


@dataclass(frozen=True)
class HoldingKey:
    """Kind and name of a holding, under which it is released."""

    kind: str
    name: str


@dataclass(frozen=True)
class Held:
    """Memory in use.

    Attributes:
        owner: Identity of the node that asked for it.
        tokens: Size, in tokens.
        expires: When it is dropped, on the engine's clock, in seconds.
        since: When it was taken, on the engine's clock, in seconds.
    """

    owner: str
    tokens: int
    expires: float
    since: float


@dataclass
class MemoryLedger:
    """Memory of one engine, in tokens."""

    total_tokens: int
    clock: Callable[[], float] = monotonic
    held: dict[HoldingKey, Held] = field(default_factory=dict)

    @property
    def used_tokens(self) -> int:
        """Return the memory in use."""
        return sum(held.tokens for held in self.held.values())

    def take(self, key: HoldingKey, owner: str, tokens: int, expires: float) -> bool:
        """Take memory if that much is free; returns whether it was taken."""
        assert key not in self.held, key
        if self.used_tokens + tokens > self.total_tokens:
            return False
        self.held[key] = Held(owner, tokens, expires, self.clock())
        return True

    def move(
        self, source: HoldingKey, key: HoldingKey, tokens: int, expires: float
    ) -> bool:
        """Turn a part of a holding into another one; returns whether it was enough."""
        held = self.held.get(source)
        if held is None or held.tokens < tokens or key in self.held:
            return False
        self.held[source] = replace(held, tokens=held.tokens - tokens)
        self.held[key] = Held(held.owner, tokens, expires, self.clock())
        return True

    def free(self, key: HoldingKey) -> bool:
        """Free a holding; returns whether it was held."""
        return self.held.pop(key, None) is not None

    def expired(self) -> tuple[HoldingKey, ...]:
        """Return the holdings that are past their expiry."""
        now = self.clock()
        return tuple(key for key, held in self.held.items() if held.expires < now)

    def holdings(self) -> tuple[Holding, ...]:
        """Return every holding, as sent to whoever asks."""
        now = self.clock()
        return tuple(
            Holding(
                kind=key.kind,
                name=key.name,
                owner=held.owner,
                tokens=held.tokens,
                expires_in_s=held.expires - now,
                age_s=now - held.since,
            )
            for key, held in self.held.items()
        )
