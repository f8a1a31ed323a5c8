"""A clock whose time jumps to the next event instead of passing."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import TypeAlias

Timed: TypeAlias = Callable[[float], None]


@dataclass
class VirtualClock:
    """Calls functions in order of virtual time.

    Attributes:
        events: Time, order of scheduling, and function of each event to come.
        order: Numbers the events, so that those of one time keep their order.
    """

    events: list[tuple[float, int, Timed]] = field(default_factory=list)
    order: "count[int]" = field(default_factory=count)

    def schedule(self, at_s: float, what: Timed) -> None:
        """Have a function called at a time, in seconds."""
        heappush(self.events, (at_s, next(self.order), what))

    def run(self, until_s: float = float("inf")) -> None:
        """Call all functions up to a time, in seconds."""
        while self.events and self.events[0][0] <= until_s:
            at_s, _, what = heappop(self.events)
            what(at_s)
