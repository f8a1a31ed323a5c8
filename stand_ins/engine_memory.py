"""Memory of the engine stand-in: owner, size and expiry of each allocation."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from time import monotonic

from lagoonhinge_core.engine_messages import Holding

STREAM = "stream"
RESERVATION = "reservation"
EXPORT = "export"


@dataclass(frozen=True)
class HoldingKey:
    """Kind and name under which a holding is released."""

    kind: str
    name: str


@dataclass(frozen=True)
class Allocation:
    """One allocation.

    Attributes:
        owner: Identity of the node that requested it.
        tokens: Size, in tokens.
        expires_at_s: Time at which it is dropped, on the engine's clock, in seconds.
        allocated_s: Time of the allocation, on the engine's clock, in seconds.
    """

    owner: str
    tokens: int
    expires_at_s: float
    allocated_s: float


@dataclass
class MemoryPool:
    """Memory of one engine, in tokens."""

    total_tokens: int
    clock: Callable[[], float] = monotonic
    allocations: dict[HoldingKey, Allocation] = field(default_factory=dict)

    @property
    def used_tokens(self) -> int:
        """Return the memory in use."""
        return sum(allocation.tokens for allocation in self.allocations.values())

    def allocate(
        self, key: HoldingKey, owner: str, tokens: int, expires_at_s: float
    ) -> bool:
        """Allocate memory if enough is free; return whether it was allocated."""
        assert key not in self.allocations, key
        if self.used_tokens + tokens > self.total_tokens:
            return False
        self.allocations[key] = Allocation(owner, tokens, expires_at_s, self.clock())
        return True

    def transfer(
        self, source: HoldingKey, key: HoldingKey, tokens: int, expires_at_s: float
    ) -> bool:
        """Transfer memory from one holding to a new one.

        Returns:
            Whether the source exists and is large enough, and `key` is unused.
        """
        allocation = self.allocations.get(source)
        if allocation is None or allocation.tokens < tokens or key in self.allocations:
            return False
        self.allocations[source] = replace(
            allocation, tokens=allocation.tokens - tokens
        )
        self.allocations[key] = Allocation(
            allocation.owner, tokens, expires_at_s, self.clock()
        )
        return True

    def free(self, key: HoldingKey) -> bool:
        """Free a holding; return whether it existed."""
        return self.allocations.pop(key, None) is not None

    def expired(self) -> tuple[HoldingKey, ...]:
        """Return the expired holdings."""
        now_s = self.clock()
        return tuple(
            key
            for key, allocation in self.allocations.items()
            if allocation.expires_at_s < now_s
        )

    def holdings(self) -> tuple[Holding, ...]:
        """Return every holding, as sent to nodes."""
        now_s = self.clock()
        return tuple(
            Holding(
                kind=key.kind,
                name=key.name,
                owner=allocation.owner,
                tokens=allocation.tokens,
                expires_in_s=allocation.expires_at_s - now_s,
                age_s=now_s - allocation.allocated_s,
            )
            for key, allocation in self.allocations.items()
        )
