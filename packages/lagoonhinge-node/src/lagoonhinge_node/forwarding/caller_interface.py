"""HTTP interface for callers: reads requests, admits or refuses them, and answers."""

from asyncio import sleep, timeout
from collections.abc import Awaitable, Callable
from dataclasses import replace
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
from lagoonhinge_node.forwarding.request_context import Refusal, RequestContext
from lagoonhinge_node.forwarding.request_ending import SHORT_RETRY_AFTER_S
from lagoonhinge_node.forwarding.request_quarantine import RequestQuarantine
from lagoonhinge_node.forwarding.request_runner import RequestRunner
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.upstream_client import RELAYED_RUNS
from lagoonhinge_node.logs import PartLogger

# A node that can't confirm its configuration may be able to after this time.
STALE_RETRY_AFTER_S = 0.5
# A node that was suspended confirms its configuration with one call to the store.
CONFIRM_WAIT_S = 0.3
CONFIRM_POLL_INTERVAL_S = 0.02
# Must exceed the time for which the configuration lets callers reuse connections, a few
# seconds to minutes.
KEEPALIVE_TIMEOUT_S = 3600.0
MAX_HEADERS = 256


NO_UPSTREAM_EITHER = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE, "relayed, and no upstream can be reached"
)


STOPPING = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE,
    "the node stops before it might end",
    SHORT_RETRY_AFTER_S,
)


