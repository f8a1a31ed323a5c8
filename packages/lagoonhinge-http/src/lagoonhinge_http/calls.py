"""One call over HTTP whose whole answer fits into memory."""

from dataclasses import dataclass
from typing import TypeAlias

from aiohttp import ClientError, ClientSession, ClientTimeout, hdrs
from returns.result import Failure, Result, Success

from lagoonhinge_http.session import ConnectionLost

CallError: TypeAlias = ConnectionLost | ClientError | TimeoutError


@dataclass(frozen=True)
class WholeAnswer:
    """An answer before its status is looked at.

    Attributes:
        status: HTTP status.
        body: The body.
        etag: Entity tag; empty if it has none.
    """

    status: int
    body: bytes
    etag: str = ""


async def call(
    session: ClientSession,
    method: str,
    url: str,
    limits: ClientTimeout,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Result[WholeAnswer, CallError]:
    """Send a call once and read its answer.

    Args:
        session: Client session.
        method: HTTP method.
        url: Where it goes.
        limits: Time limits, from `call_timeout`.
        body: The body, if it has one.
        headers: Headers beside those of the HTTP library.

    Returns:
        The answer, or the error that ended the call without one.
    """
    try:
        async with session.request(
            method, url, data=body, headers=headers, timeout=limits
        ) as answer:
            etag = answer.headers.get(hdrs.ETAG, "")
            return Success(WholeAnswer(answer.status, await answer.read(), etag))
    except (ConnectionLost, ClientError, TimeoutError) as error:
        return Failure(error)
