"""The callers' interface: reads a request, decides whether it may run, and answers."""

from asyncio import sleep, timeout
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.freshness import Staleness
from lagoonhinge_core.forwarding.messages import (
    AnswerHead,
    CallerRequest,
    HeaderCodec,
    RawHeaders,
    decode_headers,
)
from lagoonhinge_core.forwarding.routes import Route
from lagoonhinge_core.forwarding.site_config import SiteConfig
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_node.forwarding.request_job import Job
from lagoonhinge_node.forwarding.request_run import RequestRunner
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger

# Until a node that can't confirm its configuration may be able to again.
STALE_RETRY_AFTER_S = 0.5
# A node that was paused confirms its configuration within one call to the store.
CONFIRM_WAIT_S = 0.3
CONFIRM_CHECK_S = 0.02
# Callers reuse connections for as long as the configuration lets them, which this must
# outlast; the operator's limit is a few seconds to minutes.
IDLE_LIMIT_S = 3600.0
MAX_HEADERS = 256


@dataclass(frozen=True)
class Refusal:
    """A request that is answered by this system itself, before any send.

    Attributes:
        status: HTTP status.
        reason: Why, for the log.
        retry_after_s: When to come back, in seconds; `None` if that is of no use.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class HttpSink:
    """The caller's end of one request.

    Args:
        http: The request as received.
        codec: Translation of headers.
        closes: Whether the connection ends with the answer.
    """

    def __init__(
        self,
        http: web.BaseRequest,
        codec: HeaderCodec,
        closes: Callable[[], bool],
    ):
        self.http = http
        self.codec = codec
        self.request_id = ""  # until the request has been read
        self.closes = closes
        self.begun = False
        self.response: web.StreamResponse | None = None

    async def begin(self, head: AnswerHead) -> None:
        """Pass on the head of a stream."""
        self.begun = True
        response = web.StreamResponse(
            status=head.status, reason=head.reason, headers=_headers(head.headers)
        )
        response.enable_chunked_encoding()
        self.response = response
        self._close_if_leaving(response)
        await response.prepare(self.http)

    async def write(self, data: bytes) -> None:
        """Pass on bytes of a stream."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """End a stream as complete."""
        assert self.response is not None
        await self.response.write_eof()

    async def reply(self, head: AnswerHead, body: bytes) -> None:
        """Pass on a whole answer."""
        response = web.Response(
            status=head.status,
            reason=head.reason,
            headers=_headers(head.headers),
            body=body,
        )
        await self._send(response)

    async def refuse(self, status: int, retry_after_s: float | None) -> None:
        """Answer for this system itself."""
        headers = CIMultiDict(
            self.codec.refusal_headers(self.request_id, retry_after_s)
        )
        await self._send(web.Response(status=status, headers=headers))

    def break_off(self) -> None:
        """Cut a stream so that it can't look complete."""
        if self.http.transport is not None:
            self.http.transport.abort()

    async def _send(self, response: web.Response) -> None:
        self.begun = True
        self.response = response
        self._close_if_leaving(response)
        await response.prepare(self.http)
        await response.write_eof()

    def _close_if_leaving(self, response: web.StreamResponse) -> None:
        if self.closes():
            response.force_close()


