"""Model requests with an idempotency key: run at most once, then replayed."""

from dataclasses import dataclass
from typing import Protocol

from msgspec.structs import replace
from returns.result import Failure, Result, Success

from lagoonhinge_core.claims import ClaimKey, digest_call
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.plain_messages import PlainAnswer, PlainCall
from lagoonhinge_core.ports import Clock
from lagoonhinge_core.request import ModelRequest
from lagoonhinge_http.wire import decode, encode
from lagoonhinge_node.answer_relay import AnswerSink, Finished
from lagoonhinge_node.caller_answers import BufferedSink
from lagoonhinge_node.caller_messages import ChatBody, CompletionBody
from lagoonhinge_node.claimed_calls import Answer, ClaimedCalls

STORED_STATUS = 200


@dataclass(frozen=True)
class StoredCompletion:
    """A complete answer of a model, stored for later requests with the same key."""

    text: str
    finished: Finished


class ModelServer(Protocol):
    """Serves model requests."""

    clock: Clock

    async def run(
        self, request: ModelRequest, sink: AnswerSink
    ) -> Result[Finished, RequestFailure]:
        """Serve one request."""


class KeyedCompletions:
    """Runs model requests with an idempotency key under a claim.

    Their text is written to the sink only when it is complete, since a partly streamed
    answer that is then lost could not be replayed.
    """

    def __init__(self, models: ModelServer, claimed_calls: ClaimedCalls):
        self.models = models
        self.claimed_calls = claimed_calls
        self.clock = models.clock

    async def run(
        self, request: ModelRequest, sink: AnswerSink
    ) -> Result[Finished, RequestFailure]:
        """Serve one request, under a claim if it has a key."""
        if request.idempotency_key is None:
            return await self.models.run(request, sink)
        key = ClaimKey(request.account, request.service, request.idempotency_key)
        answer = await self.claimed_calls.run(
            key, request.call_digest, request.deadline_s, lambda: self._run(request)
        )
        match answer:
            case Failure(failure):
                return Failure(failure)
            case Success(PlainAnswer(body=body)):
                stored = decode(body, StoredCompletion)
                await sink.write(stored.text)
                return Success(stored.finished)
        raise AssertionError("not a result")

    async def _run(self, request: ModelRequest) -> Answer:
        sink = BufferedSink()
        result = await self.models.run(request, sink)
        return result.map(
            lambda finished: PlainAnswer(
                STORED_STATUS,
                (),
                encode(StoredCompletion("".join(sink.texts), finished)),
            )
        )


def digest_completion(path: str, body: CompletionBody | ChatBody) -> str:
    """Return the digest of a request; independent of whether it is streamed."""
    content = encode(replace(body, stream=False))
    return digest_call(PlainCall("POST", path, (), content))
