"""Adapter of model engines: JSON requests, answers as server-sent events."""

from asyncio import timeout
from typing import Any, TypeVar

from aiohttp import ClientConnectorError, ClientError, ClientResponse, ClientSession
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder
from returns.result import Failure, Result, Success

from lagoonhinge_core.engine_messages import (
    CacheEvents,
    EngineCall,
    EngineChunk,
    Holdings,
    LoadReport,
    Order,
    OrderReport,
    ReservationRequest,
    SpanRequest,
)
from lagoonhinge_core.ports import EngineStream
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
from lagoonhinge_http.session import ConnectionLost, call_timeout, open_session
from lagoonhinge_http.wire import BadMessage, decode, encode

MAX_REASON_BYTES = 500
EVENT_END = b"\n\n"
EVENT_PREFIX = b"data: "
REFUSED_STATUSES = (409, 429, 503)

MessageT = TypeVar("MessageT")
_CHUNK_DECODER = Decoder(EngineChunk)


def error_of_status(status: int, body: bytes) -> UpstreamError:
    """Return what an error status of an upstream says about execution."""
    reason = body[:MAX_REASON_BYTES].decode(errors="replace")
    if status in REFUSED_STATUSES:
        return Refused(reason)
    if status == 404:
        return Gone(reason)
    if status >= 500:
        return EngineFault(f"status {status}: {reason}")
    return Rejected(status, reason)


def error_of_exception(error: Exception, waited_s: float) -> UpstreamError:
    """Return what an exception of the HTTP client says about execution."""
    match error:
        case ClientConnectorError():
            return NotSent(str(error))
        case TimeoutError():
            return Silent(waited_s)
        case _:
            return Broken(repr(error))


class HttpEngineStream:
    """An answer that is arriving as server-sent events."""

    def __init__(self, response: ClientResponse):
        self.response = response
        self.rest = b""

    async def next_chunks(
        self, timeout_s: float
    ) -> Result[tuple[EngineChunk, ...], UpstreamError]:
        """Return the chunks that have arrived, at least one."""
        while True:
            try:
                data = await self._read(timeout_s)
            except (ConnectionLost, ClientError, TimeoutError, OSError) as error:
                return Failure(error_of_exception(error, timeout_s))
            if not data:
                return Failure(Broken("the stream ended without its end mark"))
            events = (self.rest + data).split(EVENT_END)
            self.rest = events.pop()
            if events:
                return _decode_events(events)

    async def close(self) -> None:
        """Drop the connection unless the answer was read to its end."""
        if self.response.content.at_eof():
            self.response.release()
        else:
            self.response.close()

    async def _read(self, timeout_s: float) -> bytes:
        async with timeout(timeout_s):
            return await self.response.content.readany()


def _decode_events(
    events: list[bytes],
) -> Result[tuple[EngineChunk, ...], UpstreamError]:
    try:
        return Success(
            tuple(
                _CHUNK_DECODER.decode(event.removeprefix(EVENT_PREFIX))
                for event in events
            )
        )
    except (ValidationError, DecodeError) as error:
        return Failure(Broken(f"bad chunk: {error}"))


