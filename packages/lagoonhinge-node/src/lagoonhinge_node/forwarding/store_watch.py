"""Keeps this node's copy of the store's tables up to date.

One node of each availability zone watches the store with long polls and passes on what
it reads; the others read the store only when its updates stop (see `watch_role`).
"""

from asyncio import FIRST_COMPLETED, Event, create_task, sleep, wait
from dataclasses import replace
from typing import Any

from mode import Service
from returns.result import Failure, Success

from lagoonhinge_core.forwarding.load_tracker import CellSummary
from lagoonhinge_core.forwarding.site_store import (
    POLLED_TABLES,
    HistoryLost,
    NodeEntry,
    SiteStore,
    StoreFault,
    StoreTable,
    TableChanges,
    TableRow,
)
from lagoonhinge_core.forwarding.store_clock import StoreClock
from lagoonhinge_core.forwarding.store_replicas import StoreReplicas
from lagoonhinge_core.forwarding.table_replica import (
    AllRows,
    MissingRows,
    NewRows,
    TableUpdate,
)
from lagoonhinge_core.forwarding.watch_role import WatchRole, WatchTimes
from lagoonhinge_node.forwarding.board_sections import NodeListSection
from lagoonhinge_node.forwarding.peer_messages import (
    MAX_DATAGRAM_BYTES,
    PeerMessage,
    PeerSocket,
    StoreCallFailed,
    StoreUpdate,
    encode_message,
)
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.site_controllers import (
    ConfigController,
    EvacuationController,
    NodeController,
    UpstreamController,
)
from lagoonhinge_node.forwarding.task_guards import (
    RESTART_PAUSE_S,
    guarded_task,
    log_unexpected,
)
from lagoonhinge_node.logs import PartLogger

UPSTREAMS_WAIT_S = 3.0
NODES_WAIT_S = 20.0  # nodes rarely change, and a stale list only costs accuracy
# Changes come in bursts; a pause after each update lets one call read several.
CONFIG_PAUSE_S = 0.15  # under a tenth of the time within which a change is in force
NODES_PAUSE_S = 3.0  # about the startup time of the whole system
# Longest delay before a node reads rows that were too large for an update, so that not
# all nodes read at once.
MISSING_ROWS_SPREAD_S = 0.2  # a tenth of the time within which a change is in force
START_RETRY_S = 0.5  # longest pause between failed calls before the first answer
DUE_CHECKS = (
    5.0  # checks within the least takeover age whether the store has to be read
)


