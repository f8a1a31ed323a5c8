"""Steps for processes that are busy or held up."""

from asyncio import get_running_loop, run, sleep
from itertools import pairwise
from time import sleep as block

from aiohttp import ConnectionTimeoutError
from behave import given, then, when
from returns.result import Success

from lagoonhinge_core.forwarding.attempts import NotDelivered
from lagoonhinge_core.forwarding.messages import AttemptOptions
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_http.read_turns import ReadTurns, next_read_bytes
from lagoonhinge_node.forwarding.upstream_client import (
    CONNECT_TIMEOUT_S,
    TIMEOUT_LATENESS_S,
    UpstreamClient,
)
from lagoonhinge_platform.headers import PlatformHeaders
from lagoonhinge_platform.names import ATTEMPT_ID, RESPONSE_STAMP


class FakeConnection:
    """A connection that always has data, and waits again after each read."""

    def __init__(self, number: int, turns: ReadTurns, reads: list[int]):
        self.number, self.turns, self.reads = number, turns, reads
        self.is_open = True

    def take_turn(self) -> None:
        """Read once."""
        if self.is_open:
            self.reads.append(self.number)
            self.turns.wait(self)


@given("{count:d} connections that always have data")
def step_connections(context, count):
    context.count = count


@when(
    "{iterations:d} loop iterations pass, and connection {closed} closes after "
    "{after:d}"
)
def step_iterations(context, iterations, closed, after):
    context.reads_each = []

    async def pass_iterations() -> None:
        reads: list[int] = []
        turns = ReadTurns(get_running_loop())
        connections = [FakeConnection(n, turns, reads) for n in range(context.count)]
        for connection in connections:
            turns.wait(connection)
        for number in range(iterations):
            if closed != "none" and number == after:
                connections[int(closed)].is_open = False
            before = len(reads)
            await sleep(0)
            context.reads_each.append(reads[before:])

    run(pass_iterations())


@then("at most one connection read in each iteration, in turn, {count:d} times in all")
def step_reads(context, count):
    assert all(len(reads) <= 1 for reads in context.reads_each), context.reads_each
    order = [number for reads in context.reads_each for number in reads]
    assert len(order) == count, order
    if context.count > 1:
        assert all(first != second for first, second in pairwise(order)), order


@when("a read of {size:d} bytes took {took:g} ms")
def step_read(context, size, took):
    context.next_bytes = next_read_bytes(size, took / 1000)


@then("the next one has {size:d} bytes")
def step_next(context, size):
    assert context.next_bytes == size, context.next_bytes


class FakeResponse:
    """Head of a whole answer."""

    status, reason = 200, "OK"
    raw_headers = ((RESPONSE_STAMP.encode(), b"1"), (ATTEMPT_ID.encode(), b"a1"))


class FakeSession:
    """A session whose first connects time out."""

    def __init__(self, late: int, in_time: int):
        self.delays_s = [CONNECT_TIMEOUT_S + 2 * TIMEOUT_LATENESS_S] * late
        self.delays_s += [CONNECT_TIMEOUT_S] * in_time
        self.connects = 0

    async def request(self, *_, **__):
        """Connect, and return an answer."""
        self.connects += 1
        if self.connects <= len(self.delays_s):
            block(self.delays_s[self.connects - 1])
            raise ConnectionTimeoutError("connect")
        return FakeResponse()


@given(
    "an upstream to which the first {late:d} connects time out late and {more:d} in "
    "time"
)
def step_timeouts(context, late, more):
    context.session = FakeSession(late, more)


@when("a request is sent to it")
def step_send_once(context):
    codec = PlatformHeaders()
    client = UpstreamClient(context.session, codec, lambda *_: None)
    headers = ((ATTEMPT_ID.encode(), b"a1"),)
    request = codec.read_request("GET", "/read/1", headers, b"")
    upstream = Upstream("d1", "desk", "127.0.0.1", 1, "north", 8)
    options = AttemptOptions("d1", None, 1.0)
    context.result = run(client.send(upstream, request, options))


@then("it ends with {result} after {connects:d} connects")
def step_result(context, result, connects):
    if result == "an answer":
        assert isinstance(context.result, Success), context.result
    else:
        assert isinstance(context.result.failure(), NotDelivered), context.result
    assert context.session.connects == connects, context.session.connects
