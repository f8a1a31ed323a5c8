"""How long a silent upstream is waited for before a request is sent elsewhere."""

from lagoonhinge_core.forwarding.routes import (
    AtMostOnce,
    EventStream,
    Idempotent,
    Route,
)

CALL_TARGETS = 2.0  # target times in which nearly every call is answered
LEAST_FIRST_EVENT_S = 1.0  # half of the 2 s after which callers leave a stream
FIRST_EVENT_TARGETS = 2.0  # target times in which a stream begins
LEAST_PAUSE_S = 1.0  # half of the 2 s after which callers leave a stream
PAUSE_LIMITS = 3.0  # limits of a pause in which the next event arrives
FOREVER_S = float("inf")


def answer_limit_s(route: Route, predicted_s: float) -> float:
    """Return how long to wait for an answer, or for a stream's first event.

    Args:
        route: The route.
        predicted_s: Predicted time to the first event, in seconds.
    """
    match route.kind:
        case Idempotent():
            return CALL_TARGETS * route.target_s
        case AtMostOnce():
            return FOREVER_S
        case EventStream():
            least_s = max(LEAST_FIRST_EVENT_S, FIRST_EVENT_TARGETS * route.target_s)
            return max(least_s, FIRST_EVENT_TARGETS * predicted_s)


def pause_limit_s(kind: EventStream) -> float:
    """Return how long to wait for the next event of a stream, in seconds."""
    return max(LEAST_PAUSE_S, PAUSE_LIMITS * kind.gap_target_s)
