"""Retry budget of each service: retries are a bounded share of successes."""

from dataclasses import dataclass

MAX_REMAINING_RETRIES = 10.0
INITIAL_RETRIES = 10.0  # lets a service with little traffic retry


@dataclass(frozen=True)
class RetryAllowance:
    """Remaining retries of a service."""

    retries: float


class RetryBudget:
    """Adds a share of a retry for each success and subtracts one for each retry."""

    def __init__(self) -> None:
        self.remaining: dict[str, float] = {}

    def earn(self, service: str, share: float) -> None:
        """Count a success."""
        remaining = self.remaining.get(service, INITIAL_RETRIES) + share
        self.remaining[service] = min(MAX_REMAINING_RETRIES, remaining)

    def can_spend(self, service: str) -> bool:
        """Return whether one retry is allowed."""
        return self.remaining.get(service, INITIAL_RETRIES) >= 1.0

    def spend(self, service: str) -> None:
        """Count a retry."""
        self.remaining[service] = self.remaining.get(service, INITIAL_RETRIES) - 1.0

    def allowance(self, service: str) -> RetryAllowance:
        """Return the remaining retries, for the state dump."""
        return RetryAllowance(self.remaining.get(service, INITIAL_RETRIES))
