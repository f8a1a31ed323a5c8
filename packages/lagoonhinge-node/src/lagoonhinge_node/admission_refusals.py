"""Refusals of admission: not run, and when to come back."""

from lagoonhinge_core.admission_policy import retry_after_s
from lagoonhinge_core.config import AccountConfig
from lagoonhinge_core.outcome import ErrorCode, Failure, Outcome


def over_limit(name: str, account: AccountConfig, wait_s: float) -> Failure:
    """Return the refusal of an account over its limit, which has room in `wait_s`."""
    limit = f"{account.tokens_per_s:.0f} tokens per second"
    message = f"{name!r} is over its limit of {limit}"
    return Failure(ErrorCode.OVER_LIMIT, Outcome.NOT_RUN, message, wait_s)


def overloaded(message: str, late_by_s: float) -> Failure:
    """Return a refusal for want of room, given by how much the bound is missed."""
    wait_s = retry_after_s(late_by_s)
    return Failure(ErrorCode.OVERLOADED, Outcome.NOT_RUN, message, wait_s)


def too_late(account: str, late_by_s: float) -> Failure:
    """Return the refusal of a request that can't meet its time bound."""
    message = f"{account!r} would miss its time bound by {late_by_s:.1f} s"
    return overloaded(message, late_by_s)
