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
