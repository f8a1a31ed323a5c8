"""The shared HTTP client, which never sends a request twice by itself."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from ssl import create_default_context

from aiohttp import (
    ClientConnectorError,
    ClientOSError,
    ClientRequest,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ServerDisconnectedError,
    TCPConnector,
)

CONNECT_TIMEOUT_S = 2.0
KEEPALIVE_S = 15.0
MAX_LINE_BYTES = 1_048_576


class ConnectionLost(Exception):
    """The connection ended without an answer; bytes may have been sent."""


async def _stop_resending(
    request: ClientRequest,
    handler: Callable[[ClientRequest], Awaitable[ClientResponse]],
) -> ClientResponse:
    # aiohttp repeats idempotent methods on these two errors; ours ends its loop.
    try:
        return await handler(request)
    except ServerDisconnectedError as error:
        raise ConnectionLost(str(error)) from error
    except ClientConnectorError:
        raise
    except ClientOSError as error:
        raise ConnectionLost(str(error)) from error


def open_session(
    connections: int = 0, tls_ca: Path | None = None, reuse: bool = True
) -> ClientSession:
    """Return a client session.

    Args:
        connections: Most connections at once; 0 for no limit, since admission
            bounds the calls.
        tls_ca: Certificates of the authorities that are trusted, instead of the
            system's.
        reuse: Whether idle connections are kept for later calls.
    """
    trust = True if tls_ca is None else create_default_context(cafile=tls_ca)
    return ClientSession(
        connector=TCPConnector(
            limit=connections,
            force_close=not reuse,
            keepalive_timeout=KEEPALIVE_S if reuse else None,
            ssl=trust,
        ),
        middlewares=(_stop_resending,),
        read_bufsize=MAX_LINE_BYTES,
        auto_decompress=False,
    )


def call_timeout(
    total_s: float | None,
    silence_s: float | None = None,
    connect_s: float = CONNECT_TIMEOUT_S,
) -> ClientTimeout:
    """Return the time limits of one call.

    Args:
        total_s: Limit of the whole call, in seconds; `None` for none.
        silence_s: Limit between two reads, in seconds; `None` for none.
        connect_s: Limit of the connection's establishment, in seconds.
    """
    return ClientTimeout(total=total_s, sock_connect=connect_s, sock_read=silence_s)
