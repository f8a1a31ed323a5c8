"""Budget that keeps retries a small share of successes, per service."""

from dataclasses import dataclass

MAX_SAVED_RETRIES = 10.0
STARTING_RETRIES = 10.0  # a quiet service may still retry


@dataclass(frozen=True)
class RetryAllowance:
    """Retries that a service may still make."""

    retries: float


class RetryBudget:
    """Earns a share of a retry with each success and spends one with each retry."""

    def __init__(self) -> None:
        self.saved: dict[str, float] = {}

    def earn(self, service: str, share: float) -> None:
        """Count a success."""
        saved = self.saved.get(service, STARTING_RETRIES) + share
        self.saved[service] = min(MAX_SAVED_RETRIES, saved)

    def can_spend(self, service: str) -> bool:
        """Return whether one retry is allowed."""
        return self.saved.get(service, STARTING_RETRIES) >= 1.0

    def spend(self, service: str) -> None:
        """Count a retry."""
        self.saved[service] = self.saved.get(service, STARTING_RETRIES) - 1.0

    def allowance(self, service: str) -> RetryAllowance:
        """Return what is left, for the state dump."""
        return RetryAllowance(self.saved.get(service, STARTING_RETRIES))
