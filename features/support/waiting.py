"""Polling for an expected condition, with a timeout."""

from collections.abc import Callable
from time import monotonic, sleep

DEFAULT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1


def eventually(check: Callable[[], None], timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
    """Repeat a check until it passes; raise its last failure at the timeout."""
    deadline_s = monotonic() + timeout_s
    while True:
        try:
            return check()
        except (AssertionError, KeyError, OSError):
            if monotonic() > deadline_s:
                raise
        sleep(POLL_INTERVAL_S)
