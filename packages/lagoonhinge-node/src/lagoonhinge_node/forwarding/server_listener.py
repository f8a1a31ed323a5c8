"""Listener of a low-level HTTP server that stops gracefully."""

from asyncio import wait_for

from aiohttp import web

from lagoonhinge_node.addresses import Address
from lagoonhinge_node.graceful_stop import stop_gracefully
from lagoonhinge_node.listener import BACKLOG, MAX_STOP_S


class ServerListener:
    """Runs a server on one address.

    Args:
        server: The low-level server.
        address: Listening address.
    """

    def __init__(self, server: web.Server, address: Address):
        self.server = server
        self.runner = web.ServerRunner(server, shutdown_timeout=MAX_STOP_S)
        self.address = address

    async def start(self) -> None:
        """Start listening."""
        await self.runner.setup()
        address = self.address
        site = web.TCPSite(self.runner, address.host, address.port, backlog=BACKLOG)
        await site.start()

    async def stop(self, limit_s: float) -> bool:
        """Stop listening, end idle connections, and wait for running requests.

        Args:
            limit_s: Longest wait, in seconds.

        Returns:
            Whether every request was finished.
        """
        try:
            await wait_for(stop_gracefully(self.runner), limit_s)
        except TimeoutError:
            for connection in self.server.connections:
                connection.force_close()
            return False
        return True
