"""TCP relay between two parts, which can cut, delay or silence connections."""

from asyncio import (
    FIRST_COMPLETED,
    Event,
    StreamReader,
    StreamWriter,
    create_task,
    open_connection,
    sleep,
    start_server,
    wait,
)
from dataclasses import dataclass
from enum import StrEnum


class RelayMode(StrEnum):
    """What the relay does to connections."""

    PASS = "pass"
    CUT = "cut"  # close open connections and refuse new ones
    SILENCE_OPEN = "silence-open"  # open ones carry nothing more, new ones work
    SILENCE_ALL = "silence-all"


@dataclass(frozen=True)
class RelayTarget:
    """Where the relay leads."""

    host: str
    port: int


class _Connection:
    def __init__(self, writers: tuple[StreamWriter, StreamWriter]):
        self.writers = writers
        self.silent = False


class Relay:
    """Relays connections made to `port` to the target, in the running event loop."""

    def __init__(self, port: int, target: RelayTarget):
        self.port = port
        self.target = target
        self.mode = RelayMode.PASS
        self.delay_s = 0.0
        self.connections: set[_Connection] = set()
        self.closed = Event()

    async def start(self) -> None:
        """Listen on loopback."""
        self.server = await start_server(self._relay, "127.0.0.1", self.port)

    def set_mode(self, mode: RelayMode) -> None:
        """Change what happens to open and new connections."""
        self.mode = mode
        for connection in tuple(self.connections):
            if mode == RelayMode.CUT:
                for writer in connection.writers:
                    writer.transport.abort()
            elif mode in (RelayMode.SILENCE_OPEN, RelayMode.SILENCE_ALL):
                connection.silent = True

    async def stop(self) -> None:
        """Close the listener and every connection."""
        self.server.close()
        self.set_mode(RelayMode.CUT)

    async def _relay(self, reader: StreamReader, writer: StreamWriter) -> None:
        if self.mode == RelayMode.CUT:
            writer.transport.abort()
            return
        up_reader, up_writer = await open_connection(self.target.host, self.target.port)
        connection = _Connection((writer, up_writer))
        connection.silent = self.mode == RelayMode.SILENCE_ALL
        self.connections.add(connection)
        pumps = (
            create_task(self._pump(connection, reader, up_writer)),
            create_task(self._pump(connection, up_reader, writer)),
        )
        await wait(pumps, return_when=FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        for end in connection.writers:
            end.close()
        self.connections.discard(connection)

    async def _pump(
        self, connection: _Connection, reader: StreamReader, writer: StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await sleep(self.delay_s)
                if connection.silent:
                    await self.closed.wait()
                writer.write(data)
                await writer.drain()
            if connection.silent:
                await self.closed.wait()
        except OSError:
            return
