"""Claims: the rows that let a non-idempotent request run at most once.

A claim is inserted before the only dispatch and settled after it. Each owner of a claim
has its own token, and what it settles for that token is final, so that a write applied
late can never bring back the right to dispatch.
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import sha256
from typing import TypeAlias, assert_never

from lagoonhinge_core.outcome import ErrorCode, Failure, Outcome
from lagoonhinge_core.plain_messages import Header, PlainCall

IN_PROGRESS_RETRY_AFTER_S = 1.0


class ClaimState(StrEnum):
    """How far the owner of a claim has come."""

    RUNNING = "running"
    NOT_RUN = "not-run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class StoredAnswer:
    """An answer kept for later arrivals of the same key.

    Attributes:
        status: HTTP status.
        headers: Headers of the answer.
        body: Body, if it is kept in the row.
        object_name: Object that holds a body too large for the row, else empty.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    object_name: str = ""


@dataclass(frozen=True)
class Claim:
    """Content of a claim row.

    Attributes:
        state: How far the owner has come.
        token: Identity of the owner, new for each arrival.
        call_digest: SHA-256 of the call; the same key with another call is refused.
        deadline_wall_s: End of the owner's time bound, in seconds since the epoch;
            only tells callers what to expect, since no claim is ever taken over.
        answer: The answer, once the state is `ANSWERED`.
        reason: Why there is no answer.
    """

    state: ClaimState
    token: str
    call_digest: str
    deadline_wall_s: float
    answer: StoredAnswer | None = None
    reason: str = ""

    def not_run(self, reason: str) -> "Claim":
        """Return the claim settled as surely not run."""
        return replace(self, state=ClaimState.NOT_RUN, reason=reason)

    def unknown(self, reason: str) -> "Claim":
        """Return the claim settled as dispatched with an unknown outcome."""
        return replace(self, state=ClaimState.UNKNOWN, reason=reason)

    def answered(self, answer: StoredAnswer) -> "Claim":
        """Return the claim settled with an answer."""
        return replace(self, state=ClaimState.ANSWERED, answer=answer)


@dataclass(frozen=True)
class ClaimKey:
    """What a claim is for: one key of one client account at one service."""

    account: str
    service: str
    idempotency_key: str

    def row_key(self) -> str:
        """Return the name of the row."""
        digest = sha256(self.idempotency_key.encode()).hexdigest()
        return f"claim/{self.account}/{self.service}/{digest}"

    def object_name(self, token: str) -> str:
        """Return the object's name for a large answer of one owner."""
        return f"{self.row_key()}/{token}"


@dataclass(frozen=True)
class Held:
    """This owner holds the claim and may dispatch once.

    Attributes:
        version: Version of the row that says so.
    """

    version: int


@dataclass(frozen=True)
class Claimable:
    """The row may be claimed by a write at this version."""

    version: int


@dataclass(frozen=True)
class Answered:
    """An earlier owner has the answer."""

    answer: StoredAnswer


@dataclass(frozen=True)
class Turned:
    """The arrival gets this failure."""

    failure: Failure


Arrival: TypeAlias = Held | Claimable | Answered | Turned


def digest_call(call: PlainCall) -> str:
    """Return the digest of method, path and body."""
    digest = sha256()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def judge_arrival(
    found: Claim | None, version: int, wanted: Claim, now_wall_s: float
) -> Arrival:
    """Decide what an arrival may do, from the row as it was found.

    Args:
        found: Content of the row; `None` if it is absent.
        version: Version of the row; 0 if it is absent.
        wanted: The claim that this arrival wants to hold.
        now_wall_s: Time since the epoch, in seconds.

    Returns:
        The next step; `Held` only if the row carries this arrival's own token.
    """
    if found is None:
        return Claimable(version)
    if found.call_digest != wanted.call_digest:
        return Turned(_key_reused())
    match found.state:
        case ClaimState.RUNNING if found.token == wanted.token:
            return Held(version)
        case ClaimState.RUNNING if now_wall_s < found.deadline_wall_s:
            return Turned(_in_progress())
        case ClaimState.RUNNING:
            return Turned(unknown_failure("its time bound passed without an outcome"))
        case ClaimState.NOT_RUN:
            return Claimable(version)
        case ClaimState.ANSWERED:
            assert found.answer is not None, f"claim {found.token} has no answer"
            return Answered(found.answer)
        case ClaimState.UNKNOWN:
            return Turned(unknown_failure(found.reason))
        case _:
            assert_never(found.state)


def settle_version(found: Claim | None, version: int, settled: Claim) -> int | None:
    """Return where to write an outcome after a conflict, or `None` if nowhere.

    Only the owner's own running claim may be settled. A row that moved on to another
    token, or that is settled already, makes the owner's late writes lose as well.
    """
    if found is None:
        return version
    is_own = found.token == settled.token
    return version if is_own and found.state == ClaimState.RUNNING else None


def unknown_failure(reason: str) -> Failure:
    """Return the failure of a request that may have run."""
    message = f"the request of this key may have been executed: {reason}"
    return Failure(ErrorCode.OUTCOME_UNKNOWN, Outcome.UNKNOWN, message)


def _in_progress() -> Failure:
    return Failure(
        ErrorCode.IN_PROGRESS,
        Outcome.UNKNOWN,
        "a request with this key is running",
        IN_PROGRESS_RETRY_AFTER_S,
    )


def _key_reused() -> Failure:
    return Failure(
        ErrorCode.KEY_REUSED,
        Outcome.NOT_RUN,
        "this key was used for a call with another method, path or body",
    )
