"""Claims: the rows that let a non-idempotent request run at most once.

A claim is inserted before the only dispatch and settled after it. Each owner of a claim
has its own token, and the outcome settled for that token is final, so that a delayed
write can never allow a second dispatch.
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import sha256
from typing import TypeAlias, assert_never

from lagoonhinge_core.outcome import ErrorCode, Failure, Outcome
from lagoonhinge_core.plain_messages import Header, PlainCall

IN_PROGRESS_RETRY_AFTER_S = 1.0


class ClaimState(StrEnum):
    """Progress of a claim's owner."""

    RUNNING = "running"
    NOT_RUN = "not-run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class StoredAnswer:
    """An answer stored for later requests with the same key.

    Attributes:
        status: HTTP status.
        headers: Headers of the answer.
        body: Body, if it is stored in the row.
        object_name: Object with a body that is too large for the row, else empty.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    object_name: str = ""


@dataclass(frozen=True)
class Claim:
    """Content of a claim row.

    Attributes:
        state: Progress of the owner.
        token: Identity of the owner, new for each arriving request.
        call_digest: SHA-256 of the call; the same key with another call is refused.
        deadline_wall_s: Deadline of the owner's request, in seconds since the epoch;
            only decides the error of later requests, since no claim is taken over.
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
        """Return the claim settled as not run."""
        return replace(self, state=ClaimState.NOT_RUN, reason=reason)

    def unknown(self, reason: str) -> "Claim":
        """Return the claim settled as dispatched with an unknown outcome."""
        return replace(self, state=ClaimState.UNKNOWN, reason=reason)

    def answered(self, answer: StoredAnswer) -> "Claim":
        """Return the claim settled with an answer."""
        return replace(self, state=ClaimState.ANSWERED, answer=answer)


@dataclass(frozen=True)
class ClaimKey:
    """Subject of a claim: one key of one client account at one service."""

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
class ClaimHeld:
    """The requester holds the claim and may dispatch once.

    Attributes:
        version: Version of the row with its token.
    """

    version: int


@dataclass(frozen=True)
class Claimable:
    """The row may be claimed by a write at this version."""

    version: int


@dataclass(frozen=True)
class ClaimAnswered:
    """An earlier owner settled the claim with an answer."""

    answer: StoredAnswer


@dataclass(frozen=True)
class ClaimRefused:
    """The request fails with this failure."""

    failure: Failure


ClaimDecision: TypeAlias = ClaimHeld | Claimable | ClaimAnswered | ClaimRefused


def digest_call(call: PlainCall) -> str:
    """Return the digest of method, path and body."""
    digest = sha256()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def decide_claim(
    stored: Claim | None, version: int, requested: Claim, now_wall_s: float
) -> ClaimDecision:
    """Decide from the stored row what an arriving request may do.

    Args:
        stored: Content of the row; `None` if it is absent.
        version: Version of the row; 0 if it is absent.
        requested: The claim that this request needs to hold.
        now_wall_s: Time since the epoch, in seconds.

    Returns:
        The next step; `ClaimHeld` only if the row has this request's own token.
    """
    if stored is None:
        return Claimable(version)
    if stored.call_digest != requested.call_digest:
        return ClaimRefused(_key_reused())
    match stored.state:
        case ClaimState.RUNNING if stored.token == requested.token:
            return ClaimHeld(version)
        case ClaimState.RUNNING if now_wall_s < stored.deadline_wall_s:
            return ClaimRefused(_in_progress())
        case ClaimState.RUNNING:
            return ClaimRefused(
                unknown_failure("its time bound passed without an outcome")
            )
        case ClaimState.NOT_RUN:
            return Claimable(version)
        case ClaimState.ANSWERED:
            assert stored.answer is not None, f"claim {stored.token} has no answer"
            return ClaimAnswered(stored.answer)
        case ClaimState.UNKNOWN:
            return ClaimRefused(unknown_failure(stored.reason))
        case _:
            assert_never(stored.state)


def settle_version(stored: Claim | None, version: int, settled: Claim) -> int | None:
    """Return the version to settle at after a conflict, or `None` for no write.

    Only the owner's own running claim may be settled. At a row with another token or
    a settled claim, the owner's delayed writes fail as well.
    """
    if stored is None:
        return version
    is_own = stored.token == settled.token
    return version if is_own and stored.state == ClaimState.RUNNING else None


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
