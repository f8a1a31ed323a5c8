"""Retry budget of a service over a sliding window, shared by all nodes.

Each node may use an equal part of the fixed budget of all nodes, plus a share of its
own requests. So the parts never add up to more than the budget, even if nodes can't
reach each other.
"""

from collections import deque
from dataclasses import dataclass

USED_SHARE = 0.7  # of the budget; the rest is for new nodes not yet listed here


@dataclass(frozen=True)
class RetryBound:
    """Retry budget of all nodes.

    Attributes:
        window_s: Length of the window, in seconds.
        ratio: Retries for each request in the window.
        extra: Additional retries in each window.
    """

    window_s: float
    ratio: float
    extra: float


class RetryWindow:
    """Counts one service's requests and retries at this node."""

    def __init__(self, bound: RetryBound):
        self.bound = bound
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def count_request(self, now_s: float) -> None:
        """Count a client's request."""
        self.requests.append(now_s)
        self._expire(now_s)

    def count_retry(self, now_s: float) -> None:
        """Count an attempt after the first one of its request."""
        self.retries.append(now_s)

    def allows_retry(self, now_s: float, nodes: int) -> bool:
        """Return whether one more retry is within this node's part of the budget.

        Args:
            now_s: The time, in seconds.
            nodes: Number of nodes that share the budget.
        """
        self._expire(now_s)
        bound = self.bound
        part = bound.extra / max(1, nodes) + bound.ratio * len(self.requests)
        return len(self.retries) + 1 <= USED_SHARE * part

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self.bound.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < oldest_s:
                times.popleft()
