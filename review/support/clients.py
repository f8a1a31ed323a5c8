"""Clients: channels over which one request at a time is sent."""

from asyncio import (
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    open_connection,
    timeout,
)
from dataclasses import dataclass, field

CONNECT_S = 1.0


@dataclass
class Answer:
    """The answer to one request.

    Attributes:
        status: The status; 0 without an answer.
        headers: Headers, with names in lower case.
        body: The body, as far as it arrived.
        is_complete: Whether the whole answer arrived.
        error: What ended it otherwise.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""

    def is_served(self) -> bool:
        """Return whether this is a worker's complete success."""
        has_stamp = "lagoonhinge-response-stamp" in self.headers
        return self.status // 100 == 2 and has_stamp and self.is_complete


class Channel:
    """One channel to a node.

    Args:
        port: Port of the node.
    """

    def __init__(self, port: int):
        self.port = port
        self.reader: StreamReader | None = None
        self.writer: StreamWriter | None = None

    def is_open(self) -> bool:
        """Return whether a request may be sent without connecting again."""
        return self.writer is not None and not (
            self.reader is None or self.reader.at_eof()
        )

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def connect(self) -> None:
        """Open the channel."""
        async with timeout(CONNECT_S):
            self.reader, self.writer = await open_connection("127.0.0.1", self.port)

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        limit_s: float,
        body: bytes = b"",
    ) -> Answer:
        """Send a request and read its answer; the channel stays open if it may."""
        answer = Answer()
        try:
            if not self.is_open():
                await self.connect()
            async with timeout(limit_s):
                await self._exchange(method, path, headers, body, answer)
        except TimeoutError:
            answer.error = "time limit"
        except (OSError, IncompleteReadError, ValueError) as error:
            answer.error = repr(error)
        if answer.error or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        answer: Answer,
    ) -> None:
        assert self.reader is not None and self.writer is not None
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.split("\r\n")
        for line in filter(None, rest):
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        answer.status = int(first.split()[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                answer.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await self.reader.readexactly(length)
        answer.is_complete = True
