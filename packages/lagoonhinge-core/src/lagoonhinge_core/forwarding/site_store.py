"""Interface to the platform's store, for what a node reads and announces there."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Generic, Protocol, TypeVar

from returns.result import Result

from lagoonhinge_core.forwarding.site_config import SiteConfig
from lagoonhinge_core.forwarding.upstreams import Upstream

EntryT = TypeVar("EntryT")


@dataclass(frozen=True)
class NodeEntry:
    """Entry with which a node announces itself to the others.

    Attributes:
        name: Name of the node's VM.
        host: IP address.
        port: Port for messages between nodes.
        zone: Availability zone.
    """

    name: str
    host: str
    port: int
    zone: str

    def peer_address(self) -> tuple[str, int]:
        """Return host and port for messages between nodes."""
        return self.host, self.port


class StoreTable(Enum):
    """Tables of the store that every node follows."""

    CONFIG = "config"
    UPSTREAMS = "upstreams"
    NODES = "nodes"
    # Read together with the configuration.
    EVACUATIONS = "evacuations"


# Of a stored value: half of what a row of the platform's store takes.
MAX_QUARANTINE_BYTES = 32 << 10
POLLED_TABLES = (StoreTable.CONFIG, StoreTable.UPSTREAMS, StoreTable.NODES)


@dataclass(frozen=True)
class StoreFault:
    """A call to the store that failed or got an invalid answer."""

    reason: str


@dataclass(frozen=True)
class HistoryLost:
    """The store no longer has the requested changes; everything must be read again."""


@dataclass(frozen=True)
class TableRow:
    """A row of a table.

    Attributes:
        key: Key of the row.
        value: Its value, not decoded; `None` if the row was removed.
        version: Version of the store at which the row was written.
    """

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True)
class TableChanges:
    """Rows of a table that were read together.

    Attributes:
        rows: The last state of each changed row; all rows if everything was read.
        version: Version of the store up to which the rows are complete.
        store_time_s: Time of the store's clock at which they were, in seconds.
        era: Number that grows each time the store comes back from an older copy.
            Versions of an earlier era may be given out again.
        evacuations: Rows of evacuations, which are read together with the
            configuration; the keys are zones.
    """

    rows: tuple[TableRow, ...]
    version: int
    store_time_s: float
    era: int = 0
    evacuations: tuple[TableRow, ...] = ()


@dataclass(frozen=True)
class ListUpdate(Generic[EntryT]):
    """Changes to the listed upstreams or nodes.

    Attributes:
        changed: New and changed entries; all of them if everything was read.
        removed: Names of entries that are no longer listed or are unusable.
    """

    changed: tuple[EntryT, ...]
    removed: tuple[str, ...]


def list_update(
    rows: tuple[TableRow, ...], decode_entry: Callable[[TableRow], EntryT | None]
) -> ListUpdate[EntryT]:
    """Return the changes of a list in the rows of its table."""
    entries = {
        row.key: None if row.value is None else decode_entry(row) for row in rows
    }
    return ListUpdate(
        tuple(entry for entry in entries.values() if entry is not None),
        tuple(key for key, entry in entries.items() if entry is None),
    )


@dataclass(frozen=True)
class QuarantineRows:
    """What nodes stored of quarantines.

    Attributes:
        values: The stored values, by the name under which they are stored.
        store_time_s: Time of the store's clock at which they were read, in seconds.
    """

    values: Mapping[str, bytes]
    store_time_s: float


class RowDecoder(Protocol):
    """Translation of the store's rows."""

    def config(self, row: TableRow) -> Result[SiteConfig, str]:
        """Return the configuration in a row, or why it is unusable."""

    def upstream(self, row: TableRow) -> Upstream | None:
        """Return the upstream in a row, or `None` if there is no usable one."""

    def node(self, row: TableRow) -> NodeEntry | None:
        """Return the node announced in a row, or `None` if the row is invalid."""


class SiteStore(Protocol):
    """Store of the platform, as far as a node needs it."""

    async def read_table(
        self, table: StoreTable, after: int | None, wait_s: float
    ) -> Result[TableChanges, StoreFault | HistoryLost]:
        """Return a table, or its changes.

        Args:
            table: One of `POLLED_TABLES`.
            after: Version after which changes are returned, as soon as there are any;
                `None` for all rows.
            wait_s: Time to wait for a change, in seconds.
        """

    async def announce(self, entry: NodeEntry) -> Result[None, StoreFault]:
        """Announce this node to the other nodes; may be repeated."""

    async def read_quarantines(self) -> Result[QuarantineRows, StoreFault]:
        """Return what was stored of quarantines."""

    async def store_quarantines(
        self, name: str, value: bytes
    ) -> Result[None, StoreFault]:
        """Store what is known of quarantines in place of an earlier value.

        Args:
            name: Name of the value.
            value: At most `MAX_QUARANTINE_BYTES` bytes.
        """
