"""Gossip budget in bytes per second, which bounds control traffic."""

GOSSIP_BYTES_PER_S = 1_700.0
MAX_BURST_BYTES = 6_800.0


class GossipBudget:
    """Token bucket for the bytes of the exchanges that this node starts.

    A node also answers about as many exchanges of its peers, so its total traffic is
    about twice this rate.
    """

    def __init__(self, bytes_per_s: float = GOSSIP_BYTES_PER_S):
        self.bytes_per_s = bytes_per_s
        self.available_bytes = MAX_BURST_BYTES
        self.refilled_s = 0.0

    def allows(self, now_s: float) -> bool:
        """Return whether another exchange may start."""
        gained = max(0.0, now_s - self.refilled_s) * self.bytes_per_s
        self.available_bytes = min(MAX_BURST_BYTES, self.available_bytes + gained)
        self.refilled_s = now_s
        return self.available_bytes > 0

    def spend(self, count: int) -> None:
        """Subtract the bytes of an exchange in both directions."""
        self.available_bytes -= count
