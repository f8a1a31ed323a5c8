"""HTTP client of model engines: JSON requests, server-sent events as answers."""

from asyncio import timeout
from typing import Any, TypeVar

from aiohttp import ClientError
from returns.result import Failure, Result, Success

from lagoonhinge_core.engine_messages import (
    CacheEvents,
    EngineCall,
    Holdings,
    LoadReport,
    Order,
    OrderReport,
    ReservationRequest,
    SpanRequest,
)
from lagoonhinge_core.ports import EngineStream
from lagoonhinge_core.upstream_errors import Broken, Gone, UpstreamError
from lagoonhinge_http.calls import HttpResponse, call
from lagoonhinge_http.session import ConnectionLost, call_timeout
from lagoonhinge_http.wire import BadMessage, decode, encode
from lagoonhinge_node.engine_pools import EnginePool, EnginePools
from lagoonhinge_node.engine_stream import HttpEngineStream
from lagoonhinge_node.error_conversion import error_of_exception, error_of_status

MessageT = TypeVar("MessageT")


class HttpEngineClient:
    """Calls to model engines over HTTP.

    Each engine has a pool of its own, so that its connections can be dropped
    without affecting those of other engines.
    """

    def __init__(self) -> None:
        self.pools = EnginePools()

    async def open_stream(
        self, url: str, call: EngineCall, timeout_s: float
    ) -> Result[EngineStream, UpstreamError]:
        """Send an attempt and return its answer once the engine has accepted it.

        It has a connection of its own, as a refusal that is written again on a kept one
        would count as the refusal of this attempt.
        """
        return await self._open(
            self.pools.acquire_new(),
            "POST",
            url + "/v1/completions",
            encode(call),
            timeout_s,
        )

    async def resume_stream(
        self, url: str, attempt: str, from_seq: int, timeout_s: float
    ) -> Result[EngineStream, UpstreamError]:
        """Resume a running attempt's stream at a position, on a new connection."""
        path = f"/v1/streams/{attempt}?from={from_seq}"
        return await self._open(
            self.pools.acquire_new(), "GET", url + path, None, timeout_s
        )

    async def release(
        self, url: str, kind: str, name: str, timeout_s: float
    ) -> Result[None, UpstreamError]:
        """Free a stream, reservation or export; succeed also if it is not held."""
        path = f"/v1/holdings/{kind}/{name}"
        match await self._call("DELETE", url, path, None, timeout_s):
            case Failure(Gone()):
                return Success(None)
            case Failure(error):
                return Failure(error)
        return Success(None)

    async def reserve(
        self, url: str, request: ReservationRequest, timeout_s: float
    ) -> Result[None, UpstreamError]:
        """Reserve memory without waiting until it is free."""
        answer = await self._call("POST", url, "/v1/reservations", request, timeout_s)
        return answer.map(lambda _: None)

    async def prefill_span(
        self, url: str, request: SpanRequest, timeout_s: float
    ) -> Result[None, UpstreamError]:
        """Prefill a span and export its KV cache; return when it is ready."""
        answer = await self._call("POST", url, "/v1/spans", request, timeout_s)
        return answer.map(lambda _: None)

    async def holdings(
        self, url: str, timeout_s: float
    ) -> Result[Holdings, UpstreamError]:
        """Return everything that the engine holds."""
        return await self._get(url, "/v1/holdings", Holdings, timeout_s)

    async def load(
        self, url: str, timeout_s: float
    ) -> Result[LoadReport, UpstreamError]:
        """Return the engine's load report."""
        return await self._get(url, "/v1/load", LoadReport, timeout_s)

    async def cache_events(
        self, url: str, after_seq: int, timeout_s: float
    ) -> Result[CacheEvents, UpstreamError]:
        """Return the cache events after a sequence number."""
        path = f"/v1/cache-events?after={after_seq}"
        return await self._get(url, path, CacheEvents, timeout_s)

    async def order(
        self, url: str, order: Order, timeout_s: float
    ) -> Result[OrderReport, UpstreamError]:
        """Send the desired state; return the state that the engine has reached."""
        answer = await self._call("POST", url, "/v1/orders", order, timeout_s)
        return answer.bind(lambda body: _decoded(body, OrderReport))

    async def order_state(
        self, url: str, timeout_s: float
    ) -> Result[OrderReport, UpstreamError]:
        """Return the state that the engine has reached, without sending an order."""
        return await self._get(url, "/v1/orders", OrderReport, timeout_s)

    async def drop_connections(self, url: str) -> None:
        """Use new connections to one upstream from now on.

        Running streams keep their old connections until they end.
        """
        await self.pools.retire(url)

    async def close(self) -> None:
        """Close every connection."""
        await self.pools.close()

    async def _open(
        self,
        pool: EnginePool,
        method: str,
        url: str,
        body: bytes | None,
        timeout_s: float,
    ) -> Result[EngineStream, UpstreamError]:
        stream: HttpEngineStream | None = None
        try:
            async with timeout(timeout_s):
                response = await pool.session.request(
                    method, url, data=body, timeout=call_timeout(None)
                )
                if response.status != 200:
                    return Failure(
                        error_of_status(response.status, await response.read())
                    )
            stream = HttpEngineStream(response, pool, self.pools)
            return Success(stream)
        except (ConnectionLost, ClientError, TimeoutError) as error:
            return Failure(error_of_exception(error, timeout_s))
        finally:
            if stream is None:
                await self.pools.release(pool)

    async def _call(
        self, method: str, url: str, path: str, message: Any, timeout_s: float
    ) -> Result[bytes, UpstreamError]:
        body = None if message is None else encode(message)
        pool = self.pools.acquire(url)
        try:
            limits = call_timeout(timeout_s)
            sent = await call(pool.session, method, url + path, limits, body)
        finally:
            await self.pools.release(pool)
        match sent:
            case Success(HttpResponse(200, answer)):
                return Success(answer)
            case Success(HttpResponse(status, answer)):
                return Failure(error_of_status(status, answer))
            case Failure(error):
                return Failure(error_of_exception(error, timeout_s))
        raise AssertionError("not a result")

    async def _get(
        self, url: str, path: str, message_type: type[MessageT], timeout_s: float
    ) -> Result[MessageT, UpstreamError]:
        answer = await self._call("GET", url, path, None, timeout_s)
        return answer.bind(lambda body: _decoded(body, message_type))


def _decoded(
    body: bytes, message_type: type[MessageT]
) -> Result[MessageT, UpstreamError]:
    try:
        return Success(decode(body, message_type))
    except BadMessage as error:
        return Failure(Broken(str(error)))
