"""An HTTP listener that is bound before the node starts and stops gracefully."""

from asyncio import wait_for
from dataclasses import dataclass
from socket import SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, getaddrinfo, socket
from ssl import SSLContext

from aiohttp import hdrs, web
from returns.result import Failure, Result, Success

from lagoonhinge_node.addresses import Address
from lagoonhinge_node.graceful_stop import stop_gracefully

BACKLOG = 1024

# The limits of aiohttp and mode, 60 s by default, must exceed the node's own limit for
# a stop, which is the longest deadline of a request.
MAX_STOP_S = 86_400.0


@dataclass(frozen=True)
class BindError:
    """An address that cannot be listened on."""

    address: Address
    reason: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"cannot listen on {self.address}: {self.reason}"


def bind(address: Address) -> Result[socket, BindError]:
    """Return a listening socket; a bad address fails before the node starts."""
    try:
        infos = getaddrinfo(address.host.strip("[]"), address.port, type=SOCK_STREAM)
        family, kind, protocol, _, sockaddr = infos[0]
        listening = socket(family, kind, protocol)
    except OSError as error:
        return Failure(BindError(address, str(error)))
    try:
        listening.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listening.bind(sockaddr)
        listening.listen(BACKLOG)
    except OSError as error:
        listening.close()
        return Failure(BindError(address, str(error)))
    return Success(listening)


class Listener:
    """Serves one application on one socket.

    Args:
        app: The application.
        listening: Socket from `bind`.
        tls: TLS context; `None` for plain HTTP.
    """

    def __init__(
        self, app: web.Application, listening: socket, tls: SSLContext | None = None
    ):
        self.app = app
        self.listening = listening
        self.tls = tls
        self.closes_connections = False
        self.runner: web.AppRunner | None = None
        app.on_response_prepare.append(self._close_connection)

    async def start(self) -> None:
        """Serve connections to the socket."""
        self.runner = web.AppRunner(
            self.app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=MAX_STOP_S,
        )
        await self.runner.setup()
        site = web.SockSite(
            self.runner, self.listening, ssl_context=self.tls, backlog=BACKLOG
        )
        await site.start()

    def drain(self) -> None:
        """Close each connection after its next answer, so that callers reconnect."""
        self.closes_connections = True

    async def stop(self, limit_s: float) -> bool:
        """Close the socket and wait for running requests.

        Args:
            limit_s: Longest wait, in seconds.

        Returns:
            Whether every request was finished.
        """
        if self.runner is None:
            return True
        runner, self.runner = self.runner, None
        try:
            await wait_for(stop_gracefully(runner), limit_s)
        except TimeoutError:
            return False
        return True

    async def _close_connection(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        if self.closes_connections:
            # aiohttp chose the header before this signal; the flag ends the connection.
            response.headers[hdrs.CONNECTION] = "close"
            response.force_close()
