"""An event loop whose time jumps to the next timer instead of passing."""

from asyncio import SelectorEventLoop
from selectors import SelectSelector


class _JumpingSelector(SelectSelector):
    now_s = 0.0

    def select(self, timeout=None):
        events = super().select(0)
        assert events or timeout is not None, "nothing is left to wait for"
        if not events and timeout > 0:
            self.now_s += timeout
        return events


class VirtualLoop(SelectorEventLoop):
    """Event loop and clock of one scenario; also serves as the `Clock` port."""

    def __init__(self):
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now_s

    def pause(self, seconds: float) -> None:
        """Let time pass while nothing runs, as when the process is frozen."""
        self.jumping.now_s += seconds

    def monotonic_s(self) -> float:
        return self.time()

    def wall_s(self) -> float:
        return 1_000_000.0 + self.time()
