"""Timeouts for silent upstreams, after which a request may go to another one."""

from lagoonhinge_core.forwarding.routes import (
    AtMostOnce,
    EventStream,
    Idempotent,
    Route,
)

ANSWER_FACTOR = 2.0  # of the target time; nearly every call is answered within it
MIN_FIRST_EVENT_S = 1.0  # half of the 2 s after which callers abandon a stream
FIRST_EVENT_FACTOR = 2.0  # of the target or predicted time until the first event
MIN_EVENT_GAP_S = 1.0  # half of the 2 s after which callers abandon a stream
EVENT_GAP_FACTOR = 3.0  # of the longest gap that is on time
NO_TIMEOUT_S = float("inf")


def answer_timeout_s(route: Route, predicted_s: float) -> float:
    """Return how long to wait for an answer, or for a stream's first event.

    Args:
        route: The route.
        predicted_s: Predicted time to the first event, in seconds.
    """
    match route.kind:
        case Idempotent():
            return ANSWER_FACTOR * route.target_s
        case AtMostOnce():
            return NO_TIMEOUT_S
        case EventStream():
            min_s = max(MIN_FIRST_EVENT_S, FIRST_EVENT_FACTOR * route.target_s)
            return max(min_s, FIRST_EVENT_FACTOR * predicted_s)


def event_gap_timeout_s(kind: EventStream) -> float:
    """Return how long to wait for the next event of a stream, in seconds."""
    return max(MIN_EVENT_GAP_S, EVENT_GAP_FACTOR * kind.gap_target_s)
