"""Orders to an engine, and what it loads and has loaded."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lagoonhinge_core.engine_messages import Order, OrderReport

NOTHING_LOADED = OrderReport("", (), "mixed", False)


@dataclass(frozen=True)
class StaleFencing:
    """Rejection of an order from a previous lease holder.

    Attributes:
        highest_seen: Highest fencing number received so far.
    """

    highest_seen: int


@dataclass
class OrderState:
    """Newest order and loaded state of one engine."""

    checks_fencing: bool
    clock: Callable[[], float]
    fencing: int = 0
    loaded: OrderReport = NOTHING_LOADED
    loading: OrderReport | None = None
    loaded_at_s: float = 0.0
    load_starts_s: list[float] = field(default_factory=list)

    def apply(self, order: Order, load_s: float) -> OrderReport | StaleFencing:
        """Apply an order, unless fencing is checked and its number is stale."""
        if self.checks_fencing and order.fencing < self.fencing:
            return StaleFencing(self.fencing)
        self.fencing = max(self.fencing, order.fencing)
        desired = OrderReport(order.version, order.adapters, order.role, False)
        self.report()
        if desired != (self.loading or self.loaded):
            self.loading = desired
            self.loaded_at_s = self.clock() + load_s
            self.load_starts_s.append(self.clock())
        return self.report()

    def report(self) -> OrderReport:
        """Return what is loaded and whether a load is in progress."""
        if self.loading is not None and self.clock() >= self.loaded_at_s:
            self.loaded = self.loading
            self.loading = None
        return replace(self.loaded, busy=self.loading is not None)
