"""Graceful stop of an HTTP server: each request whose head has arrived is answered.

The stop of aiohttp drops all bytes that arrive afterwards, also the rest of a body. Its
request then gets no answer, although the whole of it was received.
"""

from asyncio import sleep
from select import POLLIN, poll

from aiohttp import web

CHECK_INTERVAL_S = 0.05


async def stop_gracefully(runner: web.BaseRunner) -> None:
    """Stop listening, and close each connection when it has no request."""
    for site in runner.sites:
        await site.stop()
    # First, connections that were just accepted are set up.
    await sleep(CHECK_INTERVAL_S)
    while runner.server is not None and runner.server.connections:
        for connection in runner.server.connections:
            if _is_idle(connection):
                connection.force_close()
        await sleep(CHECK_INTERVAL_S)
    await runner.cleanup()


def _is_idle(connection: web.RequestHandler) -> bool:
    """Return whether a connection waits for a request, and no byte of one is unread."""
    waiter = connection._waiter
    if waiter is None or waiter.done() or connection.transport is None:
        return False
    unread = poll()
    unread.register(connection.transport.get_extra_info("socket"), POLLIN)
    return not unread.poll(0)
