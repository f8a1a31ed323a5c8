"""HTTP client of plain services: each call is sent exactly once."""

from aiohttp import ClientError, ClientResponse, ClientSession, ConnectionTimeoutError
from returns.result import Failure, Result, Success

from lagoonhinge_core.plain_messages import CallLimits, Header, PlainAnswer, PlainCall
from lagoonhinge_core.upstream_errors import (
    EngineFault,
    NotSent,
    Refused,
    UpstreamError,
)
from lagoonhinge_http.session import ConnectionLost, call_timeout, open_session
from lagoonhinge_node.error_conversion import MAX_REASON_BYTES, error_of_exception

REFUSAL_STATUSES = (429, 503)
RETRY_AFTER_HEADER = "Retry-After"


class HttpPlainClient:
    """Calls to plain services over HTTP.

    Args:
        session: Session whose connections are reused.
    """

    def __init__(self, session: ClientSession):
        self.session = session
        self.unpooled_session = open_session(reuse=False)

    async def send(
        self, url: str, call: PlainCall, limits: CallLimits
    ) -> Result[PlainAnswer, UpstreamError]:
        """Send the call exactly once and return its answer."""
        session = self.unpooled_session if limits.new_connection else self.session
        try:
            async with session.request(
                call.method,
                url + call.path,
                data=call.body or None,
                headers=[(header.name, header.value) for header in call.headers],
                timeout=call_timeout(limits.timeout_s),
                allow_redirects=False,
            ) as response:
                body = await _read_bounded(response, limits.max_answer_bytes)
        except ConnectionTimeoutError as error:
            return Failure(NotSent(str(error)))
        except (ConnectionLost, ClientError, TimeoutError) as error:
            return Failure(error_of_exception(error, limits.timeout_s))
        if response.status in REFUSAL_STATUSES:
            reason = (body or b"")[:MAX_REASON_BYTES].decode(errors="replace")
            return Failure(Refused(reason, _retry_after_s(response)))
        if body is None:
            limit = limits.max_answer_bytes
            return Failure(EngineFault(f"the answer has more than {limit} bytes"))
        # The names are of a subclass of str, which has no encoding.
        headers = tuple(
            Header(str(name), value) for name, value in response.headers.items()
        )
        return Success(PlainAnswer(response.status, headers, body))

    async def close(self) -> None:
        """Close the session that this client opened."""
        await self.unpooled_session.close()


async def _read_bounded(response: ClientResponse, max_bytes: int) -> bytes | None:
    """Return the body, or `None` as soon as it is longer than `max_bytes`."""
    buffer = bytearray()
    async for data in response.content.iter_any():
        buffer += data
        if len(buffer) > max_bytes:
            response.close()
            return None
    return bytes(buffer)


def _retry_after_s(response: ClientResponse) -> float | None:
    raw = response.headers.get(RETRY_AFTER_HEADER, "")
    return float(raw) if raw.isdigit() else None
