"""TCP relay that can cut, delay or stall connections."""

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
    """How the relay treats connections."""

    PASS = "pass"
    CUT = "cut"  # close open connections and refuse new ones
    STALL_OPEN = "silence-open"  # stall open connections, pass new ones
    STALL_ALL = "silence-all"


@dataclass(frozen=True)
class RelayTarget:
    """Address to which the relay connects."""

    host: str
    port: int


class _Connection:
    def __init__(self, writers: tuple[StreamWriter, StreamWriter]):
        self.writers = writers
        self.stalled = False


class Relay:
    """Relays connections on `port` to the target, in the running event loop."""

    def __init__(self, port: int, target: RelayTarget):
        self.port = port
        self.target = target
        self.mode = RelayMode.PASS
        self.delay_s = 0.0
        self.connections: set[_Connection] = set()
        self.never_set = Event()

    async def start(self) -> None:
        """Listen on loopback."""
        self.server = await start_server(self._relay, "127.0.0.1", self.port)

    def set_mode(self, mode: RelayMode) -> None:
        """Change how open and new connections are treated."""
        self.mode = mode
        for connection in tuple(self.connections):
            if mode == RelayMode.CUT:
                for writer in connection.writers:
                    writer.transport.abort()
            elif mode in (RelayMode.STALL_OPEN, RelayMode.STALL_ALL):
                connection.stalled = True

    async def stop(self) -> None:
        """Close the listener and every connection."""
        self.server.close()
        self.set_mode(RelayMode.CUT)

    async def _relay(self, reader: StreamReader, writer: StreamWriter) -> None:
        if self.mode == RelayMode.CUT:
            writer.transport.abort()
            return
        upstream_reader, upstream_writer = await open_connection(
            self.target.host, self.target.port
        )
        connection = _Connection((writer, upstream_writer))
        connection.stalled = self.mode == RelayMode.STALL_ALL
        self.connections.add(connection)
        forwarders = (
            create_task(self._forward(connection, reader, upstream_writer)),
            create_task(self._forward(connection, upstream_reader, writer)),
        )
        await wait(forwarders, return_when=FIRST_COMPLETED)
        for forwarder in forwarders:
            forwarder.cancel()
        for connection_writer in connection.writers:
            connection_writer.close()
        self.connections.discard(connection)

    async def _forward(
        self, connection: _Connection, reader: StreamReader, writer: StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await sleep(self.delay_s)
                if connection.stalled:
                    await self.never_set.wait()
                writer.write(data)
                await writer.drain()
            if connection.stalled:
                await self.never_set.wait()
        except OSError:
            return
