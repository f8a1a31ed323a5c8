"""Nodes of one zone that share one watch of a store, in virtual time."""

from asyncio import Event, sleep, wait_for
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import TypeAlias

from msgspec import json
from returns.result import Failure, Result, Success

from features.support.serving import build_serving_state
from features.support.virtual_time import VirtualLoop
from lagoonhinge_core.forwarding.routes import RouteTable
from lagoonhinge_core.forwarding.site_config import CallerLimits, SiteConfig
from lagoonhinge_core.forwarding.site_store import (
    HistoryLost,
    NodeEntry,
    QuarantineRows,
    StoreFault,
    StoreTable,
    TableChanges,
    TableRow,
)
from lagoonhinge_core.forwarding.upstreams import Upstream
from lagoonhinge_core.forwarding.watch_role import watch_times
from lagoonhinge_node.forwarding.board_sections import SiteConfigSection
from lagoonhinge_node.forwarding.crash_exchange import CrashExchange
from lagoonhinge_node.forwarding.node_announcer import NodeAnnouncer
from lagoonhinge_node.forwarding.peer_messages import decode_message
from lagoonhinge_node.forwarding.quarantine_store import QuarantineStore
from lagoonhinge_node.forwarding.site_controllers import (
    ConfigController,
    EvacuationController,
    NodeController,
    UpstreamController,
)
from lagoonhinge_node.forwarding.store_watch import StoreWatch

IN_FORCE_S = 2.0
DRAIN_S = 2.0
ZONE = "north"
UNTRANSLATABLE = "untranslatable"  # key of a row that no decoder expects
STORE_CLOCK_S = 70_000.0  # store time minus virtual time
STORE_DELAY_S = 0.004
STORE_TIMEOUT_S = 0.8  # beyond the requested wait, as of the platform's client
NETWORK_DELAY_S = 0.001
CLOCK_PRECISION_S = 1e-6  # above the rounding of virtual time


class FakeRows:
    """Rows whose values are JSON: a version, whether an upstream drains, or a port."""

    def config(self, row: TableRow) -> Result[SiteConfig, str]:
        """Return the configuration in a row."""
        assert row.value is not None
        version = json.decode(row.value)
        return Success(
            SiteConfig(version, RouteTable(()), {}, {}, CallerLimits(), True)
        )

    def upstream(self, row: TableRow) -> Upstream | None:
        """Return the upstream in a row."""
        assert row.value is not None
        if row.key == UNTRANSLATABLE:
            raise RuntimeError("an error of a test")
        return Upstream(row.key, "desk", "h", 1, ZONE, 8, json.decode(row.value))

    def node(self, row: TableRow) -> NodeEntry | None:
        """Return the node in a row."""
        assert row.value is not None
        return NodeEntry(row.key, row.key, json.decode(row.value), ZONE)


StoreCopy: TypeAlias = tuple[
    int, dict[tuple[StoreTable, str], TableRow], dict[str, bytes]
]


