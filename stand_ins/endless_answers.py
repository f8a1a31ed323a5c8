"""Answers that never end, written until the caller closes the connection."""

from asyncio import sleep
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import count, repeat

from aiohttp import web

WRITE_BYTES = 64 << 10
MAX_UNSENT_BYTES = 1 << 20
EVENTS_PER_WRITE = 1000
START_PAUSE_S = 0.02  # so that the rest arrives separately
WRITE_PAUSE_S = 0.001
TRICKLE_PAUSE_S = 0.1
TRICKLE = "trickled "
HEAD_NAMES = (
    "status line",
    "header line",
    "header lines",
    "100 heads",
    "103 heads",
)


def _fill(unit: bytes) -> bytes:
    return unit * (WRITE_BYTES // len(unit))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _numbered_events() -> Iterator[bytes]:
    for first in count(1, EVENTS_PER_WRITE):
        numbers = range(first, first + EVENTS_PER_WRITE)
        yield b"".join(_chunk(b"id: %d\ndata: token\n\n" % n) for n in numbers)


@dataclass(frozen=True)
class EndlessAnswer:
    """An answer that never ends.

    Attributes:
        start: Returns its first bytes, from the headers of a proper answer.
        unit: Bytes that follow again and again.
    """

    start: Callable[[bytes], bytes]
    unit: bytes


def _ok(rest: bytes) -> Callable[[bytes], bytes]:
    return lambda headers: b"HTTP/1.1 200 OK\r\n" + headers + rest


def _chunked(rest: bytes = b"") -> Callable[[bytes], bytes]:
    return _ok(b"Transfer-Encoding: chunked\r\n\r\n" + rest)


def _refusal(status: bytes) -> Callable[[bytes], bytes]:
    return lambda headers: b"HTTP/1.1 " + status + b"\r\n" + headers + b"\r\n"


ANSWERS = {
    "status line": EndlessAnswer(lambda _: b"HTTP/1.1 200 O", _fill(b"K")),
    "header line": EndlessAnswer(_ok(b"X-Long: "), _fill(b"x")),
    "header lines": EndlessAnswer(_ok(b""), _fill(b"X-Many: 1\r\n")),
    "100 heads": EndlessAnswer(lambda _: b"", _fill(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "103 heads": EndlessAnswer(
        lambda _: b"", _fill(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
    ),
    "upgrade": EndlessAnswer(
        lambda headers: (
            b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
            b"Upgrade: other\r\n" + headers + b"\r\n"
        ),
        _fill(b"x"),
    ),
    "chunk size": EndlessAnswer(_chunked(), _fill(b"0")),
    "chunk extension": EndlessAnswer(_chunked(b"5;x="), _fill(b"x")),
    "extended chunks": EndlessAnswer(
        _chunked(), _fill(b"1;x=" + b"x" * 4000 + b"\r\n.\r\n")
    ),
    "trailer line": EndlessAnswer(_chunked(b"0\r\nX-Long: "), _fill(b"x")),
    "trailer lines": EndlessAnswer(_chunked(b"0\r\n"), _fill(b"X-Many: 1\r\n")),
    "body": EndlessAnswer(_ok(b"\r\n"), _fill(b"x")),
    "chunks": EndlessAnswer(_chunked(), _fill(_chunk(b"x" * 4000))),
    "rest": EndlessAnswer(_ok(b"Content-Length: 5\r\n\r\nwhole"), _fill(b"x")),
    "503 body": EndlessAnswer(_refusal(b"503 Service Unavailable"), _fill(b"x")),
    "421 body": EndlessAnswer(_refusal(b"421 Misdirected Request"), _fill(b"x")),
    "500 body": EndlessAnswer(_refusal(b"500 Internal Server Error"), _fill(b"x")),
    "comments": EndlessAnswer(_chunked(), _fill(_chunk(b": alive\n\n"))),
    "events without id": EndlessAnswer(_chunked(), _fill(_chunk(b"data: x\n\n"))),
    "events with one id": EndlessAnswer(
        _chunked(), _fill(_chunk(b"id: 1\ndata: x\n\n"))
    ),
    "events": EndlessAnswer(_chunked(), b""),
}


async def write_endlessly(
    request: web.Request, name: str, headers: dict[str, str]
) -> None:
    """Write an endless answer until the caller closes the connection.

    Args:
        request: The request to answer.
        name: Name of the answer; after `TRICKLE`, it is sent byte by byte.
        headers: Headers of a proper answer.
    """
    transport = request.transport
    assert transport is not None
    answer = ANSWERS[name.removeprefix(TRICKLE)]
    lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items()).encode()
    transport.write(answer.start(lines))
    await sleep(START_PAUSE_S)
    units = repeat(answer.unit) if answer.unit else _numbered_events()
    if name.startswith(TRICKLE):
        units = (bytes((byte,)) for unit in units for byte in unit)
    for unit in units:
        if transport.is_closing():
            raise ConnectionResetError
        transport.write(unit)
        if name.startswith(TRICKLE):
            await sleep(TRICKLE_PAUSE_S)
        else:
            await sleep(0)
            while transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                await sleep(WRITE_PAUSE_S)
