"""What a node may say and do on a configuration that it could not confirm lately.

The platform's store confirms with every answer that nothing newer exists. A node that
gets no such answer must not run requests under keys that may be revoked by now, and
must not deny what a newer configuration may allow.
"""

from dataclasses import dataclass
from enum import Enum


class Standing(Enum):
    """How far the configuration in force can be relied on."""

    UNKNOWN = "unknown"
    STALE = "stale"
    DOUBTFUL = "doubtful"
    CURRENT = "current"


@dataclass(frozen=True)
class FreshnessLimits:
    """Ages of the last confirmation, in seconds.

    Attributes:
        deny_s: Up to this age a request may be denied for a missing route or key.
        serve_s: Up to this age a request may run under a key.
    """

    deny_s: float
    serve_s: float


class Freshness:
    """Time of the last confirmation of the configuration."""

    def __init__(self, limits: FreshnessLimits):
        self.limits = limits
        self.confirmed_s: float | None = None

    def confirm(self, asked_s: float) -> None:
        """Count an answer of the store.

        Args:
            asked_s: When the store was asked, the latest time that is surely not
                after the state it answered with, in seconds.
        """
        if self.confirmed_s is None or asked_s > self.confirmed_s:
            self.confirmed_s = asked_s

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation, in seconds."""
        return float("inf") if self.confirmed_s is None else now_s - self.confirmed_s

    def standing(self, now_s: float) -> Standing:
        """Return how far the configuration can be relied on now."""
        if self.confirmed_s is None:
            return Standing.UNKNOWN
        age_s = now_s - self.confirmed_s
        if age_s > self.limits.serve_s:
            return Standing.STALE
        if age_s > self.limits.deny_s:
            return Standing.DOUBTFUL
        return Standing.CURRENT
