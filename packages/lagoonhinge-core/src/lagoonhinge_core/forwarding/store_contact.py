"""Outages of the platform's store, and what they mean for entries that are missing.

Entries of upstreams expire while the store is unavailable, and reappear soon after it
is back. Upstreams whose entries are missing then are kept for a short time.
"""

from dataclasses import dataclass

# Entries that expire during an outage of the store reappear within about 2 s.
REMOVAL_GRACE_S = 1.8
MIN_OUTAGE_S = 3.0  # time without an answer after which entries may expire


@dataclass
class StoreContact:
    """When the store last answered this node, or a peer that passed on the answer.

    Attributes:
        last_answer_s: Time of the last answer, in seconds; `None` before the first one.
        has_failed: Whether a call failed since then.
        grace_end_s: Until when missing entries may reappear, in seconds.
    """

    last_answer_s: float | None = None
    has_failed: bool = False
    grace_end_s: float = float("-inf")

    def record_failure(self) -> None:
        """Record a call that failed."""
        self.has_failed = True

    def record_older_copy(self, now_s: float) -> None:
        """Record that the store came back from a copy that may lack entries."""
        self.grace_end_s = now_s + REMOVAL_GRACE_S

    def record_answer(self, now_s: float) -> None:
        """Record an answer; the first one after an outage starts the grace period."""
        # Before the first answer nothing is listed that could be missing.
        if self.has_failed and self.last_answer_s is not None:
            if now_s - self.last_answer_s > MIN_OUTAGE_S:
                self.grace_end_s = now_s + REMOVAL_GRACE_S
        self.last_answer_s = now_s
        self.has_failed = False
