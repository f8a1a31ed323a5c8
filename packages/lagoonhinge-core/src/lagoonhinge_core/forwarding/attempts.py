"""Failures of an attempt to serve a request, and the action that each requires."""

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias, assert_never

from lagoonhinge_core.forwarding.routes import Route


@dataclass(frozen=True)
class NotSent:
    """Nothing was sent, as an upstream stopped taking requests after the choice."""


@dataclass(frozen=True)
class NotDelivered:
    """No byte of the request can have reached the upstream.

    Attributes:
        reason: Description of the fault.
        is_timeout: Whether the connection was not established in time.
    """

    reason: str
    is_timeout: bool = False


@dataclass(frozen=True)
class Declined:
    """The upstream reports that it did not run the request and will not run it.

    Attributes:
        status: HTTP status of the answer.
        misdirected: Whether another upstream answered at the address.
        culprit: Address of the upstream at fault if it was a helper; else empty.
    """

    status: int
    misdirected: bool = False
    culprit: str = ""


@dataclass(frozen=True)
class Lost:
    """The request may have run, but its answer is missing or incomplete.

    Attributes:
        reason: Description of the fault.
    """

    reason: str


@dataclass(frozen=True)
class Failed:
    """The upstream ran the request and answered with a failure.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


AttemptFailure: TypeAlias = NotSent | NotDelivered | Declined | Lost | Failed


class FailureAction(Enum):
    """Action after a failed attempt."""

    RETRY = "send_again"
    PASS_ON = "pass_on"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclass(frozen=True)
class RequestHistory:
    """Attempts of a request so far, and what limits further ones.

    Attributes:
        runs: Attempts in which the upstream may have run it.
        declined: Attempts that upstreams declined.
        helper_faults: Declined attempts that a helper caused.
        not_delivered: Attempts that reached no upstream.
        within_retry_budget: Whether the retry budget allows one more attempt.
        remaining_s: Time until the deadline, in seconds.
    """

    runs: int
    declined: int
    helper_faults: int
    not_delivered: int
    within_retry_budget: bool
    remaining_s: float


MAX_DECLINED = 4  # with more, the client is asked to retry later
# Each takes some milliseconds and excludes one engine. While the platform's store is
# unavailable, several engines may have ended undetected.
MAX_HELPER_FAULTS = 8
MAX_NOT_DELIVERED = 6  # these take 1 s when an availability zone is partitioned
MIN_REMAINING_S = 0.05  # an attempt with less time cannot be answered


def decide_after_failure(
    route: Route, history: RequestHistory, failure: AttemptFailure
) -> FailureAction:
    """Return what to do with a request after a failed attempt.

    Args:
        route: The request's route.
        history: The attempts so far, including the failed one.
        failure: The failure.
    """
    has_time = history.remaining_s > MIN_REMAINING_S
    may_retry = has_time and history.within_retry_budget
    match failure:
        case NotSent():
            # The next choice leaves the upstream out.
            should_retry = has_time
            fallback = FailureAction.FAIL if history.runs else FailureAction.REFUSE
        case NotDelivered():
            # While no upstream has received it, another attempt is not a retry.
            is_undelivered = not history.runs and not history.declined
            may_attempt = may_retry or (has_time and is_undelivered)
            should_retry = may_attempt and history.not_delivered <= MAX_NOT_DELIVERED
            fallback = FailureAction.FAIL if history.runs else FailureAction.REFUSE
        case Declined():
            upstream_declines = history.declined - history.helper_faults
            is_within_limits = (
                upstream_declines <= MAX_DECLINED
                and history.helper_faults <= MAX_HELPER_FAULTS
            )
            should_retry = may_retry and is_within_limits
            fallback = FailureAction.FAIL if history.runs else FailureAction.REFUSE
        case Lost():
            should_retry = may_retry and route.may_run_again(history.runs)
            fallback = FailureAction.FAIL
        case Failed():
            should_retry = may_retry and route.may_run_again(history.runs)
            fallback = FailureAction.PASS_ON
        case _:
            assert_never(failure)
    return FailureAction.RETRY if should_retry else fallback
