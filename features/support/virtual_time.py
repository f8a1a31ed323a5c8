"""Event loop with virtual time, which advances to the next timer at once."""

from asyncio import SelectorEventLoop
from selectors import SelectSelector

WALL_OFFSET_S = 1_000_000.0  # wall time minus virtual time


class _VirtualTimeSelector(SelectSelector):
    now_s = 1000.0

    def select(self, timeout=None):
        events = super().select(0)
        assert events or timeout is not None, "every task waits and no timer is set"
        if not events and timeout > 0:
            self.now_s += timeout
        return events


class VirtualLoop(SelectorEventLoop):
    """Event loop of one scenario; also implements the `Clock` port."""

    def __init__(self):
        self.virtual_selector = _VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.virtual_selector.now_s

    def monotonic_s(self) -> float:
        """Return the virtual time, in seconds."""
        return self.time()

    def wall_s(self) -> float:
        """Return a virtual time since the epoch, in seconds."""
        return WALL_OFFSET_S + self.time()

    def freeze(self, seconds: float) -> None:
        """Advance the time without running any task, as SIGSTOP does."""
        self.virtual_selector.now_s += seconds
