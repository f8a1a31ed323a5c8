"""A node's replicas of all tables of the store, and which of them to read again."""

from collections.abc import Iterable

from lagoonhinge_core.forwarding.missed_changes import MissedChanges
from lagoonhinge_core.forwarding.site_store import (
    POLLED_TABLES,
    StoreTable,
    TableRow,
)
from lagoonhinge_core.forwarding.table_replica import TableReplica, TableUpdate


class StoreReplicas:
    """Replicas of all tables.

    Attributes:
        tables: Replica of each table.
        era: Latest era of the store in its answers and in other nodes' updates.
    """

    def __init__(self) -> None:
        self.tables = {table: TableReplica() for table in StoreTable}
        self.era = 0
        self.missed_changes = MissedChanges()

    def enter_era(self, era: int) -> bool:
        """Record the era of an answer or update.

        Returns:
            Whether the store came back from an older copy since tables were read.
        """
        if era <= self.era:
            return False
        self.era = era
        self.missed_changes = MissedChanges()
        return any(replica.version is not None for replica in self.tables.values())

    def of_earlier_eras(self) -> tuple[StoreTable, ...]:
        """Return the tables whose rows are of an earlier era."""
        return tuple(t for t, replica in self.tables.items() if replica.era < self.era)

    def record_rows(self, rows: Iterable[TableRow]) -> None:
        """Record rows that were read from any table."""
        self.missed_changes.record_rows(rows)

    def find_missed_changes(self) -> tuple[StoreTable, ...]:
        """Return the tables whose polls seem to hang.

        To be called after each poll of the configuration, which ends often, so that a
        loss of its own answers is soon detected.
        """
        newest = self.tables[StoreTable.CONFIG].version
        if newest is None:
            return ()
        states: dict[StoreTable, int] = {
            table: replica.version
            for table, replica in self.tables.items()
            if table in POLLED_TABLES
            and table is not StoreTable.CONFIG
            and replica.version is not None
            and replica.era == self.era
        }
        return self.missed_changes.tables(states, newest)

    def read_after(self, table: StoreTable) -> int | None:
        """Return the version after which to read a table; `None` to read all rows.

        The configuration and the evacuations are read together, and one of them may be
        known up to an earlier version than the other.
        """
        version = self.tables[table].applied_version()
        if table is not StoreTable.CONFIG:
            return version
        other = self.tables[StoreTable.EVACUATIONS].applied_version()
        return None if version is None or other is None else min(version, other)

    def build_updates(self, now_s: float, repeat_s: float) -> tuple[TableUpdate, ...]:
        """Return the state of all tables for other nodes.

        Args:
            now_s: The time, in seconds.
            repeat_s: For how long a changed row is repeated, in seconds.
        """
        return tuple(
            replica.build_update(table, now_s, repeat_s)
            for table, replica in self.tables.items()
        )
