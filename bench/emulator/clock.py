"""Discrete-event clock: its time advances to the next scheduled event."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import TypeAlias

TimedCallback: TypeAlias = Callable[[float], None]


@dataclass
class VirtualClock:
    """Runs callbacks in order of virtual time.

    Attributes:
        events: Time, number, and callback of each scheduled event.
        numbers: Numbers of events, so that those of the same time keep their order.
    """

    events: list[tuple[float, int, TimedCallback]] = field(default_factory=list)
    numbers: "count[int]" = field(default_factory=count)

    def schedule(self, at_s: float, callback: TimedCallback) -> None:
        """Schedule a callback for a time, in seconds."""
        heappush(self.events, (at_s, next(self.numbers), callback))

    def run(self, until_s: float = float("inf")) -> None:
        """Run all callbacks up to a time, in seconds."""
        while self.events and self.events[0][0] <= until_s:
            at_s, _, callback = heappop(self.events)
            callback(at_s)