class HttpEngineClient:
    """Calls to model engines over HTTP.

    Each engine has a session of its own, so that its pooled connections can be
    dropped without touching those of others.
    """

    def __init__(self) -> None:
        self.sessions: dict[str, ClientSession] = {}
        self.retired: list[ClientSession] = []

    async def open_stream(
        self, url: str, call: EngineCall, timeout_s: float
    ) -> Result[EngineStream, UpstreamError]:
        """Send an attempt and return its answer once the engine has accepted it."""
        return await self._open("POST", url, "/v1/completions", encode(call), timeout_s)

    async def resume_stream(
        self, url: str, attempt: str, from_seq: int, timeout_s: float
    ) -> Result[EngineStream, UpstreamError]:
        """Read a running attempt again from a position, over a new connection."""
        path = f"/v1/streams/{attempt}?from={from_seq}"
        return await self._open("GET", url, path, None, timeout_s)

    async def release(
        self, url: str, kind: str, name: str, timeout_s: float
    ) -> Result[None, UpstreamError]:
        """Free a stream, reservation or export; success means it is not held."""
        path = f"/v1/holdings/{kind}/{name}"
        match await self._call("DELETE", url, path, None, timeout_s):
            case Failure(Gone()):
                return Success(None)
            case Failure(error):
                return Failure(error)
        return Success(None)

    async def reserve(
        self, url: str, request: ReservationRequest, timeout_s: float
    ) -> Result[None, UpstreamError]:
        """Set memory aside, at once or not at all."""
        answer = await self._call("POST", url, "/v1/reservations", request, timeout_s)
        return answer.map(lambda _: None)

    async def prefill_span(
        self, url: str, request: SpanRequest, timeout_s: float
    ) -> Result[None, UpstreamError]:
        """Process a span and export its KV cache; returns when it is ready."""
        answer = await self._call("POST", url, "/v1/spans", request, timeout_s)
        return answer.map(lambda _: None)

    async def holdings(
        self, url: str, timeout_s: float
    ) -> Result[Holdings, UpstreamError]:
        """Return everything that the engine holds."""
        return await self._get(url, "/v1/holdings", Holdings, timeout_s)

    async def load(
        self, url: str, timeout_s: float
    ) -> Result[LoadReport, UpstreamError]:
        """Return the engine's load report."""
        return await self._get(url, "/v1/load", LoadReport, timeout_s)

    async def cache_events(
        self, url: str, after_seq: int, timeout_s: float
    ) -> Result[CacheEvents, UpstreamError]:
        """Return the cache events after a sequence number."""
        path = f"/v1/cache-events?after={after_seq}"
        return await self._get(url, path, CacheEvents, timeout_s)

    async def order(
        self, url: str, order: Order, timeout_s: float
    ) -> Result[OrderReport, UpstreamError]:
        """State the desired state; returns what the engine has reached."""
        answer = await self._call("POST", url, "/v1/orders", order, timeout_s)
        return answer.bind(lambda body: _decoded(body, OrderReport))

    async def order_state(
        self, url: str, timeout_s: float
    ) -> Result[OrderReport, UpstreamError]:
        """Return what the engine has reached, without an order."""
        return await self._get(url, "/v1/orders", OrderReport, timeout_s)

    async def drop_connections(self, url: str) -> None:
        """Use new connections to one upstream from now on.

        Streams that still run on the old ones keep them until they end.
        """
        session = self.sessions.pop(url, None)
        if session is not None:
            self.retired.append(session)

    async def close(self) -> None:
        """Close every session."""
        for session in (*self.sessions.values(), *self.retired):
            await session.close()

    def _session(self, url: str) -> ClientSession:
        session = self.sessions.get(url)
        if session is None:
            session = self.sessions[url] = open_session()
        return session

    async def _open(
        self, method: str, url: str, path: str, body: bytes | None, timeout_s: float
    ) -> Result[EngineStream, UpstreamError]:
        try:
            async with timeout(timeout_s):
                response = await self._session(url).request(
                    method, url + path, data=body, timeout=call_timeout(None)
                )
                if response.status == 200:
                    return Success(HttpEngineStream(response))
                return Failure(error_of_status(response.status, await response.read()))
        except (ConnectionLost, ClientError, TimeoutError) as error:
            return Failure(error_of_exception(error, timeout_s))

    async def _call(
        self, method: str, url: str, path: str, message: Any, timeout_s: float
    ) -> Result[bytes, UpstreamError]:
        body = None if message is None else encode(message)
        try:
            async with self._session(url).request(
                method, url + path, data=body, timeout=call_timeout(timeout_s)
            ) as response:
                answer = await response.read()
        except (ConnectionLost, ClientError, TimeoutError) as error:
            return Failure(error_of_exception(error, timeout_s))
        if response.status != 200:
            return Failure(error_of_status(response.status, answer))
        return Success(answer)

    async def _get(
        self, url: str, path: str, kind: type[MessageT], timeout_s: float
    ) -> Result[MessageT, UpstreamError]:
        answer = await self._call("GET", url, path, None, timeout_s)
        return answer.bind(lambda body: _decoded(body, kind))


def _decoded(body: bytes, kind: type[MessageT]) -> Result[MessageT, UpstreamError]:
    try:
        return Success(decode(body, kind))
    except BadMessage as error:
        return Failure(Broken(str(error)))
