"""Staleness of the configuration, and what a node may do with a stale one.

Each answer of the platform's store confirms that no newer configuration exists. Without
such a confirmation, a node must not run requests under keys that may be revoked, and
must not deny requests that a newer configuration may allow.
"""

from dataclasses import dataclass
from enum import Enum


class Staleness(Enum):
    """Staleness of the configuration in force."""

    UNKNOWN = "unknown"
    STALE = "stale"
    DOUBTFUL = "doubtful"
    CURRENT = "current"


@dataclass(frozen=True)
class FreshnessLimits:
    """Limits on the age of the last confirmation, in seconds.

    Attributes:
        deny_s: Maximum age at which a request may be denied for a missing route or
            key.
        serve_s: Maximum age at which a request may run under a key.
    """

    deny_s: float
    serve_s: float


class Freshness:
    """Time of the last confirmation of the configuration."""

    def __init__(self, limits: FreshnessLimits):
        self.limits = limits
        self.confirmed_s: float | None = None

    def confirm(self, requested_s: float) -> None:
        """Record an answer of the store.

        Args:
            requested_s: When the request to the store was sent, in seconds. This is the
                latest time that is certainly not after the state in its answer.
        """
        if self.confirmed_s is None or requested_s > self.confirmed_s:
            self.confirmed_s = requested_s

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation, in seconds."""
        return float("inf") if self.confirmed_s is None else now_s - self.confirmed_s

    def staleness(self, now_s: float) -> Staleness:
        """Return the staleness of the configuration."""
        if self.confirmed_s is None:
            return Staleness.UNKNOWN
        age_s = now_s - self.confirmed_s
        if age_s > self.limits.serve_s:
            return Staleness.STALE
        if age_s > self.limits.deny_s:
            return Staleness.DOUBTFUL
        return Staleness.CURRENT
