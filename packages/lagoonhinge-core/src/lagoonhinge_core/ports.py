"""Ports: interfaces to the outside, implemented by adapters, fakes and benchmarks."""

from typing import Protocol

from returns.result import Result

from lagoonhinge_core.config_row import AcceptedConfig
from lagoonhinge_core.engine_messages import (
    CacheEvents,
    EngineCall,
    EngineChunk,
    Holdings,
    LoadReport,
    Order,
    OrderReport,
    ReservationRequest,
    SpanRequest,
)
from lagoonhinge_core.peer_messages import PeerContact, PeerDigest, PeerUnreachable
from lagoonhinge_core.plain_messages import CallLimits, PlainAnswer, PlainCall
from lagoonhinge_core.store_messages import (
    ReadError,
    Row,
    TicketRefused,
    Unavailable,
    VmEntry,
    WriteError,
)
from lagoonhinge_core.upstream_errors import UpstreamError


class Clock(Protocol):
    """Source of time."""

    def monotonic_s(self) -> float:
        """Return a time that never decreases, in seconds."""

    def wall_s(self) -> float:
        """Return the time since the epoch, in seconds."""


class EngineStream(Protocol):
    """An answer that is being received from an engine."""

    async def next_chunks(
        self, timeout_s: float
    ) -> Result[tuple[EngineChunk, ...], UpstreamError]:
        """Return the chunks that have arrived, at least one."""

    async def close(self) -> None:
        """Close the connection."""


class EngineClient(Protocol):
    """Calls to model engines."""

    async def open_stream(
        self, url: str, call: EngineCall, timeout_s: float
    ) -> Result[EngineStream, UpstreamError]:
        """Send an attempt and return its stream once the engine has accepted it."""

    async def resume_stream(
        self, url: str, attempt: str, from_seq: int, timeout_s: float
    ) -> Result[EngineStream, UpstreamError]:
        """Resume reading a running attempt from a position, over a new connection."""

    async def release(
        self, url: str, kind: str, name: str, timeout_s: float
    ) -> Result[None, UpstreamError]:
        """Release a stream, reservation or export; success means it is not held."""

    async def reserve(
        self, url: str, request: ReservationRequest, timeout_s: float
    ) -> Result[None, UpstreamError]:
        """Reserve memory immediately, or fail without waiting."""

    async def prefill_span(
        self, url: str, request: SpanRequest, timeout_s: float
    ) -> Result[None, UpstreamError]:
        """Process a span and export its KV cache; returns when it is ready."""

    async def holdings(
        self, url: str, timeout_s: float
    ) -> Result[Holdings, UpstreamError]:
        """Return everything that the engine holds."""

    async def load(
        self, url: str, timeout_s: float
    ) -> Result[LoadReport, UpstreamError]:
        """Return the engine's load report."""

    async def cache_events(
        self, url: str, after_seq: int, timeout_s: float
    ) -> Result[CacheEvents, UpstreamError]:
        """Return the cache events after a sequence number."""

    async def order(
        self, url: str, order: Order, timeout_s: float
    ) -> Result[OrderReport, UpstreamError]:
        """Send the desired state; returns the state that the engine has reached."""

    async def order_state(
        self, url: str, timeout_s: float
    ) -> Result[OrderReport, UpstreamError]:
        """Return the state that the engine has reached, without an order."""

    async def drop_connections(self, url: str) -> None:
        """Drop pooled connections to one upstream, which may be broken undetected."""


class PlainClient(Protocol):
    """Calls to plain services."""

    async def send(
        self, url: str, call: PlainCall, limits: CallLimits
    ) -> Result[PlainAnswer, UpstreamError]:
        """Send the call exactly once and return its answer."""


class TableStore(Protocol):
    """The platform's transactional table."""

    async def read(self, key: str) -> Result[Row, Unavailable]:
        """Return a row; version 0 means that it is absent."""

    async def write(
        self, key: str, value: str, if_version: int
    ) -> Result[Row, WriteError]:
        """Write a row if it is at `if_version`; 0 means that it must be absent."""

    async def scan(self, prefix: str) -> Result[tuple[Row, ...], Unavailable]:
        """Return the rows whose key starts with `prefix`."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, content: bytes) -> Result[None, Unavailable]:
        """Store an object; the same name and content may be stored again."""

    async def get(self, name: str) -> Result[bytes, ReadError]:
        """Return an object."""


class VmList(Protocol):
    """The platform's list of VMs, which lags behind their real state."""

    async def list(self) -> Result[tuple[VmEntry, ...], Unavailable]:
        """Return the VMs in the list."""


class WeightStore(Protocol):
    """The platform's rate-limited store of model weights."""

    async def acquire_ticket(self) -> Result[None, TicketRefused | Unavailable]:
        """Acquire a ticket, which permits one load."""


class PeerClient(Protocol):
    """Calls to other nodes."""

    async def exchange(
        self, address: str, digest: PeerDigest, timeout_s: float
    ) -> Result[PeerDigest, PeerUnreachable]:
        """Send a digest and return the peer's own."""

    async def fetch_config(
        self, address: str, timeout_s: float
    ) -> Result[AcceptedConfig, PeerUnreachable]:
        """Return the version in force at a peer."""

    async def fetch_blob(
        self, address: str, digest: str, timeout_s: float
    ) -> Result[bytes, PeerUnreachable]:
        """Return a blob of the version in force at a peer; its digest is unchecked."""

    async def fetch_contacts(
        self, address: str, timeout_s: float
    ) -> Result[tuple[PeerContact, ...], PeerUnreachable]:
        """Return the members in a peer's membership list."""