class StoreWatch(Service):
    """Reads the tables, applies them, and exchanges updates with the zone's nodes.

    Args:
        serving: State shared by all requests.
        store: The platform's store.
        own_entry: This node's entry.
        socket: Sends messages to other nodes.
        times: Times of the watch.
        config: Applies the configuration.
        upstreams: Applies the list of upstreams.
        nodes: Applies the list of nodes.
        evacuations: Applies the evacuations.
    """

    def __init__(
        self,
        serving: ServingState,
        store: SiteStore,
        own_entry: NodeEntry,
        socket: PeerSocket,
        times: WatchTimes,
        config: ConfigController,
        upstreams: UpstreamController,
        nodes: NodeController,
        evacuations: EvacuationController,
    ):
        super().__init__()
        self.serving = serving
        self.store = store
        self.own_entry = own_entry
        self.socket = socket
        self.times = times
        self.config = config
        self.upstreams = upstreams
        self.nodes = nodes
        self.evacuations = evacuations
        self.clock = StoreClock()
        self.role = WatchRole(own_entry.name, times, serving.random)
        self.store_replicas = StoreReplicas()
        self.replicas = self.store_replicas.tables
        self.waits_s = {
            StoreTable.CONFIG: times.poll_s,
            StoreTable.UPSTREAMS: UPSTREAMS_WAIT_S,
            StoreTable.NODES: NODES_WAIT_S,
        }
        self.pauses_s = {
            StoreTable.CONFIG: CONFIG_PAUSE_S,
            StoreTable.UPSTREAMS: times.upstreams_pause_s,
            StoreTable.NODES: NODES_PAUSE_S,
        }
        # Set when a table has to be read although its poll has not ended.
        self.overdue = {table: Event() for table in POLLED_TABLES}
        self.log_part = PartLogger("store")
        self.failures = 0
        self.stopped_watching = Event()
        self.incomplete: set[StoreTable] = set()
        self.found_incomplete = Event()
        # The node that watches the store for the zone, if it is another one.
        self.watcher: NodeEntry | None = None

    @Service.task
    @guarded_task
    async def run(self) -> None:
        """Read all tables, then follow them."""
        for table in POLLED_TABLES:
            while not await self._read(table, 0.0):
                await sleep(START_RETRY_S * self.serving.random.random())
        while not self.should_stop:
            wait_s = self._wait_s()
            if wait_s > 0:
                await sleep(wait_s)
            elif await self._read(StoreTable.CONFIG, 0.0):
                await self._watch()
            else:
                self._record_failure()

    def _wait_s(self) -> float:
        """Return how long another node may still read the store for this one."""
        if not self.role.failures and not self._zone_peers():
            return 0.0
        # The time is checked in between, as it may come to be earlier.
        wait_s = self.role.due_s - self.serving.clock()
        return min(wait_s, self.times.min_takeover_age_s / DUE_CHECKS)

    @Service.task
    @guarded_task
    async def read_missing_rows(self) -> None:
        """Read tables of which an update was incomplete."""
        while not self.should_stop:
            await self.found_incomplete.wait()
            self.found_incomplete.clear()
            await sleep(self.serving.random.uniform(0.0, MISSING_ROWS_SPREAD_S))
            for table in tuple(self.incomplete):
                self.incomplete.discard(table)
                await self._read(table, 0.0)

    async def _watch(self) -> None:
        """Follow all tables until a call fails or another node does it."""
        self.role.start_watching()
        self.stopped_watching.clear()
        self.log_part.info("Watching the store for the zone.")
        polls = [create_task(self._poll(table)) for table in POLLED_TABLES]
        updates = create_task(self._send_updates())
        stopped = create_task(self.stopped_watching.wait())
        tasks = {*polls, updates, stopped}
        try:
            await wait(tasks, return_when=FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
        if any(task.done() and not task.cancelled() for task in polls):
            self._record_failure()
        self.log_part.info("Stopped watching the store.", failures=self.failures)

    async def _poll(self, table: StoreTable) -> None:
        """Read the changes of one table until a call fails."""
        while True:
            before = self.replicas[table].version
            if not await self._read_next_changes(table):
                return
            if table is StoreTable.CONFIG:
                for missed in self.store_replicas.find_missed_changes():
                    self.overdue[missed].set()
            if self.replicas[table].recent or (
                table is StoreTable.CONFIG
                and self.replicas[StoreTable.EVACUATIONS].recent
            ):
                self.send_update()
            if not self.replicas[table].is_applied:
                await sleep(RESTART_PAUSE_S)
            elif self.replicas[table].version != before:
                await sleep(self.pauses_s[table])

    async def _read_next_changes(self, table: StoreTable) -> bool:
        """Wait for a change of one table; return whether that worked."""
        overdue = self.overdue[table]
        overdue.clear()
        reading = create_task(self._read(table, self.waits_s[table]))
        noticing = create_task(overdue.wait())
        try:
            await wait((reading, noticing), return_when=FIRST_COMPLETED)
        finally:
            noticing.cancel()
            if not reading.done():
                reading.cancel()
        if reading.done():
            return reading.result()
        self.log_part.warning(
            "A poll of the store delivered no change; reading the table.",
            table=table.value,
            version=self.replicas[table].version,
        )
        return await self._read(table, 0.0)

    async def _send_updates(self) -> None:
        while True:
            self.send_update()
            await sleep(self.times.update_interval_s)

    async def _read(self, table: StoreTable, wait_s: float) -> bool:
        """Read a table or its changes and apply them; return whether that worked."""
        replica = self.replicas[table]
        after = self.store_replicas.read_after(table)
        while True:
            requested_s = self.serving.clock()
            self.serving.store_calls += 1
            result = await self.store.read_table(table, after, wait_s)
            match result:
                case Success(changes):
                    self._enter_era(changes.era)
                    if after is not None and changes.era > replica.era:
                        # Versions after the known one may be of another history.
                        after = None
                        continue
                    self._record_answer(requested_s, changes)
                    if table is StoreTable.CONFIG:
                        # First, as the configuration lets a starting node serve.
                        evacuations = replace(changes, rows=changes.evacuations)
                        self._record_changes(StoreTable.EVACUATIONS, after, evacuations)
                    self._record_changes(table, after, changes)
                    if replica.is_applied:
                        self._confirm(table, changes.store_time_s)
                    return True
                case Failure(HistoryLost()):
                    self.log_part.info(
                        "The store no longer has the history; reading all rows.",
                        table=table.value,
                    )
                    # The replica stays as it is, for updates, until all rows are read.
                    after = None
                case Failure(fault):
                    self._log_fault(fault)
                    return False

    def _record_changes(
        self, table: StoreTable, after: int | None, changes: TableChanges
    ) -> None:
        """Record and apply rows that were read."""
        self.store_replicas.record_rows(changes.rows)
        replica, is_complete = self.replicas[table], after is None
        is_later_era = replica.version is not None and changes.era > replica.era
        rows = replica.record_read(after, changes, self.serving.clock())
        if rows or (rows is not None and is_complete):
            self._apply(table, rows, is_complete, is_later_era)

    def _enter_era(self, era: int) -> None:
        """Read everything again if the store came back from an older copy."""
        if self.store_replicas.enter_era(era):
            self.log_part.warning("The store came back from an older copy.", era=era)
            self.serving.store_contact.record_older_copy(self.serving.clock())
            for table in self.store_replicas.of_earlier_eras():
                if table in self.overdue:
                    self.overdue[table].set()

    def _record_answer(self, requested_s: float, changes: TableChanges) -> None:
        now_s = self.serving.clock()
        self.clock.observe(requested_s, now_s, changes.store_time_s)
        self.serving.store_contact.record_answer(now_s)
        if self.failures:
            self.log_part.info("The store answers again.", failures=self.failures)
        self.failures = 0

    def _log_fault(self, fault: StoreFault | HistoryLost) -> None:
        self.failures += 1
        self.serving.store_contact.record_failure()
        if self.failures == 1:
            self.log_part.warning(
                "A call to the store failed; retrying.", reason=repr(fault)
            )

    def _record_failure(self) -> None:
        zone_peers = self._zone_peers()
        self.role.record_failure(self.serving.clock(), len(zone_peers) + 1)
        notice = PeerMessage(call_failed=StoreCallFailed(self.own_entry.name))
        self.socket.send(encode_message(notice), zone_peers)

    def _apply(
        self,
        table: StoreTable,
        rows: tuple[TableRow, ...],
        is_complete: bool,
        is_later_era: bool = False,
    ) -> None:
        replica = self.replicas[table]
        was_applied, replica.is_applied = replica.is_applied, False
        try:
            self._apply_rows(table, rows, is_complete, is_later_era)
        except Exception as error:
            # The rows are recorded, so only a read of all rows brings them again.
            log_unexpected(f"rows of {table.value}", error)
        else:
            replica.is_applied = was_applied or is_complete

    def _apply_rows(
        self,
        table: StoreTable,
        rows: tuple[TableRow, ...],
        is_complete: bool,
        is_later_era: bool,
    ) -> None:
        match table:
            case StoreTable.EVACUATIONS if is_complete:
                self.evacuations.apply_all(rows, is_later_era)
            case StoreTable.EVACUATIONS:
                self.evacuations.apply(rows)
            case StoreTable.CONFIG:
                self.config.apply(rows)
            case StoreTable.UPSTREAMS:
                self.upstreams.apply(rows, is_complete)
            case StoreTable.NODES:
                self.nodes.apply(rows, is_complete)

    def _zone_peers(self) -> list[tuple[str, int]]:
        nodes = self.serving.board.read(NodeListSection).nodes.values()
        return [
            node.peer_address()
            for node in nodes
            if node.zone == self.own_entry.zone and node.name != self.own_entry.name
        ]

    def send_update(self) -> None:
        """Send the state of all tables to the other nodes of the zone."""
        now_s = self.serving.clock()
        tables = self.store_replicas.build_updates(now_s, self.times.repeat_s)
        data = self._encode_update(tables)
        if len(data) > MAX_DATAGRAM_BYTES:
            data = self._encode_update(
                tuple(replace(update, rows=()) for update in tables)
            )
        self.socket.send(data, self._zone_peers())

    def _encode_update(self, tables: tuple[TableUpdate, ...]) -> bytes:
        by_table = {update.table: update for update in tables}
        evacuations = by_table.pop(StoreTable.EVACUATIONS)
        update = StoreUpdate(
            self.own_entry.name,
            tuple(by_table.values()),
            self._cell_summaries(),
            evacuations,
        )
        return encode_message(PeerMessage(store=update))

    def dump(self) -> dict[str, Any]:
        """Return the state of the watch for the state dump."""
        now_s, role = self.serving.clock(), self.role
        watcher = self.own_entry if role.is_watching else self.watcher
        return {
            "watching": role.is_watching,
            "watcher": None if watcher is None else watcher.name,
            "age_s": str(round(now_s - role.known_s, 3)),
            "upstreams_age_s": str(round(self.serving.upstreams_age_s(), 3)),
            "failures": self.failures,
            "calls": self.serving.store_calls,
            "era": self.store_replicas.era,
            "versions": {t.value: r.version for t, r in self.replicas.items()},
        }

    def _cell_summaries(self) -> tuple[CellSummary, ...]:
        now_s, load = self.serving.clock(), self.serving.load
        summaries = (load.current_summary(zone, now_s) for zone in load.summaries)
        return tuple(summary for summary in summaries if summary is not None)

    def receive(self, message: PeerMessage) -> None:
        """Apply a message of another node."""
        if message.store is not None:
            self._receive_update(message.store)
        if message.call_failed is not None:
            zone_nodes = len(self._zone_peers()) + 1
            self.serving.store_contact.record_failure()
            self.role.record_peer_failure(self.serving.clock(), zone_nodes)

    def _receive_update(self, update: StoreUpdate) -> None:
        for summary in update.cells:
            if summary.zone not in self.serving.cell:
                self.serving.merge_summary(summary)
        nodes = self.serving.board.read(NodeListSection).nodes
        self.watcher = nodes.get(update.node)
        if update.evacuations is not None:
            self._merge(update.node, update.evacuations)
        for table_update in update.tables:
            self._merge(update.node, table_update)

    def _merge(self, sender: str, update: TableUpdate) -> None:
        now_s, table = self.serving.clock(), update.table
        known_s = self.clock.local_s(update.store_time_s, now_s)
        if known_s is None:
            return
        self._enter_era(update.era)
        if update.era < self.store_replicas.era:
            return
        match self.replicas[table].merge(update, now_s):
            case MissingRows():
                if self.replicas[table].version is not None:
                    is_polled = table in POLLED_TABLES
                    self.incomplete.add(table if is_polled else StoreTable.CONFIG)
                    self.found_incomplete.set()
                return
            case NewRows(rows):
                self._apply(table, rows, False)
            case AllRows(rows):
                self._apply(table, rows, True, is_later_era=True)
        if not self.replicas[table].is_applied:
            return
        match table:
            case StoreTable.CONFIG:
                self._record_update(sender, known_s)
            case StoreTable.UPSTREAMS:
                self._confirm_upstreams(update.store_time_s)

    def _confirm(self, table: StoreTable, store_time_s: float) -> None:
        """Record that a table's state was the newest at a time of the store's clock."""
        match table:
            case StoreTable.CONFIG:
                self._confirm_config(store_time_s)
            case StoreTable.UPSTREAMS:
                self._confirm_upstreams(store_time_s)

    def _confirm_config(self, store_time_s: float) -> None:
        """Record that no newer configuration existed at a time of the store."""
        known_s = self.clock.local_s(store_time_s, self.serving.clock())
        if known_s is not None:
            self.config.confirm(known_s)
            self.role.record_state(known_s)

    def _confirm_upstreams(self, store_time_s: float) -> None:
        """Record that the list of upstreams was the store's at a time of its clock."""
        known_s = self.clock.local_s(store_time_s, self.serving.clock())
        if known_s is not None and known_s > self.serving.upstreams_known_s:
            self.serving.upstreams_known_s = known_s

    def _record_update(self, sender: str, known_s: float) -> None:
        """Record that another node knew the newest configuration at a time."""
        if known_s > self.role.known_s:
            self.serving.store_contact.record_answer(self.serving.clock())
        self.config.confirm(known_s)
        self.role.record_update(sender, known_s)
        if not self.role.is_watching:
            self.stopped_watching.set()
