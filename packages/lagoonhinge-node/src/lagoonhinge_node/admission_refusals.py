"""Refusals by admission, each with its retry delay."""

from lagoonhinge_core.admission_policy import retry_after_s
from lagoonhinge_core.config import AccountConfig
from lagoonhinge_core.outcome import ErrorCode, Failure, Outcome


def over_limit(name: str, account: AccountConfig, wait_s: float) -> Failure:
    """Return the refusal of an account that is over its limit for `wait_s` seconds."""
    limit = f"{account.tokens_per_s:.0f} tokens per second"
    message = f"{name!r} is over its limit of {limit}"
    return Failure(ErrorCode.OVER_LIMIT, Outcome.NOT_RUN, message, wait_s)


def overloaded(message: str, late_by_s: float) -> Failure:
    """Return a refusal for lack of capacity; `late_by_s` sets the retry delay."""
    wait_s = retry_after_s(late_by_s)
    return Failure(ErrorCode.OVERLOADED, Outcome.NOT_RUN, message, wait_s)


def too_late(account: str, late_by_s: float) -> Failure:
    """Return the refusal of a request that can't meet its deadline."""
    message = f"{account!r} would miss its time bound by {late_by_s:.1f} s"
    return overloaded(message, late_by_s)
