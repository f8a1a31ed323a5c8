"""An HTTP listener that stops gracefully."""

from ssl import SSLContext

from aiohttp import web

from lagoonhinge_node.settings import Address


class Listener:
    """Serves one application on one address.

    Args:
        app: The application.
        address: Where to listen.
        tls: TLS context; `None` for plain HTTP.
    """

    def __init__(
        self, app: web.Application, address: Address, tls: SSLContext | None = None
    ):
        self.app = app
        self.address = address
        self.tls = tls
        self.runner: web.AppRunner | None = None

    async def start(self, longest_request_s: float) -> None:
        """Listen.

        Args:
            longest_request_s: How long a stop may wait for running requests.
        """
        self.runner = web.AppRunner(
            self.app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=longest_request_s,
        )
        await self.runner.setup()
        site = web.TCPSite(
            self.runner, self.address.host, self.address.port, ssl_context=self.tls
        )
        await site.start()

    async def stop(self) -> None:
        """Close the listening socket and wait for running requests."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None
