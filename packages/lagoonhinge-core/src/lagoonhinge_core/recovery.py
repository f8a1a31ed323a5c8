"""What to do when an attempt is interrupted or over: probe it, rerun, or give up."""

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
MAX_FUTILE_PROBES = 2
PROBE_PAUSE_S = 0.2


@dataclass(frozen=True)
class Resume:
    """Read the same attempt on from where it stopped, over a new connection.

    Attributes:
        pause_s: Time to wait before, in seconds.
    """

    pause_s: float


@dataclass(frozen=True)
class EndAttempt:
    """Take the attempt as lost."""


AttemptStep: TypeAlias = Resume | EndAttempt


@dataclass(frozen=True)
class AttemptProgress:
    """What one attempt has been through since it last showed life.

    Attributes:
        futile: Interruptions in a row without a sign that the engine holds it.
    """

    futile: int = 0

    def interrupted(self, error: UpstreamError, shown_alive: bool) -> "AttemptProgress":
        """Return the progress after one more interruption.

        Args:
            error: What ended the stream, or the failure of a probe.
            shown_alive: Whether new chunks arrived over this connection, or the
                engine confirmed over it that it holds the attempt.
        """
        if shown_alive and isinstance(error, Silent):
            return AttemptProgress(0)
        return AttemptProgress(self.futile + 1)

    def delivered(self) -> "AttemptProgress":
        """Return the progress after new chunks."""
        return AttemptProgress(0)


def after_interruption(progress: AttemptProgress, error: UpstreamError) -> AttemptStep:
    """Decide how an attempt goes on that the engine may hold.

    A silent stream is probed for as long as the engine confirms the attempt, since
    a long prompt gives nothing before its first token; unanswered probes are few.

    Args:
        progress: The attempt's state, with this interruption counted.
        error: Why the stream ended, or why the last probe failed.
    """
    match error:
        case NotSent() | Gone() | Rejected():
            # Nobody listens there any more, or the engine does not hold it.
            return EndAttempt()
        case Broken() | Silent() | Refused() | EngineFault():
            if progress.futile > MAX_FUTILE_PROBES:
                return EndAttempt()
            return Resume(PROBE_PAUSE_S if progress.futile > 1 else 0.0)
        case _:
            assert_never(error)


@dataclass(frozen=True)
class AttemptEnded:
    """How an attempt ended without a whole answer.

    Attributes:
        error: The last error.
        outcome: What is known about its execution.
        upstream_died: Whether the upstream's process ended while it ran.
    """

    error: UpstreamError
    outcome: Outcome
    upstream_died: bool = False


@dataclass(frozen=True)
class RequestProgress:
    """What one request has been through so far.

    Attributes:
        outcome: What is known about the execution of all attempts so far.
        may_retry: Whether the retry budget and the attempts allow one more.
        remaining_s: Time left before the deadline, in seconds.
    """

    outcome: Outcome
    may_retry: bool
    remaining_s: float


@dataclass(frozen=True)
class Rerun:
    """Start another attempt, on another upstream if there is one.

    Attributes:
        otherwise: Failure to give if no upstream can take it.
    """

    otherwise: Failure


@dataclass(frozen=True)
class GiveUp:
    """Answer the caller with this failure now."""

    failure: Failure


def after_attempt(progress: RequestProgress, ended: AttemptEnded) -> Rerun | GiveUp:
    """Decide how an idempotent request goes on after an attempt ended.

    Args:
        progress: The request's state, with the ended attempt counted.
        ended: How the attempt ended.

    Returns:
        The next step, with the truthful failure if there is none.
    """
    if progress.remaining_s <= 0:
        return GiveUp(deadline_failure(progress.outcome))
    failure = failure_of(progress.outcome, ended.error)
    if isinstance(ended.error, Rejected) or not progress.may_retry:
        return GiveUp(failure)
    return Rerun(failure)


def combined_outcome(first: Outcome, second: Outcome) -> Outcome:
    """Return what is known about two attempts of the same request together."""
    order = (Outcome.NOT_RUN, Outcome.FAILED, Outcome.UNKNOWN)
    return max(first, second, key=order.index)


def _wait_s(error: UpstreamError) -> float:
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
            return Failure(ErrorCode.OVERLOADED, outcome, message, _wait_s(error))
        case _:
            message = f"the upstream failed: {error}"
            return Failure(ErrorCode.UPSTREAM_FAILED, outcome, message, _wait_s(error))


def answer_differs_failure(offset: int) -> Failure:
    """Return the failure of a rerun that contradicts text already delivered."""
    message = f"a repeated attempt gave another answer after {offset} characters"
    return Failure(ErrorCode.UPSTREAM_FAILED, Outcome.FAILED, message, RETRY_AFTER_S)


def deadline_failure(outcome: Outcome) -> Failure:
    """Return the failure of a request whose time bound has passed.

    Args:
        outcome: What is known about the execution of its attempts.
    """
    if outcome != Outcome.NOT_RUN:
        # An attempt that the bound interrupts may still be running.
        outcome = Outcome.UNKNOWN
    return Failure(
        ErrorCode.DEADLINE, outcome, "the time bound has passed", RETRY_AFTER_S
    )


def quarantined_failure(outcome: Outcome, remaining_s: float) -> Failure:
    """Return the failure of a prompt that is refused because it kills upstreams.

    Args:
        outcome: What is known about the execution of its attempts.
        remaining_s: How much longer it is refused, in seconds.
    """
    message = f"the prompt ended upstreams and is refused for {remaining_s:.0f} s"
    return Failure(ErrorCode.QUARANTINED, outcome, message, remaining_s)
