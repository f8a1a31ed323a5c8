"""Turns of connections that send much, so that they leave time for all others.

Each loop iteration reads once from every connection that has data. With many fast
senders it takes so long that a small exchange, which needs some ten of them, is late.
"""

from asyncio import AbstractEventLoop
from collections import deque
from typing import Protocol

# Full reads in a row after which a connection takes turns: its sender is faster than
# this process. Events and small answers do not fill a read.
MAX_FULL_READS = 2
FIRST_READ_BYTES = 4 << 10  # also the least
MAX_READ_BYTES = 256 << 10
# Processor time that one read may take; parsing tiny chunks takes a hundred times as
# long for each byte as copying a body.
MAX_READ_S = 0.001
GROWTH_FACTOR = 4.0  # by which reads must stay below that time before they grow


class TurnTaker(Protocol):
    """A connection that is paused until its turn."""

    def take_turn(self) -> None:
        """Read once."""


class ReadTurns:
    """Lets one of the waiting connections read in each iteration of the event loop.

    Args:
        loop: The event loop.
    """

    def __init__(self, loop: AbstractEventLoop):
        self.loop = loop
        self.waiting: deque[TurnTaker] = deque()
        self.is_scheduled = False

    def wait(self, connection: TurnTaker) -> None:
        """Add a connection, which has paused its reading."""
        self.waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self._give_turn)

    def _give_turn(self) -> None:
        self.is_scheduled = False
        self.waiting.popleft().take_turn()
        self._schedule()


def next_read_bytes(read_bytes: int, took_s: float) -> int:
    """Return the size of a connection's next read.

    Args:
        read_bytes: Size of its last read, which was full.
        took_s: Processor time that it took, in seconds.
    """
    if took_s > MAX_READ_S:
        return max(FIRST_READ_BYTES, read_bytes // 2)
    if took_s * GROWTH_FACTOR < MAX_READ_S:
        return min(MAX_READ_BYTES, read_bytes * 2)
    return read_bytes