class HttpResponseWriter:
    """Writes the answer to one HTTP request.

    Args:
        http_request: The request as received.
        codec: Translation of headers.
        should_close: Returns whether to close the connection after the answer.
    """

    def __init__(
        self,
        http_request: web.BaseRequest,
        codec: HeaderCodec,
        should_close: Callable[[], bool],
    ):
        self.http_request = http_request
        self.codec = codec
        self.request_id = ""  # until the request has been read
        self.should_close = should_close
        self.started = False
        self.response: web.StreamResponse | None = None
        expectation = http_request.headers.get("Expect", "")
        self.awaits_continue = expectation.lower() == "100-continue"

    def continue_if_awaited(self) -> None:
        """Tell the caller to send the body, if it waits for that."""
        if self.awaits_continue and self.http_request.transport is not None:
            self.http_request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.awaits_continue = False

    async def start(self, head: AnswerHead) -> None:
        """Write the head of a stream."""
        self.started = True
        response = web.StreamResponse(
            status=head.status, reason=head.reason, headers=_headers(head.headers)
        )
        response.enable_chunked_encoding()
        self.response = response
        self._close_if_due(response)
        await response.prepare(self.http_request)

    async def write(self, data: bytes) -> None:
        """Write bytes of a stream."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """Complete a stream."""
        assert self.response is not None
        self._close_if_due(self.response)  # the node may have been told to stop since
        await self.response.write_eof()

    async def reply(self, head: AnswerHead, body: bytes) -> None:
        """Write a whole answer."""
        response = web.Response(
            status=head.status,
            reason=head.reason,
            headers=_headers(head.headers),
            body=body,
        )
        await self._send(response)

    async def refuse(self, status: int, retry_after_s: float | None) -> None:
        """Write an answer of this system itself, which refuses the request."""
        headers = CIMultiDict(
            self.codec.refusal_headers(self.request_id, retry_after_s)
        )
        await self._send(web.Response(status=status, headers=headers))

    def abort(self) -> None:
        """Abort the connection, so that the stream is visibly incomplete."""
        if self.http_request.transport is not None:
            self.http_request.transport.abort()

    async def _send(self, response: web.Response) -> None:
        self.started = True
        self.response = response
        self._close_if_due(response)
        await response.prepare(self.http_request)
        await response.write_eof()

    def _close_if_due(self, response: web.StreamResponse) -> None:
        # A caller that was not told to send the body may send another request instead.
        if self.should_close() or self.awaits_continue:
            response.force_close()


class CallerInterface:
    """Handles callers' requests.

    Args:
        serving: State shared by all requests.
        codec: Translation of headers.
        runner: Runs requests.
        metrics: The metrics.
    """

    def __init__(
        self,
        serving: ServingState,
        codec: HeaderCodec,
        runner: RequestRunner,
        metrics: ForwardingMetrics,
    ):
        self.metrics = metrics
        self.serving = serving
        self.codec = codec
        self.runner = runner
        self.quarantine = RequestQuarantine(serving, metrics)
        self.log_part = PartLogger("callers")

    def server(self) -> web.Server:
        """Return the server for the callers' listener."""
        return self._server(self.handle)

    def _server(
        self,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> web.Server:
        max_line_bytes = 64 << 10  # the handler checks the configured limit
        return web.Server(
            handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            auto_decompress=False,
            max_line_size=max_line_bytes,
            max_field_size=max_line_bytes,
            max_headers=MAX_HEADERS,
        )

    def relay_server(self) -> web.Server:
        """Return the server for requests of nodes that reach no upstream."""
        return self._server(self.handle_relayed)

    async def handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        return await self._handle(http_request, None)

    async def handle_relayed(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a node that reaches no upstream."""
        runs = http_request.headers.get(RELAYED_RUNS, "")
        if not runs.isdecimal():
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return await self._handle(http_request, int(runs))

    async def _handle(
        self, http_request: web.BaseRequest, relayed_runs: int | None
    ) -> web.StreamResponse:
        self.serving.open_requests += 1
        writer = HttpResponseWriter(
            http_request, self.codec, lambda: self.serving.stop is not None
        )
        try:
            await self._serve(http_request, writer, relayed_runs)
        except ConnectionError as error:
            self.log_part.info(
                "The caller left.", writer.request_id or "-", error=repr(error)
            )
            writer.abort()
        except Exception as error:
            self.log_part.error(
                "A request ended with an exception.",
                writer.request_id or "-",
                error=repr(error),
            )
            raise
        finally:
            self.serving.open_requests -= 1
        # After an abort there may be no response, and nothing can be sent.
        return writer.response or web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _serve(
        self,
        http_request: web.BaseRequest,
        writer: HttpResponseWriter,
        relayed_runs: int | None,
    ) -> None:
        arrived_s = self.serving.clock()
        match await self._read_request(http_request, writer):
            case Failure(refusal):
                await self._refuse(writer, refusal)
                return
            case Success(request):
                writer.request_id = request.request_id
        await self._wait_until_confirmed()
        match self._admit(request, arrived_s):
            case Failure(refusal):
                await self._refuse(writer, refusal)
            case Success(context):
                refusal = await self.quarantine.begin_trial(context)
                if refusal is not None:
                    await self._refuse(writer, refusal)
                    return
                if relayed_runs is not None:
                    if context.service in self.serving.reach.cut_off:
                        await self._refuse(writer, NO_UPSTREAM_EITHER)
                        return
                    context.is_relayed = True
                    context.runs = context.attempts = relayed_runs
                    context.request = _without_relayed_runs(request)
                await self.runner.run(context, writer)

    async def _refuse(self, writer: HttpResponseWriter, refusal: Refusal) -> None:
        self.metrics.refusals.labels(str(refusal.status)).inc()
        self.log_part.info(
            "Refused.",
            writer.request_id or "-",
            status=refusal.status,
            reason=refusal.reason,
            config_age_s=self.serving.freshness.age_s(self.serving.clock()),
        )
        await writer.refuse(refusal.status, refusal.retry_after_s)

    async def _read_request(
        self, http_request: web.BaseRequest, writer: HttpResponseWriter
    ) -> Result[CallerRequest, Refusal]:
        config = self.serving.board.read(SiteConfigSection).config
        if config is None:
            return _refuse_stale("no configuration")
        limits = config.limits
        header_bytes = sum(len(n) + len(v) + 4 for n, v in http_request.raw_headers)
        if header_bytes > limits.header_bytes:
            reason = f"{header_bytes} bytes of headers"
            return Failure(Refusal(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, reason))
        writer.continue_if_awaited()
        body = bytearray()
        async for data in http_request.content.iter_any():
            body += data
            if len(body) > limits.body_bytes:
                reason = f"over {limits.body_bytes} bytes of body"
                return Failure(Refusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason))
        request = self.codec.read_request(
            http_request.method,
            http_request.raw_path,
            http_request.raw_headers,
            bytes(body),
        )
        return Success(request)

    def _admit(
        self, request: CallerRequest, arrived_s: float
    ) -> Result[RequestContext, Refusal]:
        staleness = self._staleness()
        if staleness in (Staleness.UNKNOWN, Staleness.STALE):
            return _refuse_stale("the configuration is stale")
        config = self.serving.board.read(SiteConfigSection).config
        assert config is not None
        match _find_route(config, request):
            case Failure(refusal) if staleness is Staleness.DOUBTFUL:
                return _refuse_stale(f"{refusal.reason}, or too new")
            case Failure(refusal):
                return Failure(refusal)
            case Success((route, account)):
                context = self._build_context(request, route, account, arrived_s)
                stop = self.serving.stop
                if stop is not None and not stop.may_take(
                    arrived_s, context.deadline_s
                ):
                    return Failure(STOPPING)
                return self.quarantine.admit(context)
        raise AssertionError("not a result")

    def _build_context(
        self,
        request: CallerRequest,
        route: Route,
        account: str | None,
        arrived_s: float,
    ) -> RequestContext:
        limit_s = route.timeout_s
        if request.time_limit_s is not None:
            limit_s = min(limit_s, request.time_limit_s)
        service = route.pick_service(self.serving.random.random())
        return RequestContext(
            request, route, service, account, arrived_s + limit_s, arrived_s
        )

    async def _wait_until_confirmed(self) -> None:
        """Wait a short time while the configuration is stale, as after a suspension."""
        if self._staleness() is not Staleness.STALE:
            return
        try:
            async with timeout(CONFIRM_WAIT_S):
                while self._staleness() is Staleness.STALE:
                    await sleep(CONFIRM_POLL_INTERVAL_S)
        except TimeoutError:
            return

    def _staleness(self) -> Staleness:
        return self.serving.freshness.staleness(self.serving.clock())


def _find_route(
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


def _without_relayed_runs(request: CallerRequest) -> CallerRequest:
    """Return a relayed request as its caller sent it."""
    name = RELAYED_RUNS.lower().encode()
    headers = tuple(pair for pair in request.headers if pair[0].lower() != name)
    return replace(request, headers=headers)


def _refuse_stale(reason: str) -> Failure[Refusal]:
    return Failure(Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, STALE_RETRY_AFTER_S))


def _headers(headers: RawHeaders) -> CIMultiDict[str]:
    return CIMultiDict(decode_headers(headers))
