"""Answers to callers: JSON, server-sent events, and errors with their statuses."""

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

STATUSES = {
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
REQUEST_ID = "X-Request-Id"
TEXT_MARK = "(text)"
LAST_WRITE_TIMEOUT_S = 2.0
FLUSH_POLL_S = 0.05
JSON_TYPE = "application/json"


def error_body(failure: Failure, request_id: str) -> bytes:
    """Return the body of an error answer."""
    error = ErrorBody(failure.code, failure.outcome, failure.message, request_id)
    return encode(ErrorAnswer(error))


def error_answer(failure: Failure, request_id: str) -> web.Response:
    """Return a failure as an answer with its status and when to come back."""
    headers = {REQUEST_ID: request_id}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, ceil(failure.retry_after_s)))
    return web.Response(
        body=error_body(failure, request_id),
        status=STATUSES[failure.code],
        content_type=JSON_TYPE,
        headers=headers,
    )


class AnswerFormat:
    """Shapes the answer of one request as a completion or a chat completion."""

    def __init__(self, request_id: str, model: str, is_chat: bool):
        self.request_id = request_id
        self.model = model
        self.is_chat = is_chat
        event = self._event(self._part_choice(TEXT_MARK, None), None)
        self.before_text, self.after_text = event.split(encode(TEXT_MARK))

    def whole(self, text: str, finished: Finished) -> bytes:
        """Return the body of a whole answer."""
        choice: Choice = TextChoice(0, text, finished.finish)
        if self.is_chat:
            message = ChatMessage("assistant", text)
            choice = ChatChoice(0, message, finished.finish)
        kind = "chat.completion" if self.is_chat else "text_completion"
        return encode(self._answer(kind, choice, _usage(finished)))

    def part(self, text: str) -> bytes:
        """Return the event for one part."""
        return self.before_text + encode(text) + self.after_text

    def end(self, finished: Finished) -> bytes:
        """Return the last events of a whole answer."""
        choice = self._part_choice("", finished.finish)
        return self._event(choice, _usage(finished)) + b"data: [DONE]\n\n"

    def _part_choice(self, text: str, finish: str | None) -> Choice:
        if self.is_chat:
            return ChatDelta(0, DeltaText(text), finish)
        return TextChoice(0, text, finish)

    def _event(self, choice: Choice, usage: UsageBody | None) -> bytes:
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        return b"data: " + encode(self._answer(kind, choice, usage)) + b"\n\n"

    def _answer(
        self, kind: str, choice: Choice, usage: UsageBody | None
    ) -> CompletionAnswer:
        return CompletionAnswer(self.request_id, kind, self.model, (choice,), usage)


def _usage(finished: Finished) -> UsageBody:
    usage = finished.usage
    total = usage.prompt_tokens + usage.completion_tokens
    return UsageBody(usage.prompt_tokens, usage.completion_tokens, total)


def drop_connection(request: web.Request) -> None:
    """End the caller's connection without sending what is left."""
    if request.transport is not None:
        request.transport.abort()


def _unsent_bytes(request: web.Request) -> int:
    transport = request.transport
    return 0 if transport is None else transport.get_write_buffer_size()


async def send_last(
    request: web.Request,
    response: web.StreamResponse,
    timeout_s: float,
    body: bytes = b"",
) -> web.StreamResponse:
    """Send the rest of an answer, or drop the connection of a silent caller.

    Args:
        request: The caller's request.
        response: Its answer, perhaps partly sent.
        timeout_s: Time for the caller to take it, in seconds.
        body: Last part of a streamed answer.
    """
    try:
        async with timeout(timeout_s):
            await response.prepare(request)
            if body:
                await response.write(body)
            await response.write_eof()
            # A silent caller must not keep the connection for as long as it likes.
            while _unsent_bytes(request):
                await sleep(FLUSH_POLL_S)
    except TimeoutError:
        drop_connection(request)
    return response


class WholeSink:
    """Collects an answer that is sent in one piece."""

    def __init__(self) -> None:
        self.parts: list[str] = []

    async def write(self, text: str) -> None:
        """Take the next part of the answer."""
        self.parts.append(text)

    def restart(self) -> bool:
        """Forget what was taken; nothing of it was sent yet."""
        self.parts.clear()
        return True


class EventSink:
    """Sends an answer as server-sent events, from its first part on."""

    def __init__(self, request: web.Request, answer_format: AnswerFormat):
        self.request = request
        self.format = answer_format
        self.response: web.StreamResponse | None = None
        self.is_writing = False

    async def write(self, text: str) -> None:
        """Send the next part of the answer.

        A write that was cancelled leaves `is_writing` set; the library can send
        nothing more on such a connection.
        """
        response = await self.open()
        self.is_writing = True
        await response.write(self.format.part(text))
        self.is_writing = False

    def restart(self) -> bool:
        """Return whether nothing was sent yet."""
        return self.response is None

    async def open(self) -> web.StreamResponse:
        """Return the answer, with its head sent."""
        if self.response is None:
            self.response = web.StreamResponse(
                headers={
                    "Content-Type": "text/event-stream",
                    REQUEST_ID: self.format.request_id,
                }
            )
            await self.response.prepare(self.request)
        return self.response
