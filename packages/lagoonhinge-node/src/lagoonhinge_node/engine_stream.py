"""An engine's answer, read as server-sent events."""

from asyncio import timeout

from aiohttp import ClientError, ClientResponse
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder
from returns.result import Failure, Result, Success

from lagoonhinge_core.engine_messages import EngineChunk
from lagoonhinge_core.upstream_errors import Broken, UpstreamError
from lagoonhinge_http.session import ConnectionLost
from lagoonhinge_node.engine_pools import EnginePool, EnginePools
from lagoonhinge_node.upstream_faults import error_of_exception

EVENT_END = b"\n\n"
EVENT_PREFIX = b"data: "

_CHUNK_DECODER = Decoder(EngineChunk)


class HttpEngineStream:
    """An answer that is arriving as server-sent events.

    Args:
        response: The answer, with its head received.
        pool: Pool of the connection that it arrives over.
        pools: Where the pool is left at the end.
    """

    def __init__(self, response: ClientResponse, pool: EnginePool, pools: EnginePools):
        self.response = response
        self.pool = pool
        self.pools = pools
        self.rest = b""
        self.closed = False

    async def next_chunks(
        self, timeout_s: float
    ) -> Result[tuple[EngineChunk, ...], UpstreamError]:
        """Return the chunks that have arrived, at least one."""
        while True:
            try:
                data = await self._read(timeout_s)
            except (ConnectionLost, ClientError, TimeoutError, OSError) as error:
                return Failure(error_of_exception(error, timeout_s))
            if not data:
                return Failure(Broken("the stream ended without its end mark"))
            events = (self.rest + data).split(EVENT_END)
            self.rest = events.pop()
            if events:
                return _decode_events(events)

    async def close(self) -> None:
        """Drop the connection unless the answer was read to its end."""
        if self.closed:
            return
        self.closed = True
        if self.response.content.at_eof():
            self.response.release()
        else:
            self.response.close()
        await self.pools.leave(self.pool)

    async def _read(self, timeout_s: float) -> bytes:
        content = self.response.content
        arrived = content.read_nowait()
        if arrived:
            return arrived
        try:
            async with timeout(timeout_s):
                return await content.readany()
        except TimeoutError:
            # A process that was paused finds its timer due beside what has arrived.
            arrived = content.read_nowait()
            if arrived:
                return arrived
            raise


def _decode_events(
    events: list[bytes],
) -> Result[tuple[EngineChunk, ...], UpstreamError]:
    try:
        return Success(
            tuple(
                _CHUNK_DECODER.decode(event.removeprefix(EVENT_PREFIX))
                for event in events
            )
        )
    except (ValidationError, DecodeError) as error:
        return Failure(Broken(f"bad chunk: {error}"))
