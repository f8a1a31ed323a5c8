"""Port to the platform's store: what a node reads there and tells there."""

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from returns.result import Result

from lagoonhinge_core.forwarding.site_config import SiteConfig
from lagoonhinge_core.forwarding.upstreams import Upstream

EntryT = TypeVar("EntryT")


@dataclass(frozen=True)
class NodeEntry:
    """Another node, as it announced itself.

    Attributes:
        name: Name of its VM.
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
    """A call that was not answered as it should have been."""

    reason: str


@dataclass(frozen=True)
class HistoryLost:
    """The store no longer has the changes asked for; read everything again."""


@dataclass(frozen=True)
class ConfigUpdate:
    """The configuration, if it changed.

    Attributes:
        config: The newest configuration; `None` if there is no change or none exists.
        fault: Why the newest configuration can't be used; empty if it can.
        version: Version of the store's rows up to which this is complete.
    """

    config: SiteConfig | None
    fault: str
    version: int


@dataclass(frozen=True)
class ListUpdate(Generic[EntryT]):
    """Listed upstreams or nodes.

    Attributes:
        changed: New and changed entries; all if the update is complete.
        removed: Names that are no longer listed or can't be used.
        version: Version of the store's rows up to which this is complete.
    """

    changed: tuple[EntryT, ...]
    removed: tuple[str, ...]
    version: int


class SiteStore(Protocol):
    """What a node needs of the platform's store.

    Each reading method returns everything if `after` is `None`. Otherwise it returns
    the changes after that version, as soon as there are any and at the latest after
    `wait_s` seconds.
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
        """Tell the other nodes of this one; may be repeated."""
