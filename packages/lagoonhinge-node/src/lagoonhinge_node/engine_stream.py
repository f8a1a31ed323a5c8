"""An engine's answer, read as server-sent events."""

from asyncio import TimerHandle, get_running_loop

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
PREFIX_BYTES = len(b"data: ")

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
        self.loop = get_running_loop()
        self.timer: TimerHandle | None = None
        self.waits_until_s: float | None = None
        self.reads = 0

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
        if self.timer is not None:
            self.timer.cancel()
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
        self._start_timer(timeout_s)
        try:
            return await content.readany()
        finally:
            self.waits_until_s = None
            self.reads += 1

    def _start_timer(self, timeout_s: float) -> None:
        # One timer outlives many reads, since arming one for each costs more than
        # the rest of a read.
        self.waits_until_s = self.loop.time() + timeout_s
        if self.timer is not None and self.timer.when() > self.waits_until_s:
            self.timer.cancel()
            self.timer = None
        if self.timer is None:
            self.timer = self.loop.call_at(self.waits_until_s, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        if self.waits_until_s is None:
            return
        if self.loop.time() < self.waits_until_s:
            self.timer = self.loop.call_at(self.waits_until_s, self._on_timer)
            return
        # After a pause of this process, what has arrived is read first.
        self.loop.call_soon(self._end_wait, self.reads)

    def _end_wait(self, reads: int) -> None:
        if self.reads == reads:
            self.response.content.set_exception(TimeoutError())


def _decode_events(
    events: list[bytes],
) -> Result[tuple[EngineChunk, ...], UpstreamError]:
    try:
        return Success(
            tuple([_CHUNK_DECODER.decode(event[PREFIX_BYTES:]) for event in events])
        )
    except (ValidationError, DecodeError) as error:
        return Failure(Broken(f"bad chunk: {error}"))
