"""Messages to and from plain services."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclass(frozen=True)
class PlainCall:
    """One call of a plain service.

    Attributes:
        method: HTTP method.
        path: Path and query below the service's root, starting with `/`.
        headers: Headers to pass on.
        body: Request body.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes


@dataclass(frozen=True)
class PlainAnswer:
    """The answer of a plain service."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclass(frozen=True)
class CallLimits:
    """Limits of one attempt.

    Attributes:
        timeout_s: Longest time until the complete answer is read, in seconds.
        max_answer_bytes: Longest answer that is read, in bytes.
        new_connection: Whether the call must not use a pooled connection.
    """

    timeout_s: float
    max_answer_bytes: int
    new_connection: bool
