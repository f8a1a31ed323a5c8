"""HTTP calls whose responses are read into memory."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from aiohttp import (
    ClientError,
    ClientPayloadError,
    ClientSession,
    ClientTimeout,
    hdrs,
)
from returns.result import Failure, Result, Success

from lagoonhinge_http.session import ConnectionLost

MAX_RESPONSE_BYTES = 64 << 20

CallError: TypeAlias = ConnectionLost | ClientError | TimeoutError


@dataclass(frozen=True)
class HttpResponse:
    """A response with any status.

    Attributes:
        status: HTTP status.
        body: The whole body.
        etag: Entity tag; empty if the response has none.
        headers: All headers.
    """

    status: int
    body: bytes
    etag: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)


async def call(
    session: ClientSession,
    method: str,
    url: str,
    timeout: ClientTimeout,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    max_bytes: int = MAX_RESPONSE_BYTES,
) -> Result[HttpResponse, CallError]:
    """Send a request once and read the response.

    Args:
        session: Client session.
        method: HTTP method.
        url: URL of the request.
        timeout: Time limits, from `call_timeout`.
        body: Body of the request, if it has one.
        headers: Headers in addition to those of the HTTP library.
        max_bytes: Longest body of the response, in bytes.

    Returns:
        The response, or the error that ended the call without one.
    """
    try:
        async with session.request(
            method, url, data=body, headers=headers, timeout=timeout
        ) as response:
            etag = response.headers.get(hdrs.ETAG, "")
            received = bytearray()
            async for data in response.content.iter_any():
                received += data
                if len(received) > max_bytes:
                    response.close()
                    return Failure(ClientPayloadError(f"over {max_bytes} bytes"))
            return Success(
                HttpResponse(response.status, bytes(received), etag, response.headers)
            )
    except (ConnectionLost, ClientError, TimeoutError) as error:
        return Failure(error)
