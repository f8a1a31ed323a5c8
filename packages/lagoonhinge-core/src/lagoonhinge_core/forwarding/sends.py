"""One send of a request to an upstream, its result, and what follows from it."""

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias, assert_never

from lagoonhinge_core.forwarding.routes import Route


@dataclass(frozen=True)
class NotDelivered:
    """No byte of the request can have reached the upstream."""

    reason: str


@dataclass(frozen=True)
class Declined:
    """The upstream says that it did not run the request and never will.

    Attributes:
        status: Its status.
        misdirected: Whether another upstream answers at the address.
        culprit: Address of the upstream at fault if it was a helper; else empty.
    """

    status: int
    misdirected: bool = False
    culprit: str = ""


@dataclass(frozen=True)
class Lost:
    """The request may have run, and its answer did not arrive whole.

    Attributes:
        reason: What went wrong.
        timed_out: Whether the upstream was merely silent for too long.
    """

    reason: str
    timed_out: bool = False


@dataclass(frozen=True)
class Failed:
    """The upstream ran the request and answers with a failure.

    Attributes:
        status: Its status.
    """

    status: int


SendFailure: TypeAlias = NotDelivered | Declined | Lost | Failed


class Verdict(Enum):
    """What follows from a failed send."""

    SEND_AGAIN = "send_again"
    PASS_ON = "pass_on"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclass(frozen=True)
class RequestHistory:
    """What a request has been through.

    Attributes:
        runs: Upstreams that may have run it.
        declined: Sends that upstreams declined.
        blamed: Those of them for which a helper was at fault.
        not_delivered: Sends that reached no upstream.
        may_repeat_send: Whether the retry bound allows one more send.
        remaining_s: Time left, in seconds.
    """

    runs: int
    declined: int
    blamed: int
    not_delivered: int
    may_repeat_send: bool
    remaining_s: float


MAX_DECLINED = 4  # before the client is told to come back
# Each takes some milliseconds and rules out one engine; while the platform's store is
# away, several engines may have gone without notice.
MAX_BLAMED = 8
MAX_NOT_DELIVERED = 6  # as many cost a second, when an availability zone is cut off
LEAST_USEFUL_S = 0.05  # a send with less time left can't be answered


def after_failure(
    route: Route, history: RequestHistory, failure: SendFailure
) -> Verdict:
    """Decide how a request goes on after a send failed.

    Args:
        route: The request's route.
        history: What the request has been through, this send included.
        failure: The failure.
    """
    has_time = history.remaining_s > LEAST_USEFUL_S
    may_repeat = has_time and history.may_repeat_send
    match failure:
        case NotDelivered():
            # Until an upstream has seen it, the next send is no repeat to them.
            is_unseen = not history.runs and not history.declined
            may_send = may_repeat or (has_time and is_unseen)
            goes_on = may_send and history.not_delivered <= MAX_NOT_DELIVERED
            otherwise = Verdict.FAIL if history.runs else Verdict.REFUSE
        case Declined():
            own = history.declined - history.blamed
            is_few = own <= MAX_DECLINED and history.blamed <= MAX_BLAMED
            goes_on = may_repeat and is_few
            otherwise = Verdict.FAIL if history.runs else Verdict.REFUSE
        case Lost():
            goes_on = may_repeat and route.may_run_again(history.runs)
            otherwise = Verdict.FAIL
        case Failed():
            goes_on = may_repeat and route.may_run_again(history.runs)
            otherwise = Verdict.PASS_ON
        case _:
            assert_never(failure)
    return Verdict.SEND_AGAIN if goes_on else otherwise
