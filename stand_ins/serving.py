"""Helpers of the stand-ins: serve an application, cut or reset a connection."""

from asyncio import Event, get_running_loop, run
from signal import SIGTERM
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

from aiohttp import web


def serve(app: web.Application, port: int) -> None:
    """Serve `app` on loopback until SIGTERM."""
    run(_serve(app, port))


async def _serve(app: web.Application, port: int) -> None:
    stopped = Event()
    get_running_loop().add_signal_handler(SIGTERM, stopped.set)
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        shutdown_timeout=0.1,
        access_log=None,
        auto_decompress=False,
    )
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await stopped.wait()
    await runner.cleanup()


def cut_connection(request: web.Request) -> None:
    """Close the connection without an answer."""
    assert request.transport is not None
    request.transport.abort()


def reset_connection(request: web.Request) -> None:
    """Reset the connection with RST."""
    assert request.transport is not None
    connection = request.transport.get_extra_info("socket")
    # With a linger time of 0, the kernel sends RST instead of FIN.
    connection.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    request.transport.abort()
