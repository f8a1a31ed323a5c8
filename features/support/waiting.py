"""Waiting for a state that must come, within a generous liveness bound."""

from collections.abc import Callable
from time import monotonic, sleep

LIVENESS_BOUND_S = 30.0
PAUSE_S = 0.1


def eventually(check: Callable[[], None], bound_s: float = LIVENESS_BOUND_S) -> None:
    """Repeat a check until it passes; its last failure stands at the bound."""
    until = monotonic() + bound_s
    while True:
        try:
            return check()
        except (AssertionError, KeyError, OSError):
            if monotonic() > until:
                raise
        sleep(PAUSE_S)
