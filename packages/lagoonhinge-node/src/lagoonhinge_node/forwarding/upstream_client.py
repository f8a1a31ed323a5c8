"""Client of upstreams, which opens a new connection for each attempt.

A reused connection may have been closed by the upstream, or may still deliver bytes of
an earlier answer. Neither can be detected in advance, and either makes the outcome of a
request unknown, also of one that must not be retried.
"""

from asyncio import get_running_loop
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from itertools import count

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ConnectionTimeoutError,
)
from multidict import CIMultiDict
from returns.result import Failure, Result, Success
from yarl import URL

from lagoonhinge_core.forwarding.answer_memory import AnswerMemory
from lagoonhinge_core.forwarding.attempts import (
    AttemptFailure,
    Declined,
    Lost,
    NotDelivered,
)
from lagoonhinge_core.forwarding.messages import (
    AnswerHead,
    AttemptOptions,
    CallerRequest,
    HeaderCodec,
    RelayOptions,
)
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_http.session import (
    ConnectionLost,
    call_timeout,
    open_session,
)

CONNECT_TIMEOUT_S = 0.15  # fifty round trips between availability zones
# A connect timeout that fires later than this after its time shows that this process
# was held up, and says nothing of the upstream.
TIMEOUT_LATENESS_S = 0.05
MAX_LATE_TIMEOUTS = 3  # of one attempt
READ_BUFFER_BYTES = 64 << 10  # of an answer whose caller reads slowly
AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
# Header between nodes: upstreams that may have run the request before.
RELAYED_RUNS = "X-Lagoonhinge-Relayed-Runs"
# Statuses that by definition mean that the request did not run.
NOT_RUN_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)


def open_upstream_session() -> ClientSession:
    """Return a session that uses each connection for one request."""
    return open_session(reuse=False)


@dataclass
class UpstreamAnswer:
    """An answer whose head has arrived.

    Attributes:
        head: Status and headers.
        response: Response that the body is read from.
        memory: Memory that all answers share.
        number: Number of the answer there.
        held_bytes: Bytes that it holds there.
    """

    head: AnswerHead
    response: ClientResponse
    memory: AnswerMemory
    number: int
    held_bytes: int = 0

    async def next_data(self) -> Result[bytes, Lost]:
        """Return the next bytes of the body; empty at its end."""
        try:
            return Success(await self.response.content.readany())
        except (ConnectionLost, ClientError, OSError) as error:
            return Failure(Lost(_describe(error)))

    async def whole_body(self) -> Result[bytes, Lost]:
        """Return the whole body."""
        body = bytearray()
        while True:
            match await self.next_data():
                case Success(b""):
                    return Success(bytes(body))
                case Success(data):
                    body += data
                    if not self.hold(len(body)):
                        return Failure(Lost(f"too large, {len(body)} bytes"))
                case Failure(lost):
                    return Failure(lost)

    def hold(self, held_bytes: int) -> bool:
        """Record how much is held, in bytes; return whether there is memory for it."""
        if held_bytes == self.held_bytes:
            return True
        self.held_bytes = held_bytes
        return self.memory.hold(self.number, held_bytes)

    def close(self) -> None:
        """Close the connection, which cancels the upstream's work."""
        self.response.close()
        self.hold(0)


