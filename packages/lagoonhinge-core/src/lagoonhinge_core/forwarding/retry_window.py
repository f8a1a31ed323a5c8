"""Bound on the repeated sends to a service in any window of time, shared by all nodes.

Each node takes an equal part of what all nodes together may repeat, plus a share of
the requests it got itself; so the parts never add up to more than the whole, with or
without contact between the nodes.
"""

from collections import deque
from dataclasses import dataclass

# Part of the bound that is used; the rest covers nodes that joined unseen.
USED_PART = 0.7


@dataclass(frozen=True)
class RetryBound:
    """Bound on repeated sends over all nodes.

    Attributes:
        window_s: Length of the window, in seconds.
        ratio: Repeats for each request of the window.
        extra: Repeats in each window beside these.
    """

    window_s: float
    ratio: float
    extra: float


class RetryWindow:
    """Counts one service's requests and repeated sends at this node."""

    def __init__(self, bound: RetryBound):
        self.bound = bound
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def count_request(self, now_s: float) -> None:
        """Count a request of a client."""
        self.requests.append(now_s)
        self._forget(now_s)

    def count_repeat(self, now_s: float) -> None:
        """Count a send beyond the first one of its request."""
        self.repeats.append(now_s)

    def allows_repeat(self, now_s: float, nodes: int) -> bool:
        """Return whether one more repeat keeps within this node's part.

        Args:
            now_s: The time, in seconds.
            nodes: Nodes that share the bound.
        """
        self._forget(now_s)
        bound = self.bound
        part = bound.extra / max(1, nodes) + bound.ratio * len(self.requests)
        return len(self.repeats) + 1 <= USED_PART * part

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self.bound.window_s
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest_s:
                times.popleft()
