"""The callers' interface: completions, chat completions and plain services."""

from aiohttp import web
from returns.result import Failure, Result, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_node.answer_relay import AnswerSink, Finished
from lagoonhinge_node.caller_answers import (
    JSON_TYPE,
    LAST_WRITE_TIMEOUT_S,
    REQUEST_ID,
    AnswerFormat,
    EventSink,
    WholeSink,
    drop_connection,
    error_answer,
    error_body,
    send_last,
)
from lagoonhinge_node.caller_messages import ChatBody, CompletionBody
from lagoonhinge_node.caller_requests import (
    ReadCompletion,
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
MIN_NOMINAL_S = 0.01
HOP_HEADERS = frozenset(
    ("connection", "content-length", "date", "server", "transfer-encoding")
)


class CallerApi:
    """Handlers of the callers' listener."""

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
            max_body_bytes: Longest body that is read at all, in bytes.
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
        if not self._ready():
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
                    if header.name.lower() not in HOP_HEADERS
                ]
                response = web.Response(
                    body=answer.body, status=answer.status, headers=headers
                )
                response.headers[REQUEST_ID] = request_id
                self.metrics.answers.labels("plain").inc()
                return response
        raise AssertionError("not a result")

    async def _complete(
        self, request: web.Request, kind: type[CompletionBody] | type[ChatBody]
    ) -> web.StreamResponse:
        if not self._ready():
            return self._fail(_not_ready(), request_id_of(request))
        match await self.reader.read_completion(request, kind):
            case Failure(failure):
                return self._fail(failure, request_id_of(request))
            case Success(ReadCompletion(checked, is_streamed)):
                answer_format = AnswerFormat(
                    checked.request_id, checked.model, kind is ChatBody
                )
                if is_streamed:
                    return await self._stream(request, checked, answer_format)
                return await self._answer_whole(request, checked, answer_format)
        raise AssertionError("not a result")

    async def _answer_whole(
        self, request: web.Request, checked: ModelRequest, answer_format: AnswerFormat
    ) -> web.StreamResponse:
        sink = WholeSink()
        match await self._run(checked, sink):
            case Failure(failure):
                return self._fail(failure, checked.request_id)
            case Success(finished):
                answer = web.Response(
                    body=answer_format.whole("".join(sink.parts), finished),
                    content_type=JSON_TYPE,
                    headers={REQUEST_ID: checked.request_id},
                )
                return await send_last(request, answer, self._write_s(checked))
        raise AssertionError("not a result")

    async def _stream(
        self, request: web.Request, checked: ModelRequest, answer_format: AnswerFormat
    ) -> web.StreamResponse:
        sink = EventSink(request, answer_format)
        match await self._run(checked, sink):
            case Failure(failure) if sink.response is None:
                return self._fail(failure, checked.request_id)
            case Failure(failure):
                # The head is gone, so the failure is the last event; no end mark.
                self._note(failure, checked.request_id)
                body = error_body(failure, checked.request_id)
                event = b"data: " + body + b"\n\n"
                response = await sink.open()
                if sink.is_writing:
                    drop_connection(request)
                    return response
                return await send_last(request, response, LAST_WRITE_TIMEOUT_S, event)
            case Success(finished):
                end = answer_format.end(finished)
                response = await sink.open()
                return await send_last(request, response, self._write_s(checked), end)
        raise AssertionError("not a result")

    async def _run(
        self, checked: ModelRequest, sink: AnswerSink
    ) -> Result[Finished, RequestFailure]:
        """Serve a request and count what came of it."""
        clock = self.models.clock
        arrived_s = clock.monotonic_s()

        def note_first_part() -> None:
            waited_s = clock.monotonic_s() - arrived_s
            self.metrics.observe_first_token(checked, waited_s, self._nominal(checked))

        result = await self.models.run(checked, ObservedSink(sink, note_first_part))
        if isinstance(result, Success):
            self.metrics.observe_answer(result.unwrap().usage)
        return result

    def _nominal(self, checked: ModelRequest) -> float:
        """Return the time that an idle upstream needs for the prompt, in seconds."""
        rate = find_capacity(self.board, checked.service).prefill_tokens_per_s
        return max(MIN_NOMINAL_S, checked.estimate.prompt_tokens / rate)

    def _write_s(self, checked: ModelRequest) -> float:
        remaining_s = checked.deadline_s - self.models.clock.monotonic_s()
        return max(LAST_WRITE_TIMEOUT_S, remaining_s)

    def _ready(self) -> bool:
        return self.board.read(ConfigSection).version > 0

    def _fail(self, failure: RequestFailure, request_id: str) -> web.Response:
        self._note(failure, request_id)
        return error_answer(failure, request_id)

    def _note(self, failure: RequestFailure, request_id: str) -> None:
        self.metrics.observe_failure(failure)
        self.log.info(f"Failed with {failure.code}: {failure.message}.", request_id)


def _not_ready() -> RequestFailure:
    return RequestFailure(
        ErrorCode.NOT_READY,
        Outcome.NOT_RUN,
        "no configuration is known yet",
        NOT_READY_RETRY_AFTER_S,
    )
