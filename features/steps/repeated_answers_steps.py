"""Steps about upstreams that write an answer again, or not to its end."""

from asyncio import StreamReader, StreamWriter, run, sleep, start_server
from dataclasses import dataclass, field
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

from behave import given, then, when
from returns.result import Failure, Result, Success

from lagoonhinge_core.engine_messages import EngineCall
from lagoonhinge_core.plain_messages import CallLimits, PlainCall
from lagoonhinge_http.session import open_session
from lagoonhinge_node.engine_client import HttpEngineClient
from lagoonhinge_node.plain_client import HttpPlainClient

REPEAT_DELAY_S = 0.02
GAP_S = 0.1  # between the two calls, with the repeated answer in it
TIMEOUT_S = 2.0
FIRST_ANSWERS = {
    "a refusal": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    "an answer": b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nearlier",
}
BROKEN_ANSWERS = {
    "without length": b"HTTP/1.1 200 OK\r\n\r\npart",
    "with status 000": b"HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\npart",
    "with a cut head": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
}
RESET_ON_CLOSE = pack("ii", 1, 0)
CHUNK = b'data: {"attempt":"b","seq":0,"text":"own"}\n\n'
SECOND_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(CHUNK), CHUNK)


@dataclass
class RepeatingUpstream:
    """Upstream that answers its first request, and that answer again.

    Attributes:
        first_answer: The first answer.
        with_next: Whether it is repeated when the next request has arrived.
        requests: Bodies of the requests.
    """

    first_answer: bytes
    with_next: bool
    requests: list[bytes] = field(default_factory=list)

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serve one connection."""
        answered_first = False
        while (body := await _read_request(reader)) is not None:
            self.requests.append(body)
            if len(self.requests) == 1:
                writer.write(self.first_answer)
                answered_first = True
                if not self.with_next:
                    await sleep(REPEAT_DELAY_S)
                    writer.write(self.first_answer)
                continue
            if answered_first and self.with_next:
                writer.write(self.first_answer)
                await sleep(REPEAT_DELAY_S)
            writer.write(SECOND_ANSWER)
        writer.close()


async def _read_request(reader: StreamReader) -> bytes | None:
    length = 0
    while line := await reader.readline():
        if line == b"\r\n":
            return await reader.readexactly(length)
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return None


async def _send_plain(url: str, new_connection: bool) -> list[Result]:
    session = open_session()
    client = HttpPlainClient(session)
    limits = CallLimits(TIMEOUT_S, 1 << 16, new_connection)
    results = []
    for body in (b"a", b"b"):
        call = PlainCall("POST", "/", (), body)
        results.append(await client.send(url, call, limits))
        await sleep(GAP_S)
    await client.close()
    await session.close()
    return [result.map(lambda answer: answer.body) for result in results]


async def _send_attempts(url: str) -> list[Result]:
    client, results = HttpEngineClient(), []
    for attempt in ("a", "b"):
        call = EngineCall(attempt, "vm/1", "m", "prompt", 50, 1, 0, 30.0)
        opened = await client.open_stream(url, call, TIMEOUT_S)
        results.append(opened)
        await sleep(GAP_S)
        if isinstance(opened, Success):
            stream = opened.unwrap()
            chunks = await stream.next_chunks(TIMEOUT_S)
            results[-1] = chunks.map(lambda parts: parts[0].text.encode())
            await stream.close()
    await client.close()
    return results


@given("an upstream that gives its first answer, {first}, again {moment}")
def step_upstream(context, first, moment):
    with_next = moment == "with the next request"
    context.upstream = RepeatingUpstream(FIRST_ANSWERS[first], with_next)


@when("two {calls} are sent to it one after the other")
def step_send(context, calls):
    async def send_both() -> list[Result]:
        server = await start_server(context.upstream.serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            if calls == "attempts of an engine":
                return await _send_attempts(url)
            return await _send_plain(url, calls == "calls that run once")
        finally:
            server.close()

    context.results = run(send_both())


@then("the second one gets its own answer and ran once")
def step_own_answer(context):
    _, second = context.results
    assert isinstance(second, Success), second
    assert second.unwrap() in (CHUNK, b"own"), second
    assert len(context.upstream.requests) == 2, context.upstream.requests


@given("an upstream that answers {answer}, before it reads the request, and then {end}")
def step_breaks_off(context, answer, end):
    async def serve(_: StreamReader, writer: StreamWriter) -> None:
        writer.write(BROKEN_ANSWERS[answer])
        await sleep(REPEAT_DELAY_S)
        if end == "resets":
            connection = writer.get_extra_info("socket")
            connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        writer.close()

    context.serve = serve


@when("a {call} of {size:d} KB is sent to it")
def step_send_one(context, call, size):
    async def send() -> Result:
        server = await start_server(context.serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        session = open_session()
        client = HttpPlainClient(session)
        limits = CallLimits(TIMEOUT_S, 1 << 16, call == "call that runs once")
        plain_call = PlainCall("POST", "/", (), bytes(size << 10))
        try:
            return await client.send(url, plain_call, limits)
        finally:
            await client.close()
            await session.close()
            server.close()

    context.result = run(send())


@then("the call {result}")
def step_call_result(context, result):
    if result == "fails":
        assert isinstance(context.result, Failure), context.result
    else:
        assert context.result.unwrap().body == b"part", context.result
