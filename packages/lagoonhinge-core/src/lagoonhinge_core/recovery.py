"""Recovery after an interrupted or ended attempt: resume it, retry, or fail."""

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
)

RETRY_AFTER_S = 1.0
MAX_UNCONFIRMED_INTERRUPTIONS = 2
PROBE_DELAY_S = 0.2


@dataclass(frozen=True)
class Resume:
    """Resume reading the same attempt over a new connection.

    Attributes:
        delay_s: Time to wait before resuming, in seconds.
    """

    delay_s: float


@dataclass(frozen=True)
class EndAttempt:
    """End the attempt; it is lost."""


AttemptStep: TypeAlias = Resume | EndAttempt


@dataclass(frozen=True)
class AttemptProgress:
    """Interruptions of one attempt since the engine last confirmed it.

    Attributes:
        unconfirmed: Consecutive interruptions in which the engine did not confirm
            that it holds the attempt.
    """

    unconfirmed: int = 0

    def interrupted(
        self, error: UpstreamError, is_confirmed: bool
    ) -> "AttemptProgress":
        """Return the progress after one more interruption.

        Args:
            error: Why the stream ended, or why a probe failed.
            is_confirmed: Whether new chunks arrived over this connection, or the
                engine confirmed over it that it holds the attempt.
        """
        if is_confirmed and isinstance(error, Silent):
            return AttemptProgress(0)
        return AttemptProgress(self.unconfirmed + 1)

    def delivered(self) -> "AttemptProgress":
        """Return the progress after new chunks."""
        return AttemptProgress(0)


def after_interruption(progress: AttemptProgress, error: UpstreamError) -> AttemptStep:
    """Return the next step of an interrupted attempt that the engine may still hold.

    A silent stream is probed for as long as the engine confirms the attempt, since a
    long prompt sends nothing before its first token. Unanswered probes are limited.

    Args:
        progress: The attempt's progress, with this interruption counted.
        error: Why the stream ended, or why the last probe failed.
    """
    match error:
        case NotSent() | Gone() | Rejected():
            # Nothing listens at the address, or the engine does not hold the attempt.
            return EndAttempt()
        case Broken() | Silent() | Refused() | EngineFault():
            if progress.unconfirmed > MAX_UNCONFIRMED_INTERRUPTIONS:
                return EndAttempt()
            return Resume(PROBE_DELAY_S if progress.unconfirmed > 1 else 0.0)
        case _:
            assert_never(error)


@dataclass(frozen=True)
class AttemptEnded:
    """End of an attempt without a complete answer.

    Attributes:
        error: The last error.
        outcome: What is known about its execution.
        upstream_crashed: Whether the upstream's process ended while the attempt ran.
    """

    error: UpstreamError
    outcome: Outcome
    upstream_crashed: bool = False


@dataclass(frozen=True)
class RequestProgress:
    """Progress of one request.

    Attributes:
        outcome: What is known about the execution of all attempts so far.
        may_retry: Whether the retry budget and the attempt limit allow one more.
        remaining_s: Time left before the deadline, in seconds.
    """

    outcome: Outcome
    may_retry: bool
    remaining_s: float


@dataclass(frozen=True)
class RetryRequest:
    """Start another attempt, on another upstream if there is one.

    Attributes:
        failure: Failure to return if no upstream can take the attempt.
    """

    failure: Failure


@dataclass(frozen=True)
class FailRequest:
    """Return this failure to the caller."""

    failure: Failure


def after_attempt(
    progress: RequestProgress, ended: AttemptEnded
) -> RetryRequest | FailRequest:
    """Return the next step of an idempotent request after an attempt ended.

    Args:
        progress: The request's progress, with the ended attempt counted.
        ended: The end of the attempt.

    Returns:
        The next step, with the failure to return to the caller if it is the last.
    """
    if progress.remaining_s <= 0:
        return FailRequest(deadline_failure(progress.outcome))
    failure = failure_of(progress.outcome, ended.error)
    if isinstance(ended.error, Rejected) or not progress.may_retry:
        return FailRequest(failure)
    return RetryRequest(failure)


def combined_outcome(first: Outcome, second: Outcome) -> Outcome:
    """Return the combined outcome of two attempts of the same request."""
    order = (Outcome.NOT_RUN, Outcome.FAILED, Outcome.UNKNOWN)
    return max(first, second, key=order.index)


def _retry_after_s(error: UpstreamError) -> float:
    if isinstance(error, Refused) and error.retry_after_s is not None:
        return error.retry_after_s
    return RETRY_AFTER_S


def failure_of(outcome: Outcome, error: UpstreamError) -> Failure:
    """Return the failure of a request whose last attempt ended with `error`."""
    match error:
        case Rejected(status, reason):
            message = f"the upstream rejected the request with {status}: {reason}"
            return Failure(ErrorCode.BAD_REQUEST, outcome, message)
        case NotSent() | Refused() if outcome == Outcome.NOT_RUN:
            message = f"no upstream took the request: {error}"
            return Failure(
                ErrorCode.OVERLOADED, outcome, message, _retry_after_s(error)
            )
        case _:
            message = f"the upstream failed: {error}"
            return Failure(
                ErrorCode.UPSTREAM_FAILED, outcome, message, _retry_after_s(error)
            )


def answer_differs_failure(offset: int) -> Failure:
    """Return the failure of a retry whose text differs from the delivered text."""
    message = f"a repeated attempt gave another answer after {offset} characters"
    return Failure(ErrorCode.UPSTREAM_FAILED, Outcome.FAILED, message, RETRY_AFTER_S)


def deadline_failure(outcome: Outcome) -> Failure:
    """Return the failure of a request whose deadline has passed.

    Args:
        outcome: What is known about the execution of its attempts.
    """
    if outcome != Outcome.NOT_RUN:
        # An attempt interrupted by the deadline may still be running.
        outcome = Outcome.UNKNOWN
    return Failure(
        ErrorCode.DEADLINE, outcome, "the time bound has passed", RETRY_AFTER_S
    )


def quarantined_failure(outcome: Outcome, remaining_s: float) -> Failure:
    """Return the failure of a prompt that is quarantined because it crashes upstreams.

    Args:
        outcome: What is known about the execution of its attempts.
        remaining_s: Time left in quarantine, in seconds.
    """
    message = f"the prompt ended upstreams and is refused for {remaining_s:.0f} s"
    return Failure(ErrorCode.QUARANTINED, outcome, message, remaining_s)
