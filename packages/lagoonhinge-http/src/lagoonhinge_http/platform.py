"""Adapter of the platform's table, object store, VM list and weight store."""

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
from lagoonhinge_http.calls import CallError, WholeAnswer, call
from lagoonhinge_http.session import call_timeout
from lagoonhinge_http.wire import BadMessage, decode, encode

PLATFORM_TIMEOUT_S = 2.0
TICKET_RETRY_AFTER_S = 1.0

MessageT = TypeVar("MessageT")


@dataclass(frozen=True)
class KnownVms:
    """The VM list as last read, with the tag that tells whether it changed."""

    etag: str
    vms: tuple[VmEntry, ...]


class HttpPlatform:
    """All of the platform's services over HTTP with JSON.

    Args:
        session: Client session.
        url: Root of the services.
        timeout_s: Limit of each call, in seconds.
    """

    def __init__(
        self, session: ClientSession, url: str, timeout_s: float = PLATFORM_TIMEOUT_S
    ):
        self.session = session
        self.url = url
        self.timeout_s = timeout_s
        self.known_vms = KnownVms("", ())

    async def read(self, key: str) -> Result[Row, Unavailable]:
        """Return a row; version 0 stands for an absent one."""
        match await self._call("GET", f"/table/rows/{quote(key, safe='')}"):
            case Success(WholeAnswer(404)):
                return Success(Row(key, 0, ""))
            case Success(answer):
                return _decoded(answer, Row)
            case Failure(error):
                return Failure(error)
        raise AssertionError("not a result")

    async def write(
        self, key: str, value: str, if_version: int
    ) -> Result[Row, WriteError]:
        """Write a row if it is at `if_version`; 0 means that it must be absent."""
        body = encode(Row(key, if_version, value))
        match await self._call("PUT", f"/table/rows/{quote(key, safe='')}", body):
            case Success(WholeAnswer(409, current)):
                return _conflict(current)
            case Success(answer):
                return _decoded(answer, Row)
            case Failure(error):
                return Failure(error)
        raise AssertionError("not a result")

    async def scan(self, prefix: str) -> Result[tuple[Row, ...], Unavailable]:
        """Return the rows whose key starts with `prefix`."""
        answer = await self._call("GET", f"/table/scan?prefix={quote(prefix, safe='')}")
        return answer.bind(lambda found: _decoded(found, tuple[Row, ...]))

    async def put(self, name: str, content: bytes) -> Result[None, Unavailable]:
        """Store an object; the same name and content may be stored again."""
        answer = await self._call("PUT", f"/objects/{name}", content)
        return answer.bind(_done)

    async def get(self, name: str) -> Result[bytes, ReadError]:
        """Return an object."""
        match await self._call("GET", f"/objects/{name}"):
            case Success(WholeAnswer(404)):
                return Failure(NotStored(name))
            case Success(WholeAnswer(200, body)):
                return Success(body)
            case Success(answer):
                return Failure(_unexpected(answer))
            case Failure(error):
                return Failure(error)
        raise AssertionError("not a result")

    async def list(self) -> Result[tuple[VmEntry, ...], Unavailable]:
        """Return the VMs known to the platform; an unchanged list is not sent again."""
        known = self.known_vms
        headers = {str(hdrs.IF_NONE_MATCH): known.etag} if known.etag else {}
        match await self._call("GET", "/vms", headers=headers):
            case Success(WholeAnswer(304)):
                return Success(known.vms)
            case Success(answer):
                vms = _decoded(answer, tuple[VmEntry, ...])
                if isinstance(vms, Success):
                    self.known_vms = KnownVms(answer.etag, vms.unwrap())
                return vms
            case Failure(error):
                return Failure(error)
        raise AssertionError("not a result")

    async def take_ticket(self) -> Result[None, TicketRefused | Unavailable]:
        """Take the right to start one load of weights."""
        match await self._call("POST", "/weights/tickets"):
            case Success(WholeAnswer(429)):
                return Failure(TicketRefused(TICKET_RETRY_AFTER_S))
            case Success(answer):
                return _done(answer)
            case Failure(error):
                return Failure(error)
        raise AssertionError("not a result")

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[WholeAnswer, Unavailable]:
        limits = call_timeout(self.timeout_s)
        sent = await call(self.session, method, self.url + path, limits, body, headers)
        return sent.alt(_unavailable)


def _unavailable(error: CallError) -> Unavailable:
    if isinstance(error, ClientConnectorError):
        return Unavailable(str(error), False)
    return Unavailable(repr(error), True)


def _unexpected(answer: WholeAnswer) -> Unavailable:
    # A server error may come after the write; any other status came before it.
    return Unavailable(f"status {answer.status}", answer.status >= 500)


def _done(answer: WholeAnswer) -> Result[None, Unavailable]:
    return Success(None) if answer.status == 200 else Failure(_unexpected(answer))


def _conflict(current: bytes) -> Result[Row, WriteError]:
    match _decoded(WholeAnswer(200, current), Row):
        case Success(row):
            return Failure(Conflict(row))
        case Failure(error):
            return Failure(error)
    raise AssertionError("not a result")


def _decoded(
    answer: WholeAnswer, kind: type[MessageT]
) -> Result[MessageT, Unavailable]:
    if answer.status != 200:
        return Failure(_unexpected(answer))
    try:
        return Success(decode(answer.body, kind))
    except BadMessage as error:
        return Failure(Unavailable(str(error), True))
