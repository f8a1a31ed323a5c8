"""Timeout for a silent upstream, in force only while a failover is possible."""

from asyncio import Timeout, TimerHandle, get_running_loop
from collections.abc import Callable

RECHECK_INTERVAL_S = 0.2  # until the next check whether a failover is possible


class SilenceTimeout:
    """Ends an attempt when its upstream is silent for too long.

    Args:
        attempt_timeout: Ends the attempt when it expires.
        may_fail_over: Returns whether to fail over to another upstream after a silence,
            given in seconds.
    """

    def __init__(
        self, attempt_timeout: Timeout, may_fail_over: Callable[[float], bool]
    ):
        self.attempt_timeout = attempt_timeout
        self.may_fail_over = may_fail_over
        self.handle: TimerHandle | None = None
        self.started_s = 0.0

    def restart(self, limit_s: float) -> None:
        """Restart with a limit in seconds, which may be infinite."""
        self.stop()
        if limit_s < float("inf"):
            loop = get_running_loop()
            self.started_s = loop.time()
            self.handle = loop.call_later(limit_s, self._check)

    def stop(self) -> None:
        """Stop the timeout."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def _check(self) -> None:
        loop = get_running_loop()
        if self.may_fail_over(loop.time() - self.started_s):
            self.attempt_timeout.reschedule(loop.time())
        else:
            self.handle = loop.call_later(RECHECK_INTERVAL_S, self._check)
