"""Answers to callers: JSON, server-sent events, and errors with HTTP statuses."""

from asyncio import sleep, timeout
from math import ceil

from aiohttp import web

from lagoonhinge_core.outcome import ErrorCode, Failure
from lagoonhinge_http.wire import encode
from lagoonhinge_node.answer_relay import Finished
from lagoonhinge_node.caller_messages import (
    ChatChoice,
    ChatDelta,
    ChatMessage,
    Choice,
    CompletionAnswer,
    DeltaText,
    ErrorAnswer,
    ErrorBody,
    TextChoice,
    UsageBody,
)

HTTP_STATUSES = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.PROMPT_TOO_LONG: 400,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.IN_PROGRESS: 409,
    ErrorCode.OVER_LIMIT: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.QUARANTINED: 503,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.STORE_UNAVAILABLE: 503,
    ErrorCode.DEADLINE: 504,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.OUTCOME_UNKNOWN: 502,
}
REQUEST_ID_HEADER = "X-Request-Id"
TEXT_PLACEHOLDER = "(text)"
FINAL_WRITE_TIMEOUT_S = 2.0
FLUSH_POLL_S = 0.05
JSON_TYPE = "application/json"


def error_body(failure: Failure, request_id: str) -> bytes:
    """Return the body of an error answer."""
    error = ErrorBody(failure.code, failure.outcome, failure.message, request_id)
    return encode(ErrorAnswer(error))


def error_answer(failure: Failure, request_id: str) -> web.Response:
    """Return the answer for a failure, with its HTTP status and `Retry-After`."""
    headers = {REQUEST_ID_HEADER: request_id}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, ceil(failure.retry_after_s)))
    return web.Response(
        body=error_body(failure, request_id),
        status=HTTP_STATUSES[failure.code],
        content_type=JSON_TYPE,
        headers=headers,
    )


class AnswerFormat:
    """Formats the answer of one request as a completion or a chat completion."""

    def __init__(self, request_id: str, model: str, is_chat: bool):
        self.request_id = request_id
        self.model = model
        self.is_chat = is_chat
        event = self._event(self._chunk_choice(TEXT_PLACEHOLDER, None), None)
        self.before_text, self.after_text = event.split(encode(TEXT_PLACEHOLDER))

    def body(self, text: str, finished: Finished) -> bytes:
        """Return the body of an answer that is not streamed."""
        choice: Choice = TextChoice(0, text, finished.finish)
        if self.is_chat:
            message = ChatMessage("assistant", text)
            choice = ChatChoice(0, message, finished.finish)
        object_type = "chat.completion" if self.is_chat else "text_completion"
        return encode(self._answer(object_type, choice, _usage(finished)))

    def text_event(self, text: str) -> bytes:
        """Return the event for one piece of text."""
        return self.before_text + encode(text) + self.after_text

    def final_events(self, finished: Finished) -> bytes:
        """Return the final events of a complete answer."""
        choice = self._chunk_choice("", finished.finish)
        return self._event(choice, _usage(finished)) + b"data: [DONE]\n\n"

    def _chunk_choice(self, text: str, finish: str | None) -> Choice:
        if self.is_chat:
            return ChatDelta(0, DeltaText(text), finish)
        return TextChoice(0, text, finish)

    def _event(self, choice: Choice, usage: UsageBody | None) -> bytes:
        object_type = "chat.completion.chunk" if self.is_chat else "text_completion"
        return b"data: " + encode(self._answer(object_type, choice, usage)) + b"\n\n"

    def _answer(
        self, object_type: str, choice: Choice, usage: UsageBody | None
    ) -> CompletionAnswer:
        return CompletionAnswer(
            self.request_id, object_type, self.model, (choice,), usage
        )


def _usage(finished: Finished) -> UsageBody:
    usage = finished.usage
    total = usage.prompt_tokens + usage.completion_tokens
    return UsageBody(usage.prompt_tokens, usage.completion_tokens, total)


def drop_connection(request: web.Request) -> None:
    """Abort the caller's connection without sending buffered data."""
    if request.transport is not None:
        request.transport.abort()


def _unsent_bytes(request: web.Request) -> int:
    transport = request.transport
    return 0 if transport is None else transport.get_write_buffer_size()


async def finish_response(
    request: web.Request,
    response: web.StreamResponse,
    timeout_s: float,
    body: bytes = b"",
) -> web.StreamResponse:
    """Send the rest of an answer; drop the connection if the caller does not read it.

    Args:
        request: The caller's request.
        response: Its answer, which may be partly sent.
        timeout_s: Time for the caller to read it, in seconds.
        body: Final events of a streamed answer.
    """
    try:
        async with timeout(timeout_s):
            await response.prepare(request)
            if body:
                await response.write(body)
            await response.write_eof()
            # Without this wait, a caller that stops reading could hold the connection.
            while _unsent_bytes(request):
                await sleep(FLUSH_POLL_S)
    except TimeoutError:
        drop_connection(request)
    return response


class BufferedSink:
    """Buffers an answer that is not streamed."""

    def __init__(self) -> None:
        self.texts: list[str] = []

    async def write(self, text: str) -> None:
        """Append the next text of the answer."""
        self.texts.append(text)

    def restart(self) -> bool:
        """Discard the buffered text, of which nothing was sent; return `True`."""
        self.texts.clear()
        return True


class EventSink:
    """Sends an answer as server-sent events as it arrives."""

    def __init__(self, request: web.Request, answer_format: AnswerFormat):
        self.request = request
        self.format = answer_format
        self.response: web.StreamResponse | None = None
        self.is_writing = False

    async def write(self, text: str) -> None:
        """Send the next text of the answer.

        A cancelled write leaves `is_writing` set; aiohttp cannot send anything more
        on such a connection.
        """
        response = await self.open()
        self.is_writing = True
        await response.write(self.format.text_event(text))
        self.is_writing = False

    def restart(self) -> bool:
        """Return whether nothing was sent yet."""
        return self.response is None

    async def open(self) -> web.StreamResponse:
        """Return the response; sends its headers first if needed."""
        if self.response is None:
            self.response = web.StreamResponse(
                headers={
                    "Content-Type": "text/event-stream",
                    REQUEST_ID_HEADER: self.format.request_id,
                }
            )
            await self.response.prepare(self.request)
        return self.response
