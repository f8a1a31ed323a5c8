"""The shared HTTP client session, with automatic retries disabled."""

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
    """The connection ended without a response; bytes may have been sent."""


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
    max_connections: int = 0, tls_ca: Path | None = None, reuse: bool = True
) -> ClientSession:
    """Return a client session.

    Args:
        max_connections: Maximum number of connections; 0 for no limit, since admission
            bounds the calls.
        tls_ca: File of CA certificates to trust instead of the system's.
        reuse: Whether to keep idle connections for later calls.
    """
    ssl_context = True if tls_ca is None else create_default_context(cafile=tls_ca)
    return ClientSession(
        connector=TCPConnector(
            limit=max_connections,
            force_close=not reuse,
            keepalive_timeout=KEEPALIVE_S if reuse else None,
            ssl=ssl_context,
        ),
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
