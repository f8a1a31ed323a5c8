"""HTTP/1.1 for the stand-ins: messages, a small server, and a client's channel."""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    Server,
    StreamReader,
    StreamWriter,
    open_connection,
    sleep,
    start_server,
)
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

HEAD_LIMIT = 1 << 17
PART_S = 0.05  # between two parts of a body that is sent slowly


class Cut(Exception):
    """The peer closed or reset the channel before the message was whole."""


@dataclass
class Message:
    """A request or an answer.

    Attributes:
        start: The words of its first line.
        headers: The headers; names in lower case.
        body: The body.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start[1])

    @property
    def path(self) -> str:
        """Return the path of a request, without its query."""
        return urlsplit(self.start[1]).path

    @property
    def query(self) -> dict[str, str]:
        """Return the query of a request."""
        return dict(parse_qsl(urlsplit(self.start[1]).query))


async def read_head(reader: StreamReader) -> Message:
    """Read the head of a message.

    Raises:
        Cut: If the channel ended before.
    """
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (IncompleteReadError, OSError) as error:
        raise Cut(repr(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_body(reader: StreamReader, message: Message) -> None:
    """Read the body of a message whose head was read.

    Raises:
        Cut: If the channel ended before.
    """
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            parts: list[bytes] = []
            while size := int((await reader.readline()).split(b";")[0], 16):
                parts.append((await reader.readexactly(size + 2))[:-2])
            await reader.readexactly(2)
            message.body = b"".join(parts)
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length) if length else b""
    except (IncompleteReadError, OSError, ValueError) as error:
        raise Cut(repr(error)) from error


def encode(start: str, headers: dict[str, str], body: bytes | None) -> bytes:
    """Return a message; with its length unless `body` is `None`."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


class Channel:
    """A channel of a client, used for one request after the other.

    Args:
        port: Port of the peer on loopback.
    """

    def __init__(self, port: int):
        self.port = port
        self.reader: StreamReader | None = None
        self.writer: StreamWriter | None = None

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        upload_s: float = 0.0,
    ) -> Message:
        """Send a request and return its whole answer.

        Args:
            method: The method.
            target: The target.
            headers: The headers.
            body: The body.
            upload_s: How long its sending takes, at an even rate, in seconds.

        Raises:
            Cut: If the channel ended before the answer was whole.
        """
        try:
            if self.reader is None or self.writer is None:
                self.reader, self.writer = await open_connection(
                    "127.0.0.1", self.port, limit=HEAD_LIMIT
                )
            raw = encode(f"{method} {target} HTTP/1.1", headers, body)
            parts = int(upload_s / PART_S) + 1
            size = len(raw) // parts + 1
            for start in range(0, len(raw), size):
                self.writer.write(raw[start : start + size])
                await self.writer.drain()
                if start + size < len(raw):
                    await sleep(PART_S)
        except OSError as error:
            self.close()
            raise Cut(repr(error)) from error
        try:
            answer = await read_head(self.reader)
            await read_body(self.reader, answer)
        except Cut:
            self.close()
            raise
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


Handler = Callable[[Message, StreamReader, StreamWriter], Awaitable[bool]]


async def serve(handle: Handler, port: int = 0) -> Server:
    """Serve on loopback.

    Args:
        handle: Handles a request whose head was read; returns whether the channel
            stays open.
        port: The port; a free one if it is 0.
    """

    async def run(reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while await handle(await read_head(reader), reader, writer):
                pass
        except (Cut, OSError, CancelledError):
            pass  # the peer left, or the case ends
        finally:
            writer.close()

    return await start_server(run, "127.0.0.1", port, limit=HEAD_LIMIT)


def port_of(server: Server) -> int:
    """Return the port of a server."""
    port: int = server.sockets[0].getsockname()[1]
    return port
