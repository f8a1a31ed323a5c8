"""Messages of the forwarding path, independent of the names on the wire."""

from dataclasses import dataclass
from typing import Protocol, TypeAlias

from returns.result import Result

RawHeaders = tuple[tuple[bytes, bytes], ...]


def decode_headers(headers: RawHeaders) -> list[tuple[str, str]]:
    """Return headers as text that the HTTP library encodes to the same bytes."""
    return [
        (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        for name, value in headers
    ]


@dataclass(frozen=True)
class PromptSize:
    """Size of a prompt, as stated by the caller.

    Attributes:
        prompt_tokens: Length of the prompt, in tokens.
        max_answer_tokens: Longest answer, in tokens.
    """

    prompt_tokens: int
    max_answer_tokens: int


@dataclass(frozen=True)
class CallerRequest:
    """A caller's complete request.

    Attributes:
        request_id: Id of this client attempt; empty if there is none.
        method: HTTP method.
        target: Request target, undecoded.
        host: Value of the `Host` header.
        headers: Headers to forward: the caller's, without hop-by-hop headers and those
            that this system sets.
        body: The body.
        key: Key of the client account; `None` if there is none.
        time_limit_s: How long the client waits, in seconds; `None` if not stated.
        size: Size of the prompt; `None` for other requests.
        last_event_id: Id of the event after which the answer resumes; `None` for a
            complete answer.
        shared_parts: Ids of the parts of the prompt that other prompts may share.
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
    last_event_id: str | None
    shared_parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class Helper:
    """An engine that prefills a part of a prompt for another one.

    Attributes:
        address: Host and port.
        reservation_id: Id of the memory reservation there that the prompt uses; empty
            for none.
    """

    address: str
    reservation_id: str = ""


@dataclass(frozen=True)
class AttemptOptions:
    """Values that this system adds to a request for one attempt.

    Attributes:
        instance: The intended upstream; another one declines the request.
        account: Name of the client account; `None` on public routes without a key.
        time_limit_s: How long the upstream may work, in seconds.
        helpers: Engines that prefill parts of the prompt.
        last_event_id: Id of the event after which the answer resumes; `None` for a
            complete answer.
    """

    instance: str
    account: str | None
    time_limit_s: float
    helpers: tuple[Helper, ...] = ()
    last_event_id: str | None = None


@dataclass(frozen=True)
class RelayOptions:
    """Values of a request that another node serves.

    Attributes:
        time_limit_s: Time until the request's deadline, in seconds.
        last_event_id: Id of the event after which the answer resumes; `None` for a
            complete answer.
    """

    time_limit_s: float
    last_event_id: str | None = None


@dataclass(frozen=True)
class NoLimit:
    """An answer of an upstream that does not limit its requests."""


@dataclass(frozen=True)
class RequestLimit:
    """An answer of an upstream that limits its requests.

    Attributes:
        per_s: Requests a second that it takes from all nodes together.
    """

    per_s: float


@dataclass(frozen=True)
class UnreadableLimit:
    """An answer whose limit can't be read; an earlier one stays in force.

    Attributes:
        text: What it says.
    """

    text: str


LimitNotice: TypeAlias = NoLimit | RequestLimit | UnreadableLimit


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an upstream's answer.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Headers to pass on, without hop-by-hop headers.
        request_id: Id of the request that it answers; `None` if not stated.
        stamped: Whether the upstream marked the answer as its own.
        not_run: Whether the upstream states that it did not run the request.
        failed_address: Address of the upstream at fault; empty if not stated.
        encoded: Whether the body has a content encoding, which is never requested.
        limit: The limit that the upstream names for its requests.
        leaving: Whether the upstream says that it leaves.
        retry_after_s: Time for which the upstream wants no further request, in seconds;
            `None` if it states none that can be read.
    """

    status: int
    reason: str
    headers: RawHeaders
    request_id: str | None
    stamped: bool
    not_run: bool
    failed_address: str
    encoded: bool
    limit: LimitNotice = NoLimit()
    leaving: bool = False
    retry_after_s: float | None = None


class HeaderCodec(Protocol):
    """Translation of headers between the wire and these messages."""

    def read_request(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> CallerRequest:
        """Return a caller's request."""

    def request_headers(
        self, request: CallerRequest, options: AttemptOptions
    ) -> list[tuple[str, str]]:
        """Return the headers of one attempt."""

    def relay_headers(
        self, request: CallerRequest, options: RelayOptions
    ) -> list[tuple[str, str]]:
        """Return the headers with which another node gets a caller's request."""

    def read_answer(self, status: int, reason: str, headers: RawHeaders) -> AnswerHead:
        """Return the head of an upstream's answer."""

    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer that this system itself gives."""


class EngineMemory(Protocol):
    """Reservation of memory on engines before a request uses it."""

    async def reserve(
        self, address: str, reservation_id: str, tokens: int, lease_s: float
    ) -> Result[None, str]:
        """Reserve memory, or renew the lease; fails with a reason if not free."""

    async def release(self, address: str, reservation_id: str) -> Result[None, str]:
        """Release a reservation; also succeeds if it does not exist."""
