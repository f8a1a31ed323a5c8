"""Pauses that upstreams ask for when they turn a request away.

Load pattern: an overloaded upstream refuses requests, and retries keep it overloaded.
"""

from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.upstreams import Upstream, UpstreamRun

MAX_PAUSE_S = 3600.0  # a longer one would outlast any overload


@dataclass
class UpstreamPauses:
    """Upstreams that take no requests of this node for some time.

    Attributes:
        until_s: End of each pause, in seconds, by run of an upstream.
    """

    until_s: dict[UpstreamRun, float] = field(default_factory=dict)

    def record(self, upstream: Upstream, pause_s: float, now_s: float) -> None:
        """Record that an upstream wants no requests for a time, in seconds."""
        # Answers to concurrent requests may name an earlier end than one before.
        run, end_s = upstream.run(), now_s + min(pause_s, MAX_PAUSE_S)
        self.until_s[run] = max(end_s, self.until_s.get(run, end_s))

    def remaining_s(self, upstream: Upstream, now_s: float) -> float:
        """Return how long an upstream still takes no requests, in seconds."""
        if not self.until_s:
            return 0.0
        run = upstream.run()
        remaining_s = self.until_s.get(run, now_s) - now_s
        if remaining_s > 0:
            return remaining_s
        self.until_s.pop(run, None)
        return 0.0

    def drop_ended(self, now_s: float) -> None:
        """Drop the pauses that have ended.

        Those of upstreams that are not listed stay, since an outage of the store may
        only have hidden their rows.
        """
        self.until_s = {
            run: end_s for run, end_s in self.until_s.items() if end_s > now_s
        }
