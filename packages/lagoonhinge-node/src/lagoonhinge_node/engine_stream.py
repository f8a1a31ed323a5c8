"""Stream of an engine's answer as server-sent events."""

from asyncio import TimerHandle, get_running_loop

from aiohttp import ClientError, ClientResponse
from msgspec.json import Decoder
from returns.result import Failure, Result, Success

from lagoonhinge_core.decoding import DECODING_ERRORS
from lagoonhinge_core.engine_messages import EngineChunk
from lagoonhinge_core.upstream_errors import Broken, UpstreamError
from lagoonhinge_http.session import ConnectionLost
from lagoonhinge_node.engine_pools import EnginePool, EnginePools
from lagoonhinge_node.error_conversion import error_of_exception

EVENT_SEPARATOR = b"\n\n"
DATA_PREFIX_BYTES = len(b"data: ")

_CHUNK_DECODER = Decoder(EngineChunk)


class HttpEngineStream:
    """Stream of an answer as server-sent events.

    Args:
        response: The response, with its head received.
        pool: Pool of its connection.
        pools: Where the pool is released at the end.
    """

    def __init__(self, response: ClientResponse, pool: EnginePool, pools: EnginePools):
        self.response = response
        self.pool = pool
        self.pools = pools
        self.buffer = b""
        self.closed = False
        self.loop = get_running_loop()
        self.timer: TimerHandle | None = None
        self.read_deadline_s: float | None = None
        self.finished_reads = 0

    async def next_chunks(
        self, timeout_s: float
    ) -> Result[tuple[EngineChunk, ...], UpstreamError]:
        """Return the chunks received since the last call, at least one."""
        while True:
            try:
                data = await self._read(timeout_s)
            except (ConnectionLost, ClientError, TimeoutError, OSError) as error:
                return Failure(error_of_exception(error, timeout_s))
            if not data:
                return Failure(Broken("the stream ended without its end mark"))
            events = (self.buffer + data).split(EVENT_SEPARATOR)
            self.buffer = events.pop()
            if events:
                return _decode_events(events)

    async def close(self) -> None:
        """Close the connection unless the answer was read to its end."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.response.content.at_eof():
            self.response.release()
        else:
            self.response.close()
        await self.pools.release(self.pool)

    async def _read(self, timeout_s: float) -> bytes:
        content = self.response.content
        buffered = content.read_nowait()
        if buffered:
            return buffered
        self._start_timer(timeout_s)
        try:
            return await content.readany()
        finally:
            self.read_deadline_s = None
            self.finished_reads += 1

    def _start_timer(self, timeout_s: float) -> None:
        # One timer serves many reads, since a timer for each costs more than the
        # rest of a read.
        self.read_deadline_s = self.loop.time() + timeout_s
        if self.timer is not None and self.timer.when() > self.read_deadline_s:
            self.timer.cancel()
            self.timer = None
        if self.timer is None:
            self.timer = self.loop.call_at(self.read_deadline_s, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        if self.read_deadline_s is None:
            return
        if self.loop.time() < self.read_deadline_s:
            self.timer = self.loop.call_at(self.read_deadline_s, self._on_timer)
            return
        # After a pause of this process, data already received is read first.
        self.loop.call_soon(self._time_out_read, self.finished_reads)

    def _time_out_read(self, finished_reads: int) -> None:
        if self.finished_reads == finished_reads:
            self.response.content.set_exception(TimeoutError())


def _decode_events(
    events: list[bytes],
) -> Result[tuple[EngineChunk, ...], UpstreamError]:
    try:
        return Success(
            tuple(
                [_CHUNK_DECODER.decode(event[DATA_PREFIX_BYTES:]) for event in events]
            )
        )
    except DECODING_ERRORS as error:
        return Failure(Broken(f"bad chunk: {error}"))
