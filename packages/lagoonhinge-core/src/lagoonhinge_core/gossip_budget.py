"""Budget of gossip in bytes per second, so that control traffic stays bounded."""

GOSSIP_BYTES_PER_S = 1_700.0
MAX_SAVED_BYTES = 6_800.0


class GossipBudget:
    """Token bucket over the bytes of the exchanges that this node begins.

    A node also answers the exchanges of its peers, about as many as it begins, so its
    traffic in all is about twice this rate.
    """

    def __init__(self, bytes_per_s: float = GOSSIP_BYTES_PER_S):
        self.bytes_per_s = bytes_per_s
        self.saved_bytes = MAX_SAVED_BYTES
        self.refilled_s = 0.0

    def allows(self, now_s: float) -> bool:
        """Return whether one more exchange may begin."""
        gained = max(0.0, now_s - self.refilled_s) * self.bytes_per_s
        self.saved_bytes = min(MAX_SAVED_BYTES, self.saved_bytes + gained)
        self.refilled_s = now_s
        return self.saved_bytes > 0

    def spend(self, count: int) -> None:
        """Take the bytes of an exchange, both ways, off the budget."""
        self.saved_bytes -= count
