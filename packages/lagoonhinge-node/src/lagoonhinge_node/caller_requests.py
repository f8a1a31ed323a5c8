"""Parsing and validation of callers' requests."""

from asyncio import timeout, to_thread
from dataclasses import dataclass
from uuid import uuid4

from aiohttp import web
from aiohttp.web import HTTPRequestEntityTooLarge
from returns.result import Failure, Result, Success

from lagoonhinge_core.blackboard import Blackboard
from lagoonhinge_core.config import Config, ModelService, PlainService, TimeBound
from lagoonhinge_core.outcome import ErrorCode, Outcome
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.plain_messages import Header, PlainCall
from lagoonhinge_core.ports import Clock
from lagoonhinge_core.request import ModelRequest, PlainRequest
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_core.tokens import TokenEstimator
from lagoonhinge_http.wire import BadMessage, decode
from lagoonhinge_node.caller_auth import find_account
from lagoonhinge_node.caller_messages import ChatBody, CompletionBody
from lagoonhinge_node.keyed_completions import digest_completion

REQUEST_ID_KEY = web.RequestKey("request_id", str)
TIMEOUT_HEADER = "X-Timeout-Seconds"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 200
BODY_TIMEOUT_S = 60.0
MIN_THREAD_DECODE_BYTES = 262_144
MAX_OUTPUT_TOKENS = 100_000
FORWARDED_HEADERS = ("Content-Type", "Accept", IDEMPOTENCY_KEY_HEADER)


def refusal(code: ErrorCode, message: str) -> RequestFailure:
    """Return the failure of a request that is refused for its content."""
    return RequestFailure(code, Outcome.NOT_RUN, message)


def request_id_of(request: web.Request) -> str:
    """Return the id of a request; assigns one at the first call."""
    if REQUEST_ID_KEY not in request:
        request[REQUEST_ID_KEY] = uuid4().hex
    return request[REQUEST_ID_KEY]


@dataclass(frozen=True)
class CallOptions:
    """Options from a caller's headers.

    Attributes:
        deadline_s: Deadline on the monotonic clock, in seconds.
        idempotency_key: The caller's key, if any.
    """

    deadline_s: float
    idempotency_key: str | None


@dataclass(frozen=True)
class ParsedCompletion:
    """A validated completion request, and whether its answer is streamed."""

    request: ModelRequest
    is_streamed: bool


