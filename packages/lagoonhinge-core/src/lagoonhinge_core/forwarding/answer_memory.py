"""Memory for answers that are read from upstreams."""

from dataclasses import dataclass, field

MAX_ANSWER_BYTES = 8 << 20  # twice the largest body that callers may send
# Of all answers together; a node may have 200 MB, and an answer that is being written
# takes up to three times its size.
MAX_TOTAL_BYTES = 4 * MAX_ANSWER_BYTES


@dataclass
class AnswerMemory:
    """Memory that all answers share.

    While they hold more than `MAX_TOTAL_BYTES`, none may grow beyond an even share.

    Attributes:
        held_bytes: Bytes of each answer that holds any, by its number.
        total_bytes: Their sum.
    """

    held_bytes: dict[int, int] = field(default_factory=dict)
    total_bytes: int = 0

    def hold(self, answer: int, held_bytes: int) -> bool:
        """Record what an answer holds, in bytes; return whether it may."""
        self.total_bytes += held_bytes - self.held_bytes.pop(answer, 0)
        if not held_bytes:
            return True
        self.held_bytes[answer] = held_bytes
        if held_bytes > MAX_ANSWER_BYTES:
            return False
        share_bytes = MAX_TOTAL_BYTES // len(self.held_bytes)
        return self.total_bytes <= MAX_TOTAL_BYTES or held_bytes <= share_bytes