class UpstreamClient:
    """Sends requests to upstreams.

    Args:
        session: Session from `open_upstream_session`.
        codec: Translation of headers.
        record_head: Called with the head of each answer of the intended upstream.
    """

    def __init__(
        self,
        session: ClientSession,
        codec: HeaderCodec,
        record_head: Callable[[Upstream, AnswerHead], None],
    ):
        self.session = session
        self.codec = codec
        self.record_head = record_head
        self.memory = AnswerMemory()
        self.numbers = count()

    async def send(
        self, upstream: Upstream, request: CallerRequest, options: AttemptOptions
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        """Send a request once and return its answer when the head has arrived.

        The answer must belong to this request and be stamped by the upstream. A status
        that means that the request did not run counts only if the upstream also states
        it in a header.
        """
        headers = self.codec.request_headers(request, options)
        match await self._request(upstream.host, upstream.port, request, headers):
            case Failure(failure):
                return Failure(failure)
            case Success(answer):
                head = answer.head
        if _is_of_intended_upstream(head, request):
            self.record_head(upstream, head)
        return _unless_failed(answer, _find_failure(head, request))

    async def relay(
        self, node: NodeEntry, request: CallerRequest, options: RelayOptions, runs: int
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        """Let another node serve a request; return its answer when the head arrived.

        Args:
            node: The node.
            request: The request.
            options: Values that replace the caller's.
            runs: Upstreams that may have run it before.
        """
        headers = self.codec.relay_headers(request, options)
        headers.append((RELAYED_RUNS, str(runs)))
        match await self._request(node.host, node.port, request, headers):
            case Failure(failure):
                return Failure(failure)
            case Success(answer):
                return _unless_failed(answer, _find_relay_failure(answer.head, request))
        raise AssertionError("not a result")

    async def _request(
        self,
        host: str,
        port: int,
        request: CallerRequest,
        headers: list[tuple[str, str]],
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        loop, late_timeouts = get_running_loop(), 0
        while True:
            due_s = loop.time() + CONNECT_TIMEOUT_S
            result = await self._request_once(host, port, request, headers)
            match result:
                case Failure(NotDelivered(is_timeout=True)) if (
                    loop.time() - due_s > TIMEOUT_LATENESS_S
                    and late_timeouts < MAX_LATE_TIMEOUTS
                ):
                    late_timeouts += 1
                case _:
                    return result

    async def _request_once(
        self,
        host: str,
        port: int,
        request: CallerRequest,
        headers: list[tuple[str, str]],
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        # Passed as a path, so that the target stays unchanged, even an empty query.
        url = URL.build(
            scheme="http", host=host, port=port, path=request.target, encoded=True
        )
        try:
            response = await self.session.request(
                request.method,
                url,
                headers=CIMultiDict(headers),
                skip_auto_headers=AUTOMATIC_HEADERS,
                data=request.body or None,
                allow_redirects=False,
                timeout=call_timeout(None, connect_s=CONNECT_TIMEOUT_S),
                read_bufsize=READ_BUFFER_BYTES,
            )
        except ConnectionTimeoutError as error:
            return Failure(NotDelivered(_describe(error), is_timeout=True))
        except ClientConnectorError as error:
            return Failure(NotDelivered(_describe(error)))
        except (ConnectionLost, ClientError, OSError) as error:
            return Failure(Lost(_describe(error)))
        head = self.codec.read_answer(
            response.status, response.reason or "", response.raw_headers
        )
        return Success(UpstreamAnswer(head, response, self.memory, next(self.numbers)))


def _unless_failed(
    answer: UpstreamAnswer, failure: AttemptFailure | None
) -> Result[UpstreamAnswer, AttemptFailure]:
    if failure is None:
        return Success(answer)
    answer.close()
    return Failure(failure)


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _is_of_intended_upstream(head: AnswerHead, request: CallerRequest) -> bool:
    is_own = head.request_id in (None, request.request_id)
    return is_own and head.status != HTTPStatus.MISDIRECTED_REQUEST


def _find_relay_failure(
    head: AnswerHead, request: CallerRequest
) -> AttemptFailure | None:
    """Return why a node's answer is not an upstream's."""
    if head.request_id not in (None, request.request_id):
        return Lost("the answer is of another request")
    if head.stamped:
        return None
    if HTTPStatus.BAD_REQUEST <= head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        # Its configuration is not this node's.
        return Declined(head.status)
    if head.status in NOT_RUN_STATUSES:
        return Declined(head.status)
    return Lost(f"the node that served it answered {head.status}")


def _find_failure(head: AnswerHead, request: CallerRequest) -> AttemptFailure | None:
    if head.request_id not in (None, request.request_id):
        return Lost("the answer is of another request")
    if head.status < HTTPStatus.OK:
        return Lost(f"status {head.status}, which is no answer")
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        return Declined(head.status, True, head.failed_address)
    if head.not_run:
        return Declined(head.status, False, head.failed_address)
    if head.encoded:
        return Lost("the answer is encoded")
    if not head.stamped:
        return Lost(f"an answer without a stamp, status {head.status}")
    if head.status in NOT_RUN_STATUSES:
        return Lost(f"status {head.status} from an upstream that may have run it")
    return None
