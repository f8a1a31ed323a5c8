"""Adapter of plain services: each call is sent exactly once."""

from aiohttp import ClientError, ClientSession
from returns.result import Failure, Result, Success

from lagoonhinge_core.plain_messages import Header, PlainAnswer, PlainCall
from lagoonhinge_core.upstream_errors import UpstreamError
from lagoonhinge_http.session import ConnectionLost, call_timeout
from lagoonhinge_node.upstream_faults import error_of_exception, error_of_status

REFUSED_STATUSES = (429, 503)


class HttpPlainClient:
    """Calls to plain services over HTTP."""

    def __init__(self, session: ClientSession):
        self.session = session

    async def send(
        self, url: str, call: PlainCall, timeout_s: float
    ) -> Result[PlainAnswer, UpstreamError]:
        """Send the call exactly once and return its answer."""
        try:
            async with self.session.request(
                call.method,
                url + call.path,
                data=call.body or None,
                headers=[(header.name, header.value) for header in call.headers],
                timeout=call_timeout(timeout_s),
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except (ConnectionLost, ClientError, TimeoutError) as error:
            return Failure(error_of_exception(error, timeout_s))
        if response.status in REFUSED_STATUSES:
            return Failure(error_of_status(response.status, body))
        headers = tuple(Header(name, value) for name, value in response.headers.items())
        return Success(PlainAnswer(response.status, headers, body))
