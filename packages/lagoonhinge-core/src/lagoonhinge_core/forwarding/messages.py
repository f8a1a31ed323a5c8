"""Messages of the forwarding path, free of their names on the wire."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

RawHeaders = tuple[tuple[bytes, bytes], ...]


def header_texts(headers: RawHeaders) -> list[tuple[str, str]]:
    """Return headers as the HTTP library takes them, which writes the same bytes."""
    return [
        (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        for name, value in headers
    ]


@dataclass(frozen=True)
class PromptSize:
    """Size that a caller states of its prompt.

    Attributes:
        prompt_tokens: Length of the prompt, in tokens.
        answer_tokens: Longest answer, in tokens.
    """

    prompt_tokens: int
    answer_tokens: int


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, read whole.

    Attributes:
        request_id: Identity of this client attempt; empty if it has none.
        method: HTTP method.
        target: Request target, undecoded.
        host: Value of the `Host` header.
        headers: Headers to forward: those of the caller, less those of one connection
            and those that this system sets.
        body: The body.
        key: Key of the client account; `None` if there is none.
        time_limit_s: How long the client waits, in seconds; `None` if it does not say.
        size: Size of the prompt; `None` for other requests.
        last_event: Event after which the answer goes on; `None` for a whole answer.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: RawHeaders
    body: bytes
    key: str | None
    time_limit_s: float | None
    size: PromptSize | None
    last_event: str | None


@dataclass(frozen=True)
class Helper:
    """An engine that reads a part of a prompt for another one.

    Attributes:
        address: Its host and port.
        ticket: Memory set aside there that the prompt fills; empty for none.
    """

    address: str
    ticket: str = ""


@dataclass(frozen=True)
class SendOptions:
    """What this system adds to a request for one send.

    Attributes:
        instance: The upstream meant; another one declines.
        account: Name of the client account; `None` on public routes without a key.
        time_limit_s: How long the upstream may work, in seconds.
        helpers: Engines that read parts of the prompt.
        last_event: Event after which the answer is to go on.
    """

    instance: str
    account: str | None
    time_limit_s: float
    helpers: tuple[Helper, ...] = ()
    last_event: str | None = None


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an upstream's answer.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Headers to pass on, less those of one connection.
        request_id: Identity of the request that it answers; `None` if not said.
        stamped: Whether the upstream vouches for the answer as its own.
        not_run: Whether it says that it did not run the request.
        culprit: Address of the upstream at fault; empty if not said.
        encoded: Whether the body has a content encoding, which is never asked for.
    """

    status: int
    reason: str
    headers: RawHeaders
    request_id: str | None
    stamped: bool
    not_run: bool
    culprit: str
    encoded: bool


class HeaderCodec(Protocol):
    """Translation of headers between the wire and these messages."""

    def read_request(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> CallerRequest:
        """Return a caller's request."""

    def request_headers(
        self, request: CallerRequest, options: SendOptions
    ) -> list[tuple[str, str]]:
        """Return the headers of one send."""

    def read_answer(self, status: int, reason: str, headers: RawHeaders) -> AnswerHead:
        """Return the head of an upstream's answer."""

    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer of this system's own."""


class EngineMemory(Protocol):
    """Memory of engines that is set aside before a request uses it."""

    async def reserve(
        self, address: str, ticket: str, tokens: int, hold_s: float
    ) -> Result[None, str]:
        """Set memory aside, or keep it longer; fails with a reason if not free."""

    async def release(self, address: str, ticket: str) -> Result[None, str]:
        """Free memory that was set aside; also succeeds if there is none."""