class CallerInterface:
    """Handles callers' requests.

    Args:
        state: What all requests share.
        codec: Translation of headers.
        runner: Runs requests.
        metrics: The metrics.
    """

    def __init__(
        self,
        state: ServingState,
        codec: HeaderCodec,
        runner: RequestRunner,
        metrics: ForwardingMetrics,
    ):
        self.metrics = metrics
        self.state = state
        self.codec = codec
        self.runner = runner
        self.log_part = PartLogger("callers")

    def server(self) -> web.Server:
        """Return the server for the callers' listener."""
        limit = 64 << 10  # of a line; the configured limit is checked by the handler
        return web.Server(
            self.handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_LIMIT_S,
            max_line_size=limit,
            max_field_size=limit,
            max_headers=MAX_HEADERS,
        )

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        self.state.open_requests += 1
        sink = HttpSink(http, self.codec, lambda: self.state.is_stopping)
        try:
            await self._serve(http, sink)
        except ConnectionError as error:
            self.log_part.info(
                "The caller left.", sink.request_id or "-", error=repr(error)
            )
            sink.break_off()
        finally:
            self.state.open_requests -= 1
        # A stream that was cut has no response any more, and nothing can be sent.
        return sink.response or web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _serve(self, http: web.BaseRequest, sink: HttpSink) -> None:
        arrived_s = self.state.clock()
        match await self._read(http):
            case Failure(refusal):
                await self._refuse(sink, refusal)
                return
            case Success(request):
                sink.request_id = request.request_id
        await self._confirm()
        match self._admit(request, arrived_s):
            case Failure(refusal):
                await self._refuse(sink, refusal)
            case Success(job):
                await self.runner.run(job, sink)

    async def _refuse(self, sink: HttpSink, refusal: Refusal) -> None:
        self.metrics.refusals.labels(str(refusal.status)).inc()
        self.log_part.info(
            "Refused.",
            sink.request_id or "-",
            status=refusal.status,
            reason=refusal.reason,
            config_age_s=self.state.freshness.age_s(self.state.clock()),
        )
        await sink.refuse(refusal.status, refusal.retry_after_s)

    async def _read(self, http: web.BaseRequest) -> Result[CallerRequest, Refusal]:
        config = self.state.board.read(SiteConfigSection).config
        if config is None:
            return _stale("no configuration")
        limits = config.limits
        header_bytes = sum(len(n) + len(v) + 4 for n, v in http.raw_headers)
        if header_bytes > limits.header_bytes:
            reason = f"{header_bytes} bytes of headers"
            return Failure(Refusal(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, reason))
        if http.headers.get("Expect", "").lower() == "100-continue":
            assert http.transport is not None
            http.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = bytearray()
        async for data in http.content.iter_any():
            body += data
            if len(body) > limits.body_bytes:
                reason = f"over {limits.body_bytes} bytes of body"
                return Failure(Refusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason))
        request = self.codec.read_request(
            http.method, http.raw_path, http.raw_headers, bytes(body)
        )
        return Success(request)

    def _admit(self, request: CallerRequest, arrived_s: float) -> Result[Job, Refusal]:
        standing = self._standing()
        if standing in (Staleness.UNKNOWN, Staleness.STALE):
            return _stale("the configuration is stale")
        config = self.state.board.read(SiteConfigSection).config
        assert config is not None
        match _find(config, request):
            case Failure(refusal) if standing is Staleness.DOUBTFUL:
                return _stale(f"{refusal.reason}, or too new")
            case Failure(refusal):
                return Failure(refusal)
            case Success((route, account)):
                job = self._job(request, route, account, arrived_s)
                return self._refuse_if_harmful(job)
        raise AssertionError("not a result")

    def _job(
        self,
        request: CallerRequest,
        route: Route,
        account: str | None,
        arrived_s: float,
    ) -> Job:
        limit_s = route.timeout_s
        if request.time_limit_s is not None:
            limit_s = min(limit_s, request.time_limit_s)
        service = route.pick_service(self.state.random.random())
        return Job(request, route, service, account, arrived_s + limit_s, arrived_s)

    def _refuse_if_harmful(self, job: Job) -> Result[Job, Refusal]:
        crashes = self.state.crashes
        if crashes.is_empty():
            return Success(job)
        refused_s = crashes.quarantine_left_s(job.digest, self.state.clock())
        if not refused_s:
            return Success(job)
        reason = "requests like it crash upstreams"
        return Failure(Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, refused_s))

    async def _confirm(self) -> None:
        """Wait a little while the configuration is stale, as after a pause."""
        if self._standing() is not Staleness.STALE:
            return
        try:
            async with timeout(CONFIRM_WAIT_S):
                while self._standing() is Staleness.STALE:
                    await sleep(CONFIRM_CHECK_S)
        except TimeoutError:
            return

    def _standing(self) -> Staleness:
        return self.state.freshness.staleness(self.state.clock())


def _find(
    config: SiteConfig, request: CallerRequest
) -> Result[tuple[Route, str | None], Refusal]:
    """Return a request's route and the name of its client account, if it has one."""
    route = config.routes.find(request.host, request.target)
    if route is None:
        return Failure(Refusal(HTTPStatus.NOT_FOUND, "no such route"))
    if not request.request_id:
        return Failure(Refusal(HTTPStatus.BAD_REQUEST, "no identity of the attempt"))
    account = config.accounts.get(request.key) if request.key is not None else None
    if account is not None:
        return Success((route, account.name))
    if config.needs_key and not route.public:
        return Failure(Refusal(HTTPStatus.UNAUTHORIZED, "no known key"))
    return Success((route, None))


def _stale(reason: str) -> Failure[Refusal]:
    return Failure(Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, STALE_RETRY_AFTER_S))


def _headers(headers: RawHeaders) -> CIMultiDict[str]:
    return CIMultiDict(decode_headers(headers))
