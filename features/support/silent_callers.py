"""A listener for callers with endless answers, and a caller that reads nothing."""

from asyncio import open_connection, sleep, timeout, wait_for
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, socket

from aiohttp import web
from returns.result import Failure, Success

from features.support.fleet import PORTS
from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.engine_messages import Sampling, Usage
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.outcome import Outcome
from lagoonhinge_core.recovery import deadline_failure
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import (
    ConfigSection,
    NodeSection,
    Readiness,
    UpstreamsSection,
)
from lagoonhinge_core.tokens import TokenEstimate
from lagoonhinge_node.answer_relay import Finished
from lagoonhinge_node.caller_api import CallerApi
from lagoonhinge_node.caller_requests import ParsedCompletion
from lagoonhinge_node.clock import SystemClock
from lagoonhinge_node.metrics import Metrics

NODE = NodeSection(NodeId("vm", 1), "site", "zone", Readiness.READY, 0.0)
DEADLINE_AFTER_S = 1.0
DISCONNECT_TIMEOUT_S = 20.0
PART_TEXT = "x" * 65536
ANSWER_PARTS = 200


class _FakeReader:
    def __init__(self, clock, is_streamed):
        self.clock = clock
        self.is_streamed = is_streamed

    async def read_completion(self, request, kind):
        # With small buffers, the writes of the listener soon wait for the caller.
        request.transport.get_extra_info("socket").setsockopt(
            SOL_SOCKET, SO_SNDBUF, 4096
        )
        deadline_s = self.clock.monotonic_s() + DEADLINE_AFTER_S
        estimate = TokenEstimate(1, 1)
        model_request = ModelRequest(
            "id", "a", "s", "m", "p", 1, estimate, 1, Sampling(), deadline_s, 1.0
        )
        return Success(ParsedCompletion(model_request, self.is_streamed))


class _EndlessModels:
    def __init__(self, clock):
        self.clock = clock

    async def run(self, request, sink):
        try:
            async with timeout(request.deadline_s - self.clock.monotonic_s()):
                for _ in range(ANSWER_PARTS):
                    await sink.write(PART_TEXT)
            return Success(Finished("length", Usage(1, 1)))
        except TimeoutError:
            return Failure(deadline_failure(Outcome.UNKNOWN))


async def serve_silent_caller(is_streamed: bool) -> None:
    """Serve a caller that reads nothing; fail unless it is soon disconnected."""
    clock = SystemClock()
    board = Blackboard()
    for section in (ConfigSection(version=1), NODE, UpstreamsSection()):
        board.writer(section, "test")
    reader = _FakeReader(clock, is_streamed)
    api = CallerApi(board, reader, _EndlessModels(clock), None, Metrics())
    runner = web.AppRunner(api.app(1 << 20), handler_cancellation=True)
    await runner.setup()
    port = PORTS.allocate()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    client_socket = socket()
    client_socket.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    client_socket.connect(("127.0.0.1", port))
    _, writer = await open_connection(sock=client_socket, limit=1)
    writer.write(
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    )
    await writer.drain()
    await wait_for(_wait_disconnected(runner), DISCONNECT_TIMEOUT_S)
    writer.transport.abort()
    await runner.cleanup()


async def _wait_disconnected(runner):
    await sleep(DEADLINE_AFTER_S / 2)
    assert runner.server.connections
    while runner.server.connections:
        await sleep(0.05)
