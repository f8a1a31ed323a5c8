"""Conversion of HTTP statuses and exceptions to upstream errors."""

from aiohttp import ClientConnectorError, ConnectionTimeoutError

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

MAX_REASON_BYTES = 500
REFUSAL_STATUSES = (409, 429, 503)


def error_of_status(status: int, body: bytes) -> UpstreamError:
    """Return the error for an HTTP error status of an upstream."""
    reason = body[:MAX_REASON_BYTES].decode(errors="replace")
    if status in REFUSAL_STATUSES:
        return Refused(reason)
    if status == 404:
        return Gone(reason)
    if status >= 500:
        return EngineFault(f"status {status}: {reason}")
    return Rejected(status, reason)


def error_of_exception(error: Exception, waited_s: float) -> UpstreamError:
    """Return the error for an exception of the HTTP client."""
    match error:
        case ClientConnectorError() | ConnectionTimeoutError():
            return NotSent(str(error))
        case TimeoutError():
            return Silent(waited_s)
        case _:
            return Broken(repr(error))
