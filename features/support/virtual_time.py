"""An event loop whose time jumps to the next timer instead of passing."""

from asyncio import SelectorEventLoop
from selectors import SelectSelector

WALL_OFFSET_S = 1_000_000.0


class _JumpingSelector(SelectSelector):
    now_s = 1000.0

    def select(self, timeout=None):
        events = super().select(0)
        assert events or timeout is not None, "every task waits and no timer is set"
        if not events and timeout > 0:
            self.now_s += timeout
        return events


class VirtualLoop(SelectorEventLoop):
    """Event loop and clock of one scenario; also serves as the `Clock` port."""

    def __init__(self):
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.jumping.now_s

    def monotonic_s(self) -> float:
        """Return the virtual time, in seconds."""
        return self.time()

    def wall_s(self) -> float:
        """Return a virtual time since the epoch, in seconds."""
        return WALL_OFFSET_S + self.time()

    def freeze(self, seconds: float) -> None:
        """Let time pass without running any task, as SIGSTOP does."""
        self.jumping.now_s += seconds
