"""A node's replica of one table of the store, and its updates for other nodes."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from lagoonhinge_core.forwarding.site_store import (
    StoreTable,
    TableChanges,
    TableRow,
)

DIGEST_BYTES = 8  # a wrong match of two tables is as rare as one in 2^64


@dataclass(frozen=True)
class TableUpdate:
    """State of a table that one node sends to others.

    Attributes:
        table: The table.
        version: Version of the store up to which the state is known.
        digest: Digest of the versions of all rows.
        store_time_s: Time of the store's clock at which this was the newest state, in
            seconds.
        rows: Rows that changed recently.
        era: Era of the store that the versions belong to.
    """

    table: StoreTable
    version: int
    digest: int
    store_time_s: float
    rows: tuple[TableRow, ...] = ()
    era: int = 0


@dataclass(frozen=True)
class UpToDate:
    """A replica holds everything in the update, or something newer."""


@dataclass(frozen=True)
class NewRows:
    """Rows of an update that a replica did not have."""

    rows: tuple[TableRow, ...]


@dataclass(frozen=True)
class AllRows:
    """All rows of a table in a later era, which replace those of the replica."""

    rows: tuple[TableRow, ...]


@dataclass(frozen=True)
class MissingRows:
    """A replica lacks rows that are not in the update."""


def _row_digest(key: str, version: int) -> int:
    text = f"{key}\0{version}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest(), "big")


@dataclass
class TableReplica:
    """Versions of one table's rows at a node, and its latest rows.

    Versions never decrease within an era, and an earlier era never replaces a later
    one, so late, repeated or replayed updates can't bring back an older row. Replicas
    are compared by the digest of their rows' versions, since the store's version also
    grows with changes of other tables.

    Attributes:
        era: Era of the store that the versions belong to.
        version: Version of the store up to which the table is known; `None` before it
            was read.
        store_time_s: Time of the store's clock at which this was the newest state, in
            seconds.
        row_versions: Version of each row.
        digest: Digest of these versions.
        recent: Recently changed rows by key, with the time at which they were received,
            in seconds.
        is_applied: Whether the recorded rows were applied; if not, all rows have to be
            read again.
    """

    era: int = 0
    version: int | None = None
    store_time_s: float = float("-inf")
    row_versions: dict[str, int] = field(default_factory=dict)
    digest: int = 0
    recent: dict[str, tuple[TableRow, float]] = field(default_factory=dict)
    is_applied: bool = True

    def applied_version(self) -> int | None:
        """Return the version whose rows were all applied; `None` if they were not."""
        return self.version if self.is_applied else None

    def record_read(
        self, after: int | None, changes: TableChanges, now_s: float
    ) -> tuple[TableRow, ...] | None:
        """Record rows that were read from the store.

        Args:
            after: Version that they follow; `None` if all rows were read.
            changes: The rows.
            now_s: The time, in seconds.

        Returns:
            The rows to apply: those that no update overtook during the call; `None` if
            one overtook all of them, or if they are changes since an earlier era.
        """
        is_later_era = self.version is not None and changes.era > self.era
        known = -1 if self.version is None or is_later_era else self.version
        if changes.era < self.era or changes.version < known:
            return None
        if is_later_era and after is not None:
            return None
        if after is None:
            rows = changes.rows
            self._clear()
        else:
            rows = tuple(row for row in changes.rows if row.version > known)
        self._record(rows)
        if after is not None or is_later_era:
            self._remember(rows, now_s)
        self._advance(changes)
        return rows

    def merge(
        self, update: TableUpdate, now_s: float
    ) -> UpToDate | NewRows | AllRows | MissingRows:
        """Record the rows in an update of another node.

        Returns:
            The rows to apply, or why there are none.
        """
        version = self.applied_version()
        if version is None:
            return MissingRows()
        if update.era < self.era:
            return UpToDate()
        if update.era > self.era:
            return self._replace(update, now_s)
        if update.version < version:
            return UpToDate()
        rows = tuple(row for row in update.rows if row.version > version)
        if self.digest ^ self._digest_change(rows) != update.digest:
            return MissingRows()
        self._record(rows)
        self._remember(rows, now_s)
        self._advance(update)
        return NewRows(rows) if rows else UpToDate()

    def build_update(
        self, table: StoreTable, now_s: float, repeat_s: float
    ) -> TableUpdate:
        """Return an update for other nodes.

        Args:
            table: The table.
            now_s: The time, in seconds.
            repeat_s: For how long a changed row is repeated, in seconds.
        """
        assert self.version is not None
        self.recent = {
            key: (row, received_s)
            for key, (row, received_s) in self.recent.items()
            if now_s - received_s <= repeat_s
        }
        rows = tuple(row for row, _ in self.recent.values())
        return TableUpdate(
            table, self.version, self.digest, self.store_time_s, rows, self.era
        )

    def _replace(self, update: TableUpdate, now_s: float) -> AllRows | MissingRows:
        """Replace all rows by those of a later era, if the update has all of them."""
        rows = tuple(row for row in update.rows if row.value is not None)
        digest = 0
        for row in rows:
            digest ^= _row_digest(row.key, row.version)
        if digest != update.digest:
            return MissingRows()
        self._clear()
        self._record(rows)
        self._remember(rows, now_s)
        self._advance(update)
        return AllRows(rows)

    def _advance(self, state: TableChanges | TableUpdate) -> None:
        """Record that the replica has all rows of a state."""
        # The store's clock may have been set anew with a later era.
        earlier_s = self.store_time_s if state.era == self.era else float("-inf")
        self.era, self.version = state.era, state.version
        self.store_time_s = max(earlier_s, state.store_time_s)

    def _clear(self) -> None:
        self.row_versions, self.digest, self.recent = {}, 0, {}

    def _digest_change(self, rows: Iterable[TableRow]) -> int:
        change = 0
        for row in rows:
            if row.key in self.row_versions:
                change ^= _row_digest(row.key, self.row_versions[row.key])
            if row.value is not None:
                change ^= _row_digest(row.key, row.version)
        return change

    def _remember(self, rows: tuple[TableRow, ...], now_s: float) -> None:
        self.recent.update((row.key, (row, now_s)) for row in rows)

    def _record(self, rows: tuple[TableRow, ...]) -> None:
        self.digest ^= self._digest_change(rows)
        for row in rows:
            if row.value is None:
                self.row_versions.pop(row.key, None)
            else:
                self.row_versions[row.key] = row.version
