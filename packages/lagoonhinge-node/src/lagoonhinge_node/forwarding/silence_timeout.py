"""Timeout for a silent upstream, which reports only while a failover is possible."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable

RECHECK_INTERVAL_S = 0.2  # until the next check whether a failover is possible


class SilenceTimeout:
    """Reports an upstream that is silent for too long.

    Args:
        may_fail_over: Returns whether another upstream may take over after a silence,
            given in seconds.
        report_silence: Called with the length of a silence, in seconds, after which
            another upstream may take over.
    """

    def __init__(
        self,
        may_fail_over: Callable[[float], bool],
        report_silence: Callable[[float], None],
    ):
        self.may_fail_over = may_fail_over
        self.report_silence = report_silence
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
        silent_s = loop.time() - self.started_s
        if self.may_fail_over(silent_s):
            self.report_silence(silent_s)
        # The attempt that starts now may fail, and another one may be possible later.
        self.handle = loop.call_later(RECHECK_INTERVAL_S, self._check)
