"""The platform store's clock, read by the clock of a node.

Answers of the store carry the time of its clock. A node that knows how this clock
relates to its own can tell how old a state of the store is that it got from another
node, however long the message was on its way.
"""

from dataclasses import dataclass


@dataclass
class StoreClock:
    """Bounds on the difference between a node's clock and the store's.

    Both clocks run at the same rate. The store read its clock between the request and
    the answer of each call, so each call bounds the difference from both sides.

    Attributes:
        least_offset_s: Least possible local time minus store time, in seconds.
        most_offset_s: Greatest possible local time minus store time, in seconds.
    """

    least_offset_s: float = float("-inf")
    most_offset_s: float = float("inf")

    def observe(self, requested_s: float, received_s: float, store_s: float) -> None:
        """Take an answer of the store into account.

        Args:
            requested_s: Local time of the request, in seconds.
            received_s: Local time of the answer, in seconds.
            store_s: Time of the store's clock in the answer, in seconds.
        """
        least_s, most_s = requested_s - store_s, received_s - store_s
        if least_s > self.most_offset_s or most_s < self.least_offset_s:
            # The store's clock was set anew; earlier answers say nothing any more.
            self.least_offset_s, self.most_offset_s = least_s, most_s
            return
        self.least_offset_s = max(self.least_offset_s, least_s)
        self.most_offset_s = min(self.most_offset_s, most_s)

    def store_s(self, now_s: float) -> float | None:
        """Return the store's time, at the latest.

        Args:
            now_s: Local time, in seconds.

        Returns:
            The time of the store's clock, in seconds; `None` if it is unknown.
        """
        store_s = now_s - self.least_offset_s
        return store_s if store_s < float("inf") else None

    def local_s(self, store_s: float, now_s: float) -> float | None:
        """Return the earliest local time at which the store's clock read a time.

        Args:
            store_s: Time of the store's clock, in seconds.
            now_s: Local time, in seconds.

        Returns:
            The local time, in seconds; `None` if it is unknown or after `now_s`.
        """
        local_s = store_s + self.least_offset_s
        return local_s if float("-inf") < local_s <= now_s else None
