"""What an engine was ordered to load, and what it has loaded."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lagoonhinge_core.engine_messages import Order, OrderReport

NOTHING_LOADED = OrderReport("", (), "mixed", False)


@dataclass(frozen=True)
class OldFencing:
    """An order of an old lease holder, which was not taken.

    Attributes:
        newest: Greatest fencing number seen so far.
    """

    newest: int


@dataclass
class OrderedState:
    """Orders and loads of one engine."""

    checks_fencing: bool
    clock: Callable[[], float]
    fencing: int = 0
    loaded: OrderReport = NOTHING_LOADED
    loading: OrderReport | None = None
    ready_s: float = 0.0
    loads_s: list[float] = field(default_factory=list)

    def obey(self, order: Order, load_s: float) -> OrderReport | OldFencing:
        """Take an order, unless its fencing number is old and checked."""
        if self.checks_fencing and order.fencing < self.fencing:
            return OldFencing(self.fencing)
        self.fencing = max(self.fencing, order.fencing)
        wanted = OrderReport(order.version, order.adapters, order.role, False)
        self.report()
        if wanted != (self.loading or self.loaded):
            self.loading = wanted
            self.ready_s = self.clock() + load_s
            self.loads_s.append(self.clock())
        return self.report()

    def report(self) -> OrderReport:
        """Return what is loaded, and whether a load is under way."""
        if self.loading is not None and self.clock() >= self.ready_s:
            self.loaded = self.loading
            self.loading = None
        return replace(self.loaded, busy=self.loading is not None)
