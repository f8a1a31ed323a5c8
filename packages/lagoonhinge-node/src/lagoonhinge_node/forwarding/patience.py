"""A limit on an upstream's silence that holds only while another one could go on."""

from asyncio import Timeout, TimerHandle, get_running_loop
from collections.abc import Callable

RECHECK_S = 0.2  # until it is asked again whether another upstream could go on


class Patience:
    """Ends a send when its upstream is silent for too long.

    Args:
        limit: Ends the send when it expires.
        may_move: Tells, after a silence in seconds, whether another upstream should
            go on with the request now.
    """

    def __init__(self, limit: Timeout, may_move: Callable[[float], bool]):
        self.limit = limit
        self.may_move = may_move
        self.handle: TimerHandle | None = None
        self.since_s = 0.0

    def expect_within(self, limit_s: float) -> None:
        """Set the longest silence from now on, in seconds; may be infinite."""
        self.stop()
        if limit_s < float("inf"):
            loop = get_running_loop()
            self.since_s = loop.time()
            self.handle = loop.call_later(limit_s, self._check)

    def stop(self) -> None:
        """Take the limit away."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def _check(self) -> None:
        loop = get_running_loop()
        if self.may_move(loop.time() - self.since_s):
            self.limit.reschedule(loop.time())
        else:
            self.handle = loop.call_later(RECHECK_S, self._check)