@dataclass
class FakeStore:
    """The store's tables, with faults for single nodes.

    Attributes:
        loop: Virtual time.
        rows: Last state of each row.
        version: Newest version.
        refused: Nodes whose calls fail at once.
        silent: Nodes whose calls get no answer.
        hanging: Nodes and tables of which one call gets no answer.
        forgets: Whether the history is discarded.
        era: Number of times that it came back from an older copy.
        delay_s: Time that a call takes without waiting, in seconds.
        calls: Times of all calls.
        quarantines: Values of quarantines.
        quarantine_calls: Number of the calls for these.
    """

    loop: VirtualLoop
    rows: dict[tuple[StoreTable, str], TableRow] = field(default_factory=dict)
    version: int = 0
    refused: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    hanging: set[tuple[str, StoreTable]] = field(default_factory=set)
    forgets: bool = False
    era: int = 0
    delay_s: float = STORE_DELAY_S
    calls: list[float] = field(default_factory=list)
    quarantines: dict[str, bytes] = field(default_factory=dict)
    quarantine_calls: int = 0
    changed: Event = field(default_factory=Event)

    def write(self, table: StoreTable, key: str, value: object) -> None:
        """Write a row; `None` removes it."""
        self.version += 1
        data = None if value is None else json.encode(value)
        self.rows[(table, key)] = TableRow(key, data, self.version)
        self.wake()

    def row_versions(self, table: StoreTable) -> dict[str, int]:
        """Return the versions of a table's rows."""
        return {
            key: row.version
            for (name, key), row in self.rows.items()
            if name is table and row.value is not None
        }

    def copy(self) -> StoreCopy:
        """Return a copy of all rows, with its version."""
        return self.version, dict(self.rows), dict(self.quarantines)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy."""
        self.version, rows, quarantines = copy
        self.rows, self.quarantines = dict(rows), dict(quarantines)
        self.era += 1
        self.wake()

    def wake(self) -> None:
        """Let waiting calls look at the rows and faults again."""
        self.changed.set()
        self.changed = Event()

    def changes(self, table: StoreTable, after: int | None) -> TableChanges:
        """Return the rows of a table after a version, or all."""
        rows = tuple(
            row
            for (name, _), row in self.rows.items()
            if name is table
            and (row.version > after if after is not None else row.value is not None)
        )
        store_time_s = self.loop.time() + STORE_CLOCK_S
        evacuations: tuple[TableRow, ...] = ()
        if table is StoreTable.CONFIG:
            evacuations = self.changes(StoreTable.EVACUATIONS, after).rows
        return TableChanges(rows, self.version, store_time_s, self.era, evacuations)


@dataclass
class StoreClient:
    """One node's client of the store."""

    store: FakeStore
    node: str

    async def read_table(
        self, table: StoreTable, after: int | None, wait_s: float
    ) -> Result[TableChanges, StoreFault | HistoryLost]:
        """Return a table, or its changes after a version."""
        store = self.store
        store.calls.append(store.loop.time())
        end_s = store.loop.time() + wait_s
        await sleep(store.delay_s / 2)
        while True:
            if self.node in store.refused:
                return Failure(StoreFault("refused"))
            if self.node in store.silent or (self.node, table) in store.hanging:
                store.hanging.discard((self.node, table))
                await sleep(max(0.0, end_s + STORE_TIMEOUT_S - store.loop.time()))
                return Failure(StoreFault("silent"))
            if after is not None and after > store.version:
                return Failure(HistoryLost())
            if store.forgets and after is not None and after < store.version:
                return Failure(HistoryLost())
            changes = store.changes(table, after)
            rest_s = end_s - store.loop.time()
            is_changed = changes.rows or changes.evacuations
            if after is None or is_changed or rest_s < CLOCK_PRECISION_S:
                await sleep(store.delay_s / 2)
                return Success(changes)
            try:
                await wait_for(store.changed.wait(), rest_s)
            except TimeoutError:
                continue

    async def announce(self, entry: NodeEntry) -> Result[None, StoreFault]:
        """Write a node's row."""
        self.store.calls.append(self.store.loop.time())
        if self.node in self.store.refused | self.store.silent:
            return Failure(StoreFault("refused"))
        self.store.write(StoreTable.NODES, entry.name, entry.port)
        return Success(None)

    async def read_quarantines(self) -> Result[QuarantineRows, StoreFault]:
        """Return the values of quarantines."""
        if await self._call_for_quarantines():
            time_s = self.store.loop.time() + STORE_CLOCK_S
            return Success(QuarantineRows(dict(self.store.quarantines), time_s))
        return Failure(StoreFault("refused"))

    async def store_quarantines(
        self, name: str, value: bytes
    ) -> Result[None, StoreFault]:
        """Write a value of quarantines."""
        if await self._call_for_quarantines():
            self.store.quarantines[name] = value
            return Success(None)
        return Failure(StoreFault("refused"))

    async def _call_for_quarantines(self) -> bool:
        """Make a call; return whether the store serves it."""
        self.store.calls.append(self.store.loop.time())
        self.store.quarantine_calls += 1
        await sleep(self.store.delay_s)
        return self.node not in self.store.refused | self.store.silent


@dataclass
class FakeSocket:
    """One node's socket."""

    fleet: "WatchFleet"
    node: str

    def send(self, data: bytes, peers: Iterable[tuple[str, int]]) -> None:
        """Deliver a message to each peer, late or never."""
        fleet = self.fleet
        fleet.sent_messages.append(data)
        for name, _ in peers:
            if fleet.random.random() >= fleet.loss:
                delay_s = NETWORK_DELAY_S + fleet.random.random() * fleet.lateness_s
                fleet.loop.call_later(delay_s, fleet.deliver, name, data)