class RequestReader:
    """Parses and validates HTTP requests."""

    def __init__(self, board: Blackboard, clock: Clock, estimator: TokenEstimator):
        self.board = board
        self.clock = clock
        self.estimator = estimator

    async def read_completion(
        self, request: web.Request, body_type: type[CompletionBody] | type[ChatBody]
    ) -> Result[ParsedCompletion, RequestFailure]:
        """Return a model request and whether its answer is streamed."""
        match await self._read_body(request, body_type):
            case Failure(failure):
                return Failure(failure)
            case Success(body):
                return self._check_completion(request, body)
        raise AssertionError("not a result")

    async def read_plain(
        self, request: web.Request
    ) -> Result[PlainRequest, RequestFailure]:
        """Return a call to a plain service."""
        config = self._config()
        account = self._find_account(request, config)
        if account is None:
            return Failure(_unauthenticated())
        name = request.match_info["service"]
        service = config.services.get(name)
        if not isinstance(service, PlainService):
            return Failure(
                refusal(ErrorCode.NOT_FOUND, f"there is no plain service {name!r}")
            )
        match self._read_options(request, service.time_bound, 0):
            case Failure(failure):
                return Failure(failure)
            case Success(parsed):
                options: CallOptions = parsed
        body = await self._read_bytes(request)
        if isinstance(body, RequestFailure):
            return Failure(body)
        query = f"?{request.query_string}" if request.query_string else ""
        path = f"/{request.match_info['path']}{query}"
        headers = tuple(
            Header(name, request.headers[name])
            for name in FORWARDED_HEADERS
            if name in request.headers
        )
        return Success(
            PlainRequest(
                request_id=request_id_of(request),
                account=account,
                service=name,
                call=PlainCall(request.method, path, headers, body),
                idempotent=request.method in service.idempotent_methods,
                idempotency_key=options.idempotency_key,
                deadline_s=options.deadline_s,
            )
        )

    async def _read_body(
        self, request: web.Request, body_type: type[CompletionBody] | type[ChatBody]
    ) -> Result[CompletionBody | ChatBody, RequestFailure]:
        if self._find_account(request, self._config()) is None:
            return Failure(_unauthenticated())
        raw = await self._read_bytes(request)
        if isinstance(raw, RequestFailure):
            return Failure(raw)
        try:
            if len(raw) < MIN_THREAD_DECODE_BYTES:
                return Success(decode(raw, body_type))
            # Decoding a large body on the event loop would delay all other requests.
            return Success(await to_thread(decode, raw, body_type))
        except BadMessage as error:
            return Failure(refusal(ErrorCode.BAD_REQUEST, f"body: {error}"))

    async def _read_bytes(self, request: web.Request) -> bytes | RequestFailure:
        limit = self._config().limits.max_body_bytes
        too_large = refusal(
            ErrorCode.BODY_TOO_LARGE, f"the body has more than {limit} bytes"
        )
        if request.content_length is not None and request.content_length > limit:
            return too_large
        try:
            async with timeout(BODY_TIMEOUT_S):
                body = await request.read()
        except HTTPRequestEntityTooLarge:
            return too_large
        except TimeoutError:
            message = f"the body did not arrive within {BODY_TIMEOUT_S:.0f} s"
            return refusal(ErrorCode.BAD_REQUEST, message)
        return too_large if len(body) > limit else body

    def _check_completion(
        self, request: web.Request, body: CompletionBody | ChatBody
    ) -> Result[ParsedCompletion, RequestFailure]:
        config = self._config()
        account = self._find_account(request, config)
        service_name = _find_service(config, body.model)
        if account is None:
            return Failure(_unauthenticated())
        if service_name is None:
            message = f"there is no model {body.model!r}"
            return Failure(refusal(ErrorCode.NOT_FOUND, message))
        if not 1 <= body.max_tokens <= MAX_OUTPUT_TOKENS:
            message = f"max_tokens is {body.max_tokens}, not 1 to {MAX_OUTPUT_TOKENS}"
            return Failure(refusal(ErrorCode.BAD_REQUEST, message))
        prompt = body.prompt_text()
        prompt_bytes = len(prompt.encode())
        estimate = self.estimator.estimate(body.model, prompt_bytes, body.max_tokens)
        limit = config.models[body.model].max_prompt_tokens
        if estimate.prompt_tokens > limit:
            message = (
                f"the prompt has about {estimate.prompt_tokens} tokens, of {limit}"
            )
            return Failure(refusal(ErrorCode.PROMPT_TOO_LONG, message))
        service = config.services[service_name]
        assert isinstance(service, ModelService)
        match self._read_options(request, service.time_bound, estimate.total()):
            case Failure(failure):
                return Failure(failure)
            case Success(parsed):
                options: CallOptions = parsed
        is_keyed = options.idempotency_key is not None
        request_id = request_id_of(request)
        model_request = ModelRequest(
            request_id=request_id,
            account=account,
            service=service_name,
            model=body.model,
            prompt=prompt,
            prompt_bytes=prompt_bytes,
            estimate=estimate,
            seed=int(request_id[:8], 16) if body.seed is None else body.seed,
            sampling=body.sampling(),
            deadline_s=options.deadline_s,
            stall_timeout_s=service.stall_timeout_s,
            idempotency_key=options.idempotency_key,
            call_digest=digest_completion(request.path, body) if is_keyed else "",
        )
        return Success(ParsedCompletion(model_request, body.stream))

    def _read_options(
        self, request: web.Request, bound: TimeBound, tokens: int
    ) -> Result[CallOptions, RequestFailure]:
        return _read_timeout_s(request, bound, tokens).bind(
            lambda timeout_s: _read_idempotency_key(request).map(
                lambda key: CallOptions(self.clock.monotonic_s() + timeout_s, key)
            )
        )

    def _find_account(self, request: web.Request, config: Config) -> str | None:
        return find_account(config, request.headers.get("Authorization", ""))

    def _config(self) -> Config:
        return self.board.read(ConfigSection).config


def _unauthenticated() -> RequestFailure:
    return refusal(
        ErrorCode.UNAUTHENTICATED, "the bearer key is missing or of no client account"
    )


def _find_service(config: Config, model: str) -> str | None:
    for name, service in config.services.items():
        if isinstance(service, ModelService) and service.model == model:
            return name
    return None


def _read_idempotency_key(request: web.Request) -> Result[str | None, RequestFailure]:
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        message = (
            f"{IDEMPOTENCY_KEY_HEADER} must have 1 to {MAX_KEY_CHARACTERS} characters"
        )
        return Failure(refusal(ErrorCode.BAD_REQUEST, message))
    return Success(key)


def _read_timeout_s(
    request: web.Request, bound: TimeBound, tokens: int
) -> Result[float, RequestFailure]:
    bound_s = bound.bound_s(tokens)
    raw = request.headers.get(TIMEOUT_HEADER)
    if raw is None:
        return Success(bound_s)
    try:
        requested_s = float(raw)
    except ValueError:
        requested_s = 0.0
    if not 0 < requested_s < float("inf"):
        message = f"{TIMEOUT_HEADER} is {raw!r}, not a positive number of seconds"
        return Failure(refusal(ErrorCode.BAD_REQUEST, message))
    return Success(min(requested_s, bound_s))
