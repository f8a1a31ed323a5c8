"""API for callers: completions, chat completions and plain services."""

from aiohttp import web
from returns.result import Failure, Result, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_node.answer_relay import AnswerSink, Finished
from lagoonhinge_node.caller_answers import (
    FINAL_WRITE_TIMEOUT_S,
    JSON_TYPE,
    REQUEST_ID_HEADER,
    AnswerFormat,
    BufferedSink,
    EventSink,
    drop_connection,
    error_answer,
    error_body,
    finish_response,
)
from lagoonhinge_node.caller_messages import ChatBody, CompletionBody
from lagoonhinge_node.caller_requests import (
    ParsedCompletion,
    RequestReader,
    request_id_of,
)
from lagoonhinge_node.candidates import find_capacity
from lagoonhinge_node.keyed_completions import ModelServer
from lagoonhinge_node.logs import PartLogger
from lagoonhinge_node.metrics import Metrics
from lagoonhinge_node.observed_sink import ObservedSink
from lagoonhinge_node.plain_path import PlainPath

NOT_READY_RETRY_AFTER_S = 2.0
MIN_NOMINAL_PREFILL_S = 0.01
HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "content-length", "date", "server", "transfer-encoding")
)


class CallerApi:
    """Request handlers of the callers' listener."""

    def __init__(
        self,
        board: Blackboard,
        reader: RequestReader,
        models: ModelServer,
        plain: PlainPath,
        metrics: Metrics,
    ):
        self.board = board
        self.reader = reader
        self.models = models
        self.plain = plain
        self.metrics = metrics
        self.log = PartLogger("caller")

    def app(self, max_body_bytes: int) -> web.Application:
        """Return the application.

        Args:
            max_body_bytes: Maximum size of a request body, in bytes.
        """
        app = web.Application(client_max_size=max_body_bytes)
        app.add_routes(
            [
                web.post("/v1/completions", self.complete),
                web.post("/v1/chat/completions", self.complete_chat),
                web.route("*", "/services/{service}/{path:.*}", self.call_service),
            ]
        )
        return app

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer `POST /v1/completions`."""
        return await self._complete(request, CompletionBody)

    async def complete_chat(self, request: web.Request) -> web.StreamResponse:
        """Answer `POST /v1/chat/completions`."""
        return await self._complete(request, ChatBody)

    async def call_service(self, request: web.Request) -> web.StreamResponse:
        """Answer a call to a plain service."""
        request_id = request_id_of(request)
        if not self._is_ready():
            return self._fail(_not_ready(), request_id)
        match await self.reader.read_plain(request):
            case Failure(failure):
                return self._fail(failure, request_id)
            case Success(call):
                result = await self.plain.run(call)
        match result:
            case Failure(failure):
                return self._fail(failure, request_id)
            case Success(answer):
                headers = [
                    (header.name, header.value)
                    for header in answer.headers
                    if header.name.lower() not in HOP_BY_HOP_HEADERS
                ]
                response = web.Response(
                    body=answer.body, status=answer.status, headers=headers
                )
                response.headers[REQUEST_ID_HEADER] = request_id
                self.metrics.answers.labels("plain").inc()
                return response
        raise AssertionError("not a result")

    async def _complete(
        self, request: web.Request, body_type: type[CompletionBody] | type[ChatBody]
    ) -> web.StreamResponse:
        if not self._is_ready():
            return self._fail(_not_ready(), request_id_of(request))
        match await self.reader.read_completion(request, body_type):
            case Failure(failure):
                return self._fail(failure, request_id_of(request))
            case Success(ParsedCompletion(model_request, is_streamed)):
                answer_format = AnswerFormat(
                    model_request.request_id, model_request.model, body_type is ChatBody
                )
                if is_streamed:
                    return await self._stream(request, model_request, answer_format)
                return await self._answer_buffered(
                    request, model_request, answer_format
                )
        raise AssertionError("not a result")

    async def _answer_buffered(
        self,
        request: web.Request,
        model_request: ModelRequest,
        answer_format: AnswerFormat,
    ) -> web.StreamResponse:
        sink = BufferedSink()
        match await self._run(model_request, sink):
            case Failure(failure):
                return self._fail(failure, model_request.request_id)
            case Success(finished):
                answer = web.Response(
                    body=answer_format.body("".join(sink.texts), finished),
                    content_type=JSON_TYPE,
                    headers={REQUEST_ID_HEADER: model_request.request_id},
                )
                return await finish_response(
                    request, answer, self._write_timeout_s(model_request)
                )
        raise AssertionError("not a result")

    async def _stream(
        self,
        request: web.Request,
        model_request: ModelRequest,
        answer_format: AnswerFormat,
    ) -> web.StreamResponse:
        sink = EventSink(request, answer_format)
        match await self._run(model_request, sink):
            case Failure(failure) if sink.response is None:
                return self._fail(failure, model_request.request_id)
            case Failure(failure):
                # The headers are sent, so the failure is the last event; no [DONE].
                self._record_failure(failure, model_request.request_id)
                body = error_body(failure, model_request.request_id)
                event = b"data: " + body + b"\n\n"
                response = await sink.open()
                if sink.is_writing:
                    drop_connection(request)
                    return response
                return await finish_response(
                    request, response, FINAL_WRITE_TIMEOUT_S, event
                )
            case Success(finished):
                final_events = answer_format.final_events(finished)
                response = await sink.open()
                return await finish_response(
                    request,
                    response,
                    self._write_timeout_s(model_request),
                    final_events,
                )
        raise AssertionError("not a result")

    async def _run(
        self, model_request: ModelRequest, sink: AnswerSink
    ) -> Result[Finished, RequestFailure]:
        """Serve a request and update the metrics of answers."""
        clock = self.models.clock
        arrived_s = clock.monotonic_s()

        def record_first_text() -> None:
            waited_s = clock.monotonic_s() - arrived_s
            self.metrics.observe_first_token(
                model_request, waited_s, self._nominal_prefill_s(model_request)
            )

        result = await self.models.run(
            model_request, ObservedSink(sink, record_first_text)
        )
        if isinstance(result, Success):
            self.metrics.observe_answer(result.unwrap().usage)
        return result

    def _nominal_prefill_s(self, model_request: ModelRequest) -> float:
        """Return the prefill time of the prompt on an idle upstream, in seconds."""
        rate = find_capacity(self.board, model_request.service).prefill_tokens_per_s
        return max(MIN_NOMINAL_PREFILL_S, model_request.estimate.prompt_tokens / rate)

    def _write_timeout_s(self, model_request: ModelRequest) -> float:
        remaining_s = model_request.deadline_s - self.models.clock.monotonic_s()
        return max(FINAL_WRITE_TIMEOUT_S, remaining_s)

    def _is_ready(self) -> bool:
        return self.board.read(ConfigSection).version > 0

    def _fail(self, failure: RequestFailure, request_id: str) -> web.Response:
        self._record_failure(failure, request_id)
        return error_answer(failure, request_id)

    def _record_failure(self, failure: RequestFailure, request_id: str) -> None:
        self.metrics.observe_failure(failure)
        self.log.info(f"Failed with {failure.code}: {failure.message}.", request_id)


def _not_ready() -> RequestFailure:
    return RequestFailure(
        ErrorCode.NOT_READY,
        Outcome.NOT_RUN,
        "no configuration is known yet",
        NOT_READY_RETRY_AFTER_S,
    )
