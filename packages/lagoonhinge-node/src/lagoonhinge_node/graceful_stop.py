"""Graceful stop of an HTTP server: each request whose head has arrived is answered.

The stop of aiohttp drops all bytes that arrive afterwards, also the rest of a body. Its
request then gets no answer, although the whole of it was received.
"""

from asyncio import Server, get_running_loop, sleep
from select import POLLIN, poll

from aiohttp import web

CHECK_INTERVAL_S = 0.05
LOOP_PASSES = 2  # asyncio accepts a connection in one and sets it up in the next


async def stop_gracefully(runner: web.BaseRunner) -> None:
    """Stop listening, and close each connection when it has no request."""
    await _stop_listening(runner)
    await sleep(CHECK_INTERVAL_S)
    while runner.server is not None and runner.server.connections:
        for connection in runner.server.connections:
            if _is_idle(connection):
                connection.force_close()
        await sleep(CHECK_INTERVAL_S)
    await runner.cleanup()


async def _stop_listening(runner: web.BaseRunner) -> None:
    """Accept the connections that are made, and close the listening sockets.

    A connection that is accepted but not set up when its server closes would stay open
    and unread.
    """
    await _pass_loop()
    loop = get_running_loop()
    for site in runner.sites:
        server = site._server
        assert isinstance(server, Server)
        for listening in server.sockets:
            loop.remove_reader(listening)
    await _pass_loop()
    for site in runner.sites:
        await site.stop()


async def _pass_loop() -> None:
    for _ in range(LOOP_PASSES):
        await sleep(0)


def _is_idle(connection: web.RequestHandler) -> bool:
    """Return whether a connection waits for a request, and no byte of one is unread."""
    waiter = connection._waiter
    if waiter is None or waiter.done() or connection.transport is None:
        return False
    unread = poll()
    unread.register(connection.transport.get_extra_info("socket"), POLLIN)
    return not unread.poll(0)
