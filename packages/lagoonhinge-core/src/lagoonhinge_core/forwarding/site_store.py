"""Interface to the platform's store, for what a node reads and announces there."""

from dataclasses import dataclass
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


@dataclass(frozen=True)
class StoreFault:
    """A call to the store that failed or got an invalid answer."""

    reason: str


@dataclass(frozen=True)
class HistoryLost:
    """The store no longer has the requested changes; everything must be read again."""


@dataclass(frozen=True)
class ConfigUpdate:
    """The configuration, if it changed.

    Attributes:
        config: The newest configuration; `None` if there is no change or none exists.
        fault: Why the newest configuration is unusable; empty if it is usable.
        version: Version of the store's rows up to which the update is complete.
    """

    config: SiteConfig | None
    fault: str
    version: int


@dataclass(frozen=True)
class ListUpdate(Generic[EntryT]):
    """Changes to the listed upstreams or nodes.

    Attributes:
        changed: New and changed entries; all of them if everything was read.
        removed: Names of entries that are no longer listed or are unusable.
        version: Version of the store's rows up to which the update is complete.
    """

    changed: tuple[EntryT, ...]
    removed: tuple[str, ...]
    version: int


class SiteStore(Protocol):
    """Store of the platform, as far as a node needs it.

    Each read method returns everything if `after` is `None`. Otherwise it returns the
    changes after that version, as soon as there are any and after `wait_s` seconds at
    the latest.
    """

    async def read_config(
        self, after: int | None, wait_s: float
    ) -> Result[ConfigUpdate, StoreFault | HistoryLost]:
        """Return the configuration."""

    async def read_upstreams(
        self, after: int | None, wait_s: float
    ) -> Result[ListUpdate[Upstream], StoreFault | HistoryLost]:
        """Return the listed upstreams."""

    async def read_nodes(
        self, after: int | None, wait_s: float
    ) -> Result[ListUpdate[NodeEntry], StoreFault | HistoryLost]:
        """Return the announced nodes."""

    async def announce(self, entry: NodeEntry) -> Result[None, StoreFault]:
        """Announce this node to the other nodes; may be repeated."""
