"""The shared HTTP client session, with automatic retries disabled."""

from asyncio import AbstractEventLoop, BaseTransport, get_running_loop
from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus
from pathlib import Path
from ssl import create_default_context
from time import thread_time
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientOSError,
    ClientPayloadError,
    ClientRequest,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ServerDisconnectedError,
    StreamReader,
    TCPConnector,
)
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from lagoonhinge_http.read_turns import (
    FIRST_READ_BYTES,
    MAX_FULL_READS,
    ReadTurns,
    next_read_bytes,
)

CONNECT_TIMEOUT_S = 2.0
KEEPALIVE_S = 15.0
MAX_LINE_BYTES = 1_048_576
MAX_HEAD_BYTES = 64 << 10  # of an answer, with the informational answers before it
MAX_HEADS = 16  # of an answer, likewise
FRAMING_FACTOR = 16  # of the body; chunks of one byte have five bytes of framing each


class ConnectionLost(Exception):
    """The connection ended without a response; bytes may have been sent."""


class BoundedHandler(ResponseHandler):
    """Aborts the connection if an answer's head or framing has no end, or after it.

    An answer without a length ends with its connection. A reset is reported as an
    error, which the HTTP library does not tell from an end.

    The HTTP library limits neither the informational answers before an answer nor the
    sizes, extensions and trailers of chunks. What arrives between two requests it takes
    for the answer to the second one. A connection whose sender is faster than this
    process takes turns with others.

    Args:
        loop: The event loop.
        turns: Turns of the session's connections.
    """

    def __init__(self, loop: AbstractEventLoop, turns: ReadTurns):
        super().__init__(loop)
        self.turns = turns
        self.received_bytes = 0
        self.heads = 0
        self.has_final_head = False
        self.read_bytes = FIRST_READ_BYTES
        self.full_reads = 0  # in a row
        self.awaits_turn = False
        self.is_held = False  # by flow control of the library

    def connection_made(self, transport: BaseTransport) -> None:
        """Limit the size of reads."""
        super().connection_made(transport)
        self._set_read_bytes(FIRST_READ_BYTES)

    def pause_reading(self) -> None:
        """Pause reading until the body is consumed."""
        self.is_held = True
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading, at its turn."""
        self.is_held = False
        super().resume_reading(resume_parser)
        if self.awaits_turn and self.transport is not None:
            self.transport.pause_reading()

    def take_turn(self) -> None:
        """Read once."""
        self.awaits_turn = False
        if self.transport is not None and not self.is_held:
            self.transport.resume_reading()

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to the next request."""
        self.received_bytes = self.heads = 0
        self.has_final_head = False
        super().set_response_params(**params)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Receive a parsed head."""
        if data[0].code < HTTPStatus.CONTINUE:
            # The parser takes any three digits for a status.
            self._abort_answer(f"status {data[0].code:03}, which is none")
            return
        self.heads += 1
        self.has_final_head = data[0].code >= HTTPStatus.OK
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; none if parsing resumes after a pause."""
        if data and self._is_answered():
            self._abort_answer("bytes after a whole answer")
            return
        if len(data) >= self.read_bytes:
            started_s = thread_time()
            super().data_received(data)
            self._record_full_read(thread_time() - started_s)
        else:
            super().data_received(data)
            if data:
                self.full_reads = 0
        self.received_bytes += len(data)
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        if self.exception() is not None:
            self._abort_answer(str(self.exception()))
        elif self.heads > MAX_HEADS:
            self._abort_answer(f"{self.heads} heads")
        elif self.received_bytes > MAX_HEAD_BYTES + FRAMING_FACTOR * body_bytes:
            self._abort_answer(f"{self.received_bytes} bytes with little or no body")

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report a reset to the reader of the body."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"connection reset: {exc}"))
        super().connection_lost(exc)

    def _is_answered(self) -> bool:
        """Return whether the answer to the last request is whole."""
        payload = self._payload
        return self.has_final_head and payload is not None and payload.is_eof()

    def _record_full_read(self, took_s: float) -> None:
        self._set_read_bytes(next_read_bytes(self.read_bytes, took_s))
        self.full_reads += 1
        if self.full_reads < MAX_FULL_READS:
            return
        if self.transport is not None and not self.awaits_turn:
            self.awaits_turn = True
            self.transport.pause_reading()
            self.turns.wait(self)

    def _set_read_bytes(self, read_bytes: int) -> None:
        self.read_bytes = read_bytes
        # The size with which asyncio's transports call `recv`.
        setattr(self.transport, "max_size", read_bytes)

    def _abort_answer(self, reason: str) -> None:
        error = ClientPayloadError(reason)
        self.set_exception(error)
        # The library's parser does not report an error to the reader of the body.
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


async def _disable_retries(
    request: ClientRequest,
    handler: Callable[[ClientRequest], Awaitable[ClientResponse]],
) -> ClientResponse:
    # aiohttp retries idempotent methods on these two errors, not on ConnectionLost.
    try:
        return await handler(request)
    except ServerDisconnectedError as error:
        raise ConnectionLost(str(error)) from error
    except ClientConnectorError:
        raise
    except ClientOSError as error:
        raise ConnectionLost(str(error)) from error


def open_session(
    max_connections: int = 0,
    tls_ca: Path | None = None,
    reuse: bool = True,
) -> ClientSession:
    """Return a client session.

    Args:
        max_connections: Maximum number of connections; 0 for no limit, since admission
            bounds the calls.
        tls_ca: File of CA certificates to trust instead of the system's.
        reuse: Whether to keep idle connections for later calls.
    """
    ssl_context = True if tls_ca is None else create_default_context(cafile=tls_ca)
    connector = TCPConnector(
        limit=max_connections,
        force_close=not reuse,
        keepalive_timeout=KEEPALIVE_S if reuse else None,
        ssl=ssl_context,
    )
    loop = get_running_loop()
    factory: Any = partial(BoundedHandler, loop=loop, turns=ReadTurns(loop))
    connector._factory = factory
    return ClientSession(
        connector=connector,
        middlewares=(_disable_retries,),
        read_bufsize=MAX_LINE_BYTES,
        auto_decompress=False,
    )


def call_timeout(
    total_s: float | None,
    read_s: float | None = None,
    connect_s: float = CONNECT_TIMEOUT_S,
) -> ClientTimeout:
    """Return the time limits of one call.

    Args:
        total_s: Timeout of the whole call, in seconds; `None` for none.
        read_s: Timeout between two reads, in seconds; `None` for none.
        connect_s: Timeout for establishing the connection, in seconds.
    """
    return ClientTimeout(total=total_s, sock_connect=connect_s, sock_read=read_s)
