"""A node's copy of one table of the store, and the news of it for other nodes."""

from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.site_store import TableChanges, TableRow

# Rows are repeated in the news for this time, since datagrams may be lost.
REPEAT_S = 0.7


@dataclass(frozen=True)
class TableNews:
    """State of a table, as one node tells it to others.

    Attributes:
        table: Name of the table.
        after: The rows are complete for a receiver that has this version.
        version: Version up to which the rows are complete.
        store_time_s: Time of the store's clock at which `version` was its newest state,
            in seconds.
        rows: Rows that changed after `after`.
    """

    table: str
    after: int
    version: int
    store_time_s: float
    rows: tuple[TableRow, ...] = ()


@dataclass(frozen=True)
class UpToDate:
    """A replica holds everything in the news, or something newer."""


@dataclass(frozen=True)
class NewRows:
    """Rows of the news that a replica did not have."""

    rows: tuple[TableRow, ...]


@dataclass(frozen=True)
class MissingRows:
    """Rows between the replica's version and the news are missing."""


@dataclass
class TableReplica:
    """Version of one table at a node, and its latest rows.

    Versions never decrease, so late, repeated or replayed news can't bring back an
    older row.

    Attributes:
        version: Version up to which the table is known; `None` before it was read.
        store_time_s: Time of the store's clock at which this was the newest state, in
            seconds.
        recent: Recently changed rows by key, with the time at which they were received
            and the version of the replica before them.
    """

    version: int | None = None
    store_time_s: float = float("-inf")
    recent: dict[str, tuple[TableRow, float, int]] = field(default_factory=dict)

    def record_read(
        self, after: int | None, changes: TableChanges, now_s: float
    ) -> tuple[TableRow, ...]:
        """Record rows that were read from the store.

        Args:
            after: Version that they follow; `None` if all rows were read.
            changes: The rows.
            now_s: The time, in seconds.

        Returns:
            The rows to apply: those that news has not overtaken during the call.
        """
        known = self.version if self.version is not None else -1
        if after is None:
            # Receivers of news must not take this for a list of changes.
            self.recent.clear()
            rows = changes.rows if changes.version >= known else ()
        else:
            rows = tuple(row for row in changes.rows if row.version > known)
            self._remember(rows, max(after, known), now_s)
        if changes.version >= known:
            self.version = changes.version
            self.store_time_s = max(self.store_time_s, changes.store_time_s)
        return rows

    def merge(self, news: TableNews, now_s: float) -> UpToDate | NewRows | MissingRows:
        """Record the rows in the news of another node.

        Returns:
            The rows to apply, or why there are none.
        """
        if self.version is None or news.after > self.version:
            return MissingRows()
        if news.version < self.version:
            return UpToDate()
        self.store_time_s = max(self.store_time_s, news.store_time_s)
        rows = tuple(row for row in news.rows if row.version > self.version)
        self._remember(rows, self.version, now_s)
        self.version = news.version
        return NewRows(rows) if rows else UpToDate()

    def news(self, table: str, now_s: float) -> TableNews:
        """Return the news of the table for other nodes."""
        assert self.version is not None
        expired = [
            key
            for key, (_, received_s, _) in self.recent.items()
            if now_s - received_s > REPEAT_S
        ]
        for key in expired:
            del self.recent[key]
        after = min((before for _, _, before in self.recent.values()), default=None)
        return TableNews(
            table,
            self.version if after is None else after,
            self.version,
            self.store_time_s,
            tuple(row for row, _, _ in self.recent.values()),
        )

    def _remember(self, rows: tuple[TableRow, ...], before: int, now_s: float) -> None:
        for row in rows:
            self.recent[row.key] = (row, now_s, before)
