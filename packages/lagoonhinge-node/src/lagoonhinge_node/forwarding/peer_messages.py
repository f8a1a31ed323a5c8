"""Messages between nodes, in datagrams that may be lost, repeated or reordered."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any
from zlib import compress, decompressobj
from zlib import error as ZlibError

from mode import Service
from msgspec import msgpack

from lagoonhinge_core.decoding import DECODING_ERRORS
from lagoonhinge_core.forwarding.crash_reports import AnswerReport, CrashReport
from lagoonhinge_core.forwarding.crash_trials import TrialReport
from lagoonhinge_core.forwarding.load_tracker import CellSummary, LoadUpdate
from lagoonhinge_core.forwarding.site_store import NodeEntry
from lagoonhinge_core.forwarding.table_replica import TableUpdate
from lagoonhinge_node.forwarding.task_guards import log_unexpected
from lagoonhinge_node.logs import PartLogger

COMPRESSED_FROM_BYTES = 1000  # smaller messages hardly shrink
COMPRESSION_LEVEL = 1
# First byte of compressed data; a message begins with a map, which differs.
ZLIB_FIRST_BYTE = 0x78
# Largest datagram; a larger update has no rows, and its receivers read the store.
MAX_DATAGRAM_BYTES = 16 << 10
MAX_MESSAGE_BYTES = 4 << 20  # of decompressed data; a configuration has 0.3 MB


@dataclass(frozen=True)
class StoreUpdate:
    """State of the store that the node that watches it sends to its zone.

    Attributes:
        node: Name of the node.
        tables: State of each table that is polled.
        cells: Load of other cells.
        evacuations: State of the evacuations, apart from the tables, as nodes of
            earlier versions can't decode a table that they do not know.
    """

    node: str
    tables: tuple[TableUpdate, ...]
    cells: tuple[CellSummary, ...] = ()
    evacuations: TableUpdate | None = None


@dataclass(frozen=True)
class StoreCallFailed:
    """A call of a node to the store failed; the others wait before they try.

    Attributes:
        node: Name of the node.
    """

    node: str


@dataclass(frozen=True)
class CrashUpdate:
    """What a node knows of requests that crash upstreams.

    Attributes:
        crashes: Crashes of upstreams.
        answers: Answers that contradict crashes.
        trials: Trials of what the crashes can't tell apart.
    """

    crashes: tuple[CrashReport, ...]
    answers: tuple[AnswerReport, ...] = ()
    trials: tuple[TrialReport, ...] = ()


@dataclass(frozen=True)
class PeerMessage:
    """One datagram; one of the parts is set."""

    load: LoadUpdate | None = None
    store: StoreUpdate | None = None
    call_failed: StoreCallFailed | None = None
    cell: CellSummary | None = None
    crashes: CrashUpdate | None = None


_ENCODER = msgpack.Encoder()
_DECODER = msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return a message as the content of a datagram."""
    data = _ENCODER.encode(message)
    if len(data) < COMPRESSED_FROM_BYTES:
        return data
    return compress(data, COMPRESSION_LEVEL)


def decode_message(data: bytes) -> PeerMessage:
    """Return the message in a datagram.

    Raises:
        ValueError: If it can't be decoded.
    """
    try:
        if data[:1] == bytes((ZLIB_FIRST_BYTE,)):
            stream = decompressobj()
            data = stream.decompress(data, MAX_MESSAGE_BYTES)
            if not stream.eof:
                raise ValueError("the compressed message is incomplete or too large")
        return _DECODER.decode(data)
    except (ZlibError, *DECODING_ERRORS) as error:
        raise ValueError(str(error)) from error


class PeerSocket(Service):
    """Sends messages to other nodes and dispatches the messages received.

    Args:
        own_entry: This node's entry.
    """

    def __init__(self, own_entry: NodeEntry):
        super().__init__()
        self.own_entry = own_entry
        self.transport: DatagramTransport | None = None
        self.handlers: list[Callable[[PeerMessage], None]] = []
        self.log_part = PartLogger("peers")

    async def on_start(self) -> None:
        """Open the socket."""
        self.transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: _Receiver(self),
            local_addr=(self.own_entry.host, self.own_entry.port),
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def send(self, data: bytes, peers: Iterable[tuple[str, int]]) -> None:
        """Send an encoded message to other nodes."""
        if self.transport is not None:
            for peer in peers:
                self.transport.sendto(data, peer)

    def receive(self, data: bytes) -> None:
        """Dispatch the message in a datagram."""
        try:
            message = decode_message(data)
        except ValueError as error:
            self.log_part.warning("Ignored an unreadable update.", reason=str(error))
            return
        for handle in self.handlers:
            try:
                handle(message)
            except Exception as error:
                # The other handlers get the message all the same.
                log_unexpected(handle.__qualname__, error)


class _Receiver(DatagramProtocol):
    def __init__(self, socket: PeerSocket):
        self.socket = socket

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.socket.receive(data)

    def error_received(self, exc: Exception) -> None:
        # A peer that is down refuses datagrams; its missing updates reveal it anyway.
        return
