"""An event loop whose time moves only when every task waits."""

from asyncio import SelectorEventLoop
from selectors import DefaultSelector


class _JumpingSelector(DefaultSelector):
    def __init__(self):
        super().__init__()
        self.loop = None

    def select(self, timeout=None):
        assert timeout is not None, "every task waits and no timer is set"
        self.loop.now_s += timeout
        return super().select(0)


class VirtualLoop(SelectorEventLoop):
    """Runs tasks in virtual time; is a `Clock` as well."""

    def __init__(self):
        self.now_s = 1000.0
        selector = _JumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now_s

    def monotonic_s(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now_s

    def wall_s(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now_s

    def freeze(self, seconds: float) -> None:
        """Let time pass without running any task, as SIGSTOP does."""
        self.now_s += seconds
