"""Callers that send the bytes of requests as slowly as a scenario needs."""

from collections.abc import Iterable
from http.client import HTTPException, HTTPResponse
from socket import SO_RCVBUF, SOL_SOCKET, socket
from time import sleep

from features.support.fleet import HttpAnswer, Process
from features.support.platform_fleet import HOST, client_headers

HEX = "{:x}"


class RawCaller:
    """A client's connection to a node.

    Args:
        node: The node.
        receive_bytes: Size of the receive buffer; 0 for the kernel's choice.
        timeout_s: Longest wait for bytes, in seconds.
    """

    def __init__(self, node: Process, receive_bytes: int = 0, timeout_s: float = 10.0):
        self.socket = socket()
        if receive_bytes:
            self.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, receive_bytes)
        self.socket.settimeout(timeout_s)
        self.socket.connect(("127.0.0.1", node.port))

    def send_head(
        self, method: str, target: str, limit_ms: int = 2500, **headers: str
    ) -> None:
        """Send the head of a request."""
        fields = {"Host": HOST, **client_headers(limit_ms=limit_ms), **headers}
        lines = [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        head = "\r\n".join([f"{method} {target} HTTP/1.1", *lines, "", ""])
        self.socket.sendall(head.encode())

    def send_body(self, pieces: Iterable[bytes], chunked: bool, gap_s: float) -> None:
        """Send the pieces of a body, each after a gap in seconds."""
        for piece in pieces:
            sleep(gap_s)
            size = HEX.format(len(piece)).encode()
            self.socket.sendall(b"%s\r\n%s\r\n" % (size, piece) if chunked else piece)
        if chunked:
            self.socket.sendall(b"0\r\n\r\n")

    def read_answer(self, method: str = "GET") -> HttpAnswer | None:
        """Return the next answer; `None` without a complete one."""
        answer = HTTPResponse(self.socket, method=method)
        try:
            answer.begin()
            return HttpAnswer(answer.status, dict(answer.getheaders()), answer.read())
        except (HTTPException, OSError):
            return None

    def read_rest(self) -> bytes:
        """Return all further bytes, until the node closes the connection."""
        rest = b""
        while data := self.socket.recv(65_536):
            rest += data
        return rest

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
