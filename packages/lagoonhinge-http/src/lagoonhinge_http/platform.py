"""Client of the platform's table, object store, VM list and weight store."""

from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

from aiohttp import ClientConnectorError, ClientSession, hdrs
from returns.result import Failure, Result, Success

from lagoonhinge_core.store_messages import (
    Conflict,
    NotStored,
    ReadError,
    Row,
    TicketRefused,
    Unavailable,
    VmEntry,
    WriteError,
)
from lagoonhinge_http.calls import CallError, HttpResponse, call
from lagoonhinge_http.session import call_timeout
from lagoonhinge_http.wire import BadMessage, decode, encode

PLATFORM_TIMEOUT_S = 2.0
TICKET_RETRY_AFTER_S = 1.0

MessageT = TypeVar("MessageT")


@dataclass(frozen=True)
class CachedVms:
    """The VM list as last read, with its entity tag for conditional requests."""

    etag: str
    vms: tuple[VmEntry, ...]


class HttpPlatform:
    """Client of all services of the platform, over HTTP with JSON.

    Args:
        session: Client session.
        url: Base URL of the services.
        timeout_s: Timeout of each call, in seconds.
    """

    def __init__(
        self, session: ClientSession, url: str, timeout_s: float = PLATFORM_TIMEOUT_S
    ):
        self.session = session
        self.url = url
        self.timeout_s = timeout_s
        self.cached_vms = CachedVms("", ())

    async def read(self, key: str) -> Result[Row, Unavailable]:
        """Return a row, at version 0 if it is absent."""
        match await self._call("GET", f"/table/rows/{quote(key, safe='')}"):
            case Success(HttpResponse(404)):
                return Success(Row(key, 0, ""))
            case Success(response):
                return _decode_response(response, Row)
            case Failure(error):
                return Failure(error)
        raise AssertionError("not a result")

    async def write(
        self, key: str, value: str, if_version: int
    ) -> Result[Row, WriteError]:
        """Write a row if it is at `if_version`; 0 means that it must be absent."""
        body = encode(Row(key, if_version, value))
        match await self._call("PUT", f"/table/rows/{quote(key, safe='')}", body):
            case Success(HttpResponse(409, current)):
                return _decode_conflict(current)
            case Success(response):
                return _decode_response(response, Row)
            case Failure(error):
                return Failure(error)
        raise AssertionError("not a result")

    async def scan(self, prefix: str) -> Result[tuple[Row, ...], Unavailable]:
        """Return the rows whose key starts with `prefix`."""
        response = await self._call(
            "GET", f"/table/scan?prefix={quote(prefix, safe='')}"
        )
        return response.bind(
            lambda received: _decode_response(received, tuple[Row, ...])
        )

    async def put(self, name: str, content: bytes) -> Result[None, Unavailable]:
        """Store an object; the same name and content may be stored again."""
        response = await self._call("PUT", f"/objects/{name}", content)
        return response.bind(_check_status)

    async def get(self, name: str) -> Result[bytes, ReadError]:
        """Return an object."""
        match await self._call("GET", f"/objects/{name}"):
            case Success(HttpResponse(404)):
                return Failure(NotStored(name))
            case Success(HttpResponse(200, body)):
                return Success(body)
            case Success(response):
                return Failure(_status_error(response))
            case Failure(error):
                return Failure(error)
        raise AssertionError("not a result")

    async def list(self) -> Result[tuple[VmEntry, ...], Unavailable]:
        """Return the VMs of the platform; an unchanged list is not sent again."""
        cached = self.cached_vms
        headers = {str(hdrs.IF_NONE_MATCH): cached.etag} if cached.etag else {}
        match await self._call("GET", "/vms", headers=headers):
            case Success(HttpResponse(304)):
                return Success(cached.vms)
            case Success(response):
                vms = _decode_response(response, tuple[VmEntry, ...])
                if isinstance(vms, Success):
                    self.cached_vms = CachedVms(response.etag, vms.unwrap())
                return vms
            case Failure(error):
                return Failure(error)
        raise AssertionError("not a result")

    async def acquire_ticket(self) -> Result[None, TicketRefused | Unavailable]:
        """Take the right to start one load of weights."""
        match await self._call("POST", "/weights/tickets"):
            case Success(HttpResponse(429)):
                return Failure(TicketRefused(TICKET_RETRY_AFTER_S))
            case Success(response):
                return _check_status(response)
            case Failure(error):
                return Failure(error)
        raise AssertionError("not a result")

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[HttpResponse, Unavailable]:
        timeout = call_timeout(self.timeout_s)
        sent = await call(self.session, method, self.url + path, timeout, body, headers)
        return sent.alt(_unavailable)


def _unavailable(error: CallError) -> Unavailable:
    if isinstance(error, ClientConnectorError):
        return Unavailable(str(error), False)
    return Unavailable(repr(error), True)


def _status_error(response: HttpResponse) -> Unavailable:
    # A server error may follow a write that took effect; other statuses do not.
    return Unavailable(f"status {response.status}", response.status >= 500)


def _check_status(response: HttpResponse) -> Result[None, Unavailable]:
    return Success(None) if response.status == 200 else Failure(_status_error(response))


def _decode_conflict(current: bytes) -> Result[Row, WriteError]:
    match _decode_response(HttpResponse(200, current), Row):
        case Success(row):
            return Failure(Conflict(row))
        case Failure(error):
            return Failure(error)
    raise AssertionError("not a result")


def _decode_response(
    response: HttpResponse, message_type: type[MessageT]
) -> Result[MessageT, Unavailable]:
    if response.status != 200:
        return Failure(_status_error(response))
    try:
        return Success(decode(response.body, message_type))
    except BadMessage as error:
        return Failure(Unavailable(str(error), True))
