"""The system clocks."""

from time import monotonic, time


class SystemClock:
    """Clock of the operating system."""

    def monotonic_s(self) -> float:
        """Return the monotonic time, in seconds."""
        return monotonic()

    def wall_s(self) -> float:
        """Return the time since the epoch, in seconds."""
        return time()