@dataclass
class WatchFleet:
    """Nodes of one zone, each with the product's own watch.

    Attributes:
        loop: Virtual time.
        random: Random numbers of network and nodes.
        loss: Share of lost messages.
        lateness_s: Greatest random delay of a message, in seconds.
        keeps_quarantines: Whether its nodes exchange crashes and keep quarantines,
            which takes most of the time of a test.
    """

    loop: VirtualLoop
    random: Random
    loss: float = 0.0
    lateness_s: float = 0.0
    keeps_quarantines: bool = False
    watches: dict[str, StoreWatch] = field(default_factory=dict)
    announcers: dict[str, NodeAnnouncer] = field(default_factory=dict)
    upstreams: dict[str, UpstreamController] = field(default_factory=dict)
    evacuations: dict[str, EvacuationController] = field(default_factory=dict)
    crashes: dict[str, CrashExchange] = field(default_factory=dict)
    quarantines: dict[str, QuarantineStore] = field(default_factory=dict)
    sent_messages: list[bytes] = field(default_factory=list)
    changed_s: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.store = FakeStore(self.loop)

    def put_config(self, version: int) -> None:
        """Write a configuration."""
        self.store.write(StoreTable.CONFIG, "config", version)
        self.changed_s[version] = self.loop.time()

    async def start_node(self, name: str) -> None:
        """Start a node."""
        serving = build_serving_state(
            self.loop.time, name, ZONE, seed=self.random.random()
        )
        entry = NodeEntry(name, name, 1, ZONE)
        rows = FakeRows()
        upstreams = UpstreamController(serving, rows)
        crashes = CrashExchange(serving, FakeSocket(self, name))
        nodes = NodeController(serving, rows, entry, (crashes.set_peers,))
        evacuations = EvacuationController(serving)
        client = StoreClient(self.store, name)
        announcer = NodeAnnouncer(serving, client, nodes)
        watch = StoreWatch(
            serving,
            client,
            entry,
            FakeSocket(self, name),
            watch_times(IN_FORCE_S),
            ConfigController(serving, rows),
            upstreams,
            nodes,
            evacuations,
        )
        self.watches[name] = watch
        self.announcers[name] = announcer
        self.upstreams[name] = upstreams
        self.evacuations[name] = evacuations
        self.crashes[name] = crashes
        self.quarantines[name] = QuarantineStore(serving, client, watch)
        await upstreams.start()
        await evacuations.start()
        await watch.start()
        await announcer.start()
        if self.keeps_quarantines:
            await crashes.start()
            await self.quarantines[name].start()

    async def stop_node(self, name: str) -> None:
        """Stop a node without notice."""
        await self.watches.pop(name).stop()
        await self.announcers.pop(name).stop()
        await self.upstreams.pop(name).stop()
        await self.evacuations.pop(name).stop()
        await self.crashes.pop(name).stop()
        await self.quarantines.pop(name).stop()

    def deliver(self, name: str, data: bytes) -> None:
        """Hand a message to a node, if it runs."""
        if name in self.watches:
            message = decode_message(data)
            self.watches[name].receive(message)
            self.crashes[name].receive(message)

    def watchers(self) -> list[str]:
        """Return the nodes that watch the store."""
        return [name for name, w in self.watches.items() if w.role.is_watching]

    def config_version(self, name: str) -> int:
        """Return the version of the configuration in force at a node; 0 for none."""
        board = self.watches[name].serving.board
        config = board.read(SiteConfigSection).config
        return 0 if config is None else config.version

    def check_confirmations(self) -> None:
        """Check that no node confirmed a version after a newer one was written."""
        for name, watch in self.watches.items():
            confirmed_s = watch.serving.freshness.confirmed_s
            version = self.config_version(name)
            newer = [at_s for v, at_s in self.changed_s.items() if v > version]
            if confirmed_s is not None and newer:
                assert confirmed_s <= min(newer), (name, version, confirmed_s, newer)
