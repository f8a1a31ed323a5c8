"""Outcomes and failures of requests, as values to match on."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request without a complete answer was executed."""

    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class ErrorCode(StrEnum):
    """Stable code of an error, as shown to callers."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    BODY_TOO_LARGE = "body_too_large"
    PROMPT_TOO_LONG = "prompt_too_long"
    KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "in_progress"
    OVER_LIMIT = "over_limit"
    OVERLOADED = "overloaded"
    NOT_READY = "not_ready"
    QUARANTINED = "quarantined"
    NO_UPSTREAM = "no_upstream"
    STORE_UNAVAILABLE = "store_unavailable"
    DEADLINE = "deadline_exceeded"
    UPSTREAM_FAILED = "upstream_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True)
class Failure:
    """The failure of one request.

    Attributes:
        code: Stable error code.
        outcome: Whether the request may have been executed.
        message: Human-readable message with the offending value.
        retry_after_s: Time after which to retry, in seconds; `None` if retrying the
            same request cannot succeed.
    """

    code: ErrorCode
    outcome: Outcome
    message: str
    retry_after_s: float | None = None
