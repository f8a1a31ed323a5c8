"""What to do after an attempt failed: resume it, run another, or give up."""

from dataclasses import dataclass
from typing import TypeAlias, assert_never

from lagoonhinge_core.outcome import ErrorCode, Failure, Outcome
from lagoonhinge_core.upstream_errors import (
    Broken,
    EngineFault,
    Gone,
    NotSent,
    Refused,
    Rejected,
    Silent,
    UpstreamError,
    surely_not_run,
)

RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class RequestProgress:
    """What one request has been through so far.

    Attributes:
        idempotent: Whether it may be executed more than once.
        attempts: Attempts made, the failed one included.
        resumes: Times that the current attempt was resumed.
        maybe_run: Whether any earlier attempt may have been executed.
        may_retry: Whether the retry budget and the attempts allow one more.
        remaining_s: Time left before the deadline, in seconds.
    """

    idempotent: bool
    attempts: int
    resumes: int
    maybe_run: bool
    may_retry: bool
    remaining_s: float


@dataclass(frozen=True)
class Resume:
    """Read the same attempt on from where it stopped, over a new connection."""


@dataclass(frozen=True)
class Rerun:
    """Start another attempt, on another upstream if there is one."""


@dataclass(frozen=True)
class GiveUp:
    """Answer the caller with this failure now."""

    failure: Failure


NextStep: TypeAlias = Resume | Rerun | GiveUp
MAX_RESUMES = 3


def next_step(progress: RequestProgress, error: UpstreamError) -> NextStep:
    """Decide how a request goes on after an attempt failed.

    Args:
        progress: The request's state, with the failed attempt counted.
        error: How the attempt failed.

    Returns:
        The next step; `GiveUp` carries the truthful outcome.
    """
    if progress.remaining_s <= 0:
        return GiveUp(deadline_failure(progress.maybe_run or not surely_not_run(error)))
    match error:
        case Rejected(status, reason):
            message = f"the upstream rejected the request with {status}: {reason}"
            return GiveUp(Failure(ErrorCode.BAD_REQUEST, _not_run(progress), message))
        case NotSent() | Refused():
            return _rerun_or(progress, _unplaced_failure(progress, error))
        case Broken() | Silent() if progress.resumes < MAX_RESUMES:
            return Resume()
        case Broken() | Silent() | Gone() | EngineFault():
            failure = _ran_failure(progress, error)
            return (
                _rerun_or(progress, failure) if progress.idempotent else GiveUp(failure)
            )
        case _:
            assert_never(error)


def deadline_failure(maybe_run: bool) -> Failure:
    """Return the failure of a request whose time bound has passed."""
    outcome = Outcome.UNKNOWN if maybe_run else Outcome.NOT_RUN
    return Failure(
        ErrorCode.DEADLINE, outcome, "the time bound has passed", RETRY_AFTER_S
    )


def _rerun_or(progress: RequestProgress, failure: Failure) -> NextStep:
    return Rerun() if progress.may_retry else GiveUp(failure)


def _not_run(progress: RequestProgress) -> Outcome:
    return Outcome.UNKNOWN if progress.maybe_run else Outcome.NOT_RUN


def _unplaced_failure(progress: RequestProgress, error: UpstreamError) -> Failure:
    retry_after_s = RETRY_AFTER_S
    if isinstance(error, Refused) and error.retry_after_s is not None:
        retry_after_s = error.retry_after_s
    message = f"no upstream took the request: {error}"
    return Failure(ErrorCode.OVERLOADED, _not_run(progress), message, retry_after_s)


def _ran_failure(progress: RequestProgress, error: UpstreamError) -> Failure:
    outcome = Outcome.FAILED if progress.idempotent else Outcome.UNKNOWN
    message = f"the upstream failed: {error}"
    retry_after_s = RETRY_AFTER_S if progress.idempotent else None
    return Failure(ErrorCode.UPSTREAM_FAILED, outcome, message, retry_after_s)
